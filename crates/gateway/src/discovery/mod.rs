//! Discovery's list of nodes: the HTTP/1.1 watch, parsed as it comes.

use crate::endpoint::EndpointRecord;
use deployment_settings::micros;
use io_scheduler::{EndpointListEvent, EndpointStatus};
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest object of the list that is held.
const OBJECT_MOST: usize = 1 << 20;
/// Objects and arrays in each other; the list's own are three.
const DEPTH_MOST: usize = 16;
/// Longest head of an answer.
const HEAD_MOST: usize = 16 << 10;

/// The list, or changes to it, in discovery's form.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointListUpdate {
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default)]
    pub endpoints: Vec<EndpointEntry>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    pub name: String,
    pub address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub group: u64,
    pub status: EndpointEntryStatus,
    #[serde(default)]
    pub since_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointEntryStatus {
    InService,
    Terminating,
    Terminated,
    /// A word of a later version: nothing new is sent there, which is safe whatever it means.
    #[serde(other)]
    Other,
}

/// What can be wrong with what discovery sends.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    #[error("discovery answered '{0}'")]
    Status(String),
    #[error("discovery sent what is not HTTP/1.1")]
    Framing,
    #[error("discovery sent an object that is too long")]
    TooLong,
    #[error("discovery's list: {0}")]
    List(String),
}

impl EndpointListUpdate {
    pub fn kind(&self) -> EndpointListEvent {
        if self.snapshot {
            EndpointListEvent::Snapshot
        } else {
            EndpointListEvent::Delta
        }
    }

    /// The lines, each with its address; one whose address can't be read is left out.
    pub fn lines(&self) -> impl Iterator<Item = (EndpointRecord, SocketAddr)> + '_ {
        self.endpoints.iter().filter_map(|e| {
            let Ok(address) = e.address.parse() else {
                log::warn!("discovery: node {} has no usable address '{}'", e.name, e.address);
                return None;
            };
            let status = match e.status {
                EndpointEntryStatus::InService => EndpointStatus::InService,
                EndpointEntryStatus::Terminating | EndpointEntryStatus::Other => EndpointStatus::Draining,
                EndpointEntryStatus::Terminated => EndpointStatus::Removed,
            };
            let line = EndpointRecord {
                name: e.name.clone(),
                zone: e.zone.clone(),
                shard: e.group,
                status,
                started_at: (e.since_ms > 0.0).then(|| micros(e.since_ms)),
            };
            Some((line, address))
        })
    }
}

