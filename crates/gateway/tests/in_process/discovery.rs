//! Parsing of the discovery service's response to a watch on the endpoint list. The response may
//! arrive in pieces of any size and with any HTTP/1.1 framing.

use io_scheduler::EndpointStatus;
use storage_gateway::discovery::WatchParser;
use storage_gateway::endpoint::EndpointListUpdate;

/// Returns the endpoint list version of each update.
fn list_versions(updates: &[EndpointListUpdate]) -> Vec<u64> {
    updates.iter().map(|update| update.version).collect()
}

#[test]
fn chunked_watch_response_that_arrives_byte_by_byte_is_parsed() {
    let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                    1\r\n\n\r\n8\r\n{\"index\"\r\n5\r\n:43}\n\r\n1\r\n\n\r\n0\r\n\r\n";
    let (mut parser, mut updates) = (WatchParser::default(), Vec::new());
    for byte in response.as_bytes() {
        parser
            .feed(&[*byte], &mut updates)
            .expect("the response should be valid");
    }
    assert_eq!(list_versions(&updates), [43]);
    assert!(parser.is_complete());
}

/// A response is invalid if its status is not 200, its framing is malformed or its body is not a
/// stream of JSON objects.
#[test]
fn invalid_watch_response_is_an_error() {
    let invalid_responses = [
        "HTTP/1.1 503 Busy\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nwords",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 101 Switching\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    ];
    for response in invalid_responses {
        let result = WatchParser::default().feed(response.as_bytes(), &mut Vec::new());
        assert!(result.is_err(), "{response:?}");
    }
}

/// The JSON of an update may be indented. The body may be chunked, have a Content-Length or end
/// when the connection is closed, and a 1xx response may come first.
#[test]
fn endpoint_list_is_parsed_with_every_http_framing() {
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
    // Only the response with a Content-Length is complete: the last chunk has not arrived in the
    // chunked response, and the connection has not been closed in the third one.
    for (response, is_complete) in [(chunked, false), (fixed_length, true), (until_close, false)] {
        for piece_length in [1, response.len()] {
            let (mut parser, mut updates) = (WatchParser::default(), Vec::new());
            for piece in response.as_bytes().chunks(piece_length) {
                parser
                    .feed(piece, &mut updates)
                    .expect("the response should be valid");
            }
            assert_eq!(list_versions(&updates), [7, 8, 9], "{response}");
            let names: Vec<_> = updates[0]
                .listed_endpoints()
                .map(|endpoint| endpoint.record.name)
                .collect();
            assert_eq!(names, ["a }\" {"]);
            assert_eq!(
                (parser.is_complete(), parser.has_partial_object()),
                (is_complete, false)
            );
        }
    }
}

/// A JSON object that never ends must be rejected once it exceeds the maximum length or nesting
/// depth; otherwise the parser would buffer it without bound.
#[test]
fn json_object_that_is_too_long_or_nested_too_deeply_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let endless_objects = [
        ("{\"endpoints\":[", "{\"name\":\"n\"},", 100_000),
        ("{\"a\":", "[", 20),
    ];
    for (start, repeated, count) in endless_objects {
        let (mut parser, mut updates) = (WatchParser::default(), Vec::new());
        parser
            .feed(format!("{head}{start}").as_bytes(), &mut updates)
            .expect("the start of the object should be accepted");
        assert!(parser.has_partial_object());
        let result = (0..count).try_for_each(|_| parser.feed(repeated.as_bytes(), &mut updates));
        assert!(result.is_err() && updates.is_empty(), "{start}");
    }
}

/// A later version of the discovery service may add a status. A node with such a status must get
/// no new requests.
#[test]
fn endpoint_with_unknown_status_is_treated_as_draining() {
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
        .expect("the response should be valid");
    let statuses: Vec<_> = updates[0]
        .listed_endpoints()
        .map(|endpoint| endpoint.record.status)
        .collect();
    assert_eq!(statuses, [EndpointStatus::Draining]);
}
