//! The watch on discovery's endpoint list: its response is parsed in pieces of any size and under
//! any framing.

use io_scheduler::EndpointStatus;
use storage_gateway::discovery::WatchParser;
use storage_gateway::endpoint::EndpointListUpdate;

/// The list indices of the updates.
fn indices(updates: &[EndpointListUpdate]) -> Vec<u64> {
    updates.iter().map(|update| update.version).collect()
}

#[test]
fn chunked_watch_response_is_parsed_byte_by_byte() {
    let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                    1\r\n\n\r\n8\r\n{\"index\"\r\n5\r\n:43}\n\r\n1\r\n\n\r\n0\r\n\r\n";
    let (mut parser, mut updates) = (WatchParser::default(), Vec::new());
    for byte in response.as_bytes() {
        parser.feed(&[*byte], &mut updates).expect("well formed");
    }
    assert_eq!(indices(&updates), [43]);
    assert!(parser.is_complete());
}

#[test]
fn malformed_watch_response_is_an_error() {
    let malformed = [
        "HTTP/1.1 503 Busy\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nwords",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 101 Switching\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    ];
    for response in malformed {
        let result = WatchParser::default().feed(response.as_bytes(), &mut Vec::new());
        assert!(result.is_err(), "{response:?}");
    }
}

/// A list may be indented, and its response chunked, of a stated length or of none, after
/// informational responses.
#[test]
fn endpoint_list_is_parsed_under_every_http_framing() {
    let list = "{\n  \"index\": 7,\n  \"endpoints\": [\n    \
                {\"name\": \"a }\\\" {\", \"address\": \"127.0.0.1:1\",\n \
                \"status\": \"in_service\"}\n  ]\n}\n";
    let body = format!("\n{list}\n{{\"index\":8}}{{\"index\":9}}\n");
    let length = body.len();
    let chunked = format!(
        "HTTP/1.1 100 Continue\r\n\r\n\
         HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
         {length:x}\r\n{body}\r\n"
    );
    let fixed_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let until_close = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
    // Only a stated length says that the list is complete.
    for (response, complete) in [(chunked, false), (fixed_length, true), (until_close, false)] {
        for piece_length in [1, response.len()] {
            let (mut parser, mut updates) = (WatchParser::default(), Vec::new());
            for piece in response.as_bytes().chunks(piece_length) {
                parser.feed(piece, &mut updates).expect("well formed");
            }
            assert_eq!(indices(&updates), [7, 8, 9], "{response}");
            let names: Vec<_> = updates[0]
                .listed_endpoints()
                .map(|endpoint| endpoint.record.name)
                .collect();
            assert_eq!(names, ["a }\" {"]);
            assert_eq!(
                (parser.is_complete(), parser.has_partial_object()),
                (complete, false)
            );
        }
    }
}

#[test]
fn object_without_end_or_nested_too_deeply_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let endless = [
        ("{\"endpoints\":[", "{\"name\":\"n\"},", 100_000),
        ("{\"a\":", "[", 20),
    ];
    for (beginning, repeated, times) in endless {
        let (mut parser, mut updates) = (WatchParser::default(), Vec::new());
        parser
            .feed(format!("{head}{beginning}").as_bytes(), &mut updates)
            .expect("the object may still be completed");
        assert!(parser.has_partial_object());
        let result = (0..times).try_for_each(|_| parser.feed(repeated.as_bytes(), &mut updates));
        assert!(result.is_err() && updates.is_empty(), "{beginning}");
    }
}

#[test]
fn endpoint_of_unknown_status_is_treated_as_draining() {
    let text =
        "{\"endpoints\":[{\"name\":\"n\",\"address\":\"127.0.0.1:1\",\"status\":\"paused\"}]}\n";
    let mut response = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
        text.len()
    );
    response += text;
    let mut updates = Vec::new();
    WatchParser::default()
        .feed(response.as_bytes(), &mut updates)
        .expect("well formed");
    let statuses: Vec<_> = updates[0]
        .listed_endpoints()
        .map(|endpoint| endpoint.record.status)
        .collect();
    assert_eq!(statuses, [EndpointStatus::Draining]);
}