/// The request for a watch from a version on.
pub fn watch_request(host: &SocketAddr, from: u64) -> String {
    format!(
        "GET /v1/servers?watch=1&from={from} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}

/// Splits a stream into its JSON objects. White space may stand between them or indent them: only the
/// braces tell where one ends.
#[derive(Debug, Default)]
struct Objects {
    text: Vec<u8>,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Objects {
    fn feed(&mut self, data: &[u8], out: &mut Vec<EndpointListUpdate>) -> Result<(), WatchError> {
        for byte in data {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.depth == 0 && *byte != b'{' {
                return Err(WatchError::List("what comes is no object".into()));
            }
            self.text.push(*byte);
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = self.quoted,
                b'"' => self.quoted = !self.quoted,
                b'{' | b'[' if !self.quoted => self.depth += 1,
                b'}' | b']' if !self.quoted => self.depth -= 1,
                _ => {}
            }
            if self.depth > DEPTH_MOST || self.text.len() > OBJECT_MOST {
                return Err(WatchError::TooLong);
            }
            if self.depth == 0 {
                let mut text = std::mem::take(&mut self.text);
                let update = simd_json::serde::from_slice(&mut text);
                out.push(update.map_err(|e| WatchError::List(e.to_string()))?);
            }
        }
        Ok(())
    }
}

#[derive(Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Head,
    Size,
    Data(usize),
    /// The line end after a chunk's data.
    DataEnd,
    /// What is left of a body of stated length.
    Length(usize),
    /// A body that lasts as long as its connection.
    Rest,
    Over,
}

/// Takes the answer to a watch apart.
#[derive(Debug, Default)]
pub struct WatchParser {
    input: Vec<u8>,
    part: Part,
    objects: Objects,
}

impl WatchParser {
    /// Feeds bytes; complete updates go to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<EndpointListUpdate>) -> Result<(), WatchError> {
        self.input.extend_from_slice(bytes);
        let mut at = 0;
        let result = self.take(&mut at, out);
        self.input.drain(..at);
        result
    }

    /// Whether the answer is complete.
    pub fn over(&self) -> bool {
        self.part == Part::Over
    }

    /// Whether an object has begun and is not whole.
    pub fn mid_object(&self) -> bool {
        self.objects.depth > 0
    }

    fn take(&mut self, at: &mut usize, out: &mut Vec<EndpointListUpdate>) -> Result<(), WatchError> {
        loop {
            let rest = &self.input[*at..];
            match self.part {
                Part::Over => return Ok(()),
                Part::Head => {
                    let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") else {
                        return if rest.len() > HEAD_MOST { Err(WatchError::Framing) } else { Ok(()) };
                    };
                    let head = String::from_utf8_lossy(&rest[..end]).to_ascii_lowercase();
                    *at += end + 4;
                    self.part = body(&head)?;
                }
                Part::Size => {
                    let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                        return if rest.len() > HEAD_MOST { Err(WatchError::Framing) } else { Ok(()) };
                    };
                    let text = std::str::from_utf8(&rest[..end]).map_err(|_| WatchError::Framing)?;
                    let digits = text.split(';').next().unwrap_or_default().trim();
                    let size = u32::from_str_radix(digits, 16).map_err(|_| WatchError::Framing)? as usize;
                    *at += end + 2;
                    self.part = if size == 0 { Part::Over } else { Part::Data(size) };
                }
                Part::Data(left) | Part::Length(left) => {
                    if rest.is_empty() {
                        return Ok(());
                    }
                    let n = left.min(rest.len());
                    self.objects.feed(&rest[..n], out)?;
                    *at += n;
                    self.part = match (&self.part, left - n) {
                        (Part::Data(_), 0) => Part::DataEnd,
                        (Part::Data(_), left) => Part::Data(left),
                        (_, 0) => Part::Over,
                        (_, left) => Part::Length(left),
                    };
                }
                Part::Rest => {
                    *at += rest.len();
                    return self.objects.feed(rest, out);
                }
                Part::DataEnd => {
                    if rest.len() < 2 {
                        return Ok(());
                    }
                    if !rest.starts_with(b"\r\n") {
                        return Err(WatchError::Framing);
                    }
                    *at += 2;
                    self.part = Part::Size;
                }
            }
        }
    }
}

/// How the body after a head, in lower case, is framed.
fn body(head: &str) -> Result<Part, WatchError> {
    let mut lines = head.lines();
    let status = lines.next().unwrap_or_default();
    let code = status.split(' ').nth(1).unwrap_or_default();
    // Another answer follows one that only informs.
    if code.len() == 3 && code.starts_with('1') && code != "101" {
        return Ok(Part::Head);
    }
    if code != "200" {
        return Err(WatchError::Status(status.to_owned()));
    }
    let mut part = Part::Rest;
    for (name, value) in lines.filter_map(|l| l.split_once(':')) {
        match (name.trim(), value.trim()) {
            // A length beside it does not count.
            ("transfer-encoding", coding) if coding.ends_with("chunked") => return Ok(Part::Size),
            ("transfer-encoding", _) => return Err(WatchError::Framing),
            ("content-length", length) => {
                let length = length.parse().map_err(|_| WatchError::Framing)?;
                part = if length == 0 { Part::Over } else { Part::Length(length) };
            }
            _ => {}
        }
    }
    Ok(part)
}
