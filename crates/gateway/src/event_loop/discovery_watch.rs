//! The watch on discovery.

use super::{Connection, Gateway};
use crate::connections::socket::{Interest, Socket, StreamStatus};
use crate::discovery::{watch_request, EndpointListUpdate, WatchParser};
use crate::inventory::Protocol;
use crate::timer_queue::Timer;
use io_scheduler::{EndpointListEvent, Micros};

/// A watch that has not begun to answer by then is given up; discovery itself gives up after 2 s.
const FIRST_ANSWER: Micros = 2_500_000;
/// Discovery sends an empty line every 2 s: silence beyond that means that it is cut off. What it has
/// to tell counts as told after 6 s all the same, so there must be time to ask again, and for that to fail.
const SILENCE: Micros = 2_800_000;
/// Bytes read in one turn.
const READ_MOST: usize = 256 << 10;

/// The connection of a watch.
pub struct DiscoveryWatch {
    socket: Socket,
    parser: WatchParser,
    asked: bool,
}

impl Gateway {
    /// Asks discovery for changes, in place of any watch that is still there.
    pub(super) fn begin_watch(&mut self, now: Micros) {
        let Some(address) = self.config.discovery else { return };
        if let Some(old) = self.watch.take() {
            self.conns.free(old);
        }
        (self.watch_told, self.watch_begun) = (false, now);
        let connected = Socket::connect(address).and_then(|mut socket| {
            let token = self.conns.reserve();
            let watched = socket.set_interest(&self.poller, token, Interest::Connect);
            let parser = WatchParser::default();
            let watch = DiscoveryWatch { socket, parser, asked: false };
            self.conns.put(token, Connection::Watch(watch));
            self.watch = Some(token);
            watched
        });
        match connected {
            Ok(()) => {
                self.timers.reschedule(&mut self.watch_due, Some(now + FIRST_ANSWER), Timer::DiscoveryWatch)
            }
            Err(e) => self.watch_failed(&e.to_string(), now),
        }
    }

    pub(super) fn watch_ready(&mut self, token: u64, mut watch: DiscoveryWatch, now: Micros) {
        let result = self.watch_step(token, &mut watch, now);
        if self.watch == Some(token) {
            self.conns.put(token, Connection::Watch(watch));
        }
        if let Err(why) = result {
            self.watch_failed(&why, now);
        }
    }

    fn watch_step(&mut self, token: u64, watch: &mut DiscoveryWatch, now: Micros) -> Result<(), String> {
        let text = |e: std::io::Error| e.to_string();
        if !watch.asked {
            if !watch.socket.is_connected().map_err(text)? {
                return Ok(());
            }
            watch.asked = true;
            if let Some(address) = self.config.discovery {
                let request = watch_request(&address, self.index);
                watch.socket.output().extend_from_slice(request.as_bytes());
            }
        }
        watch.socket.flush().map_err(text)?;
        let over = watch.socket.read_available(READ_MOST).map_err(text)?;
        let bytes = std::mem::take(&mut watch.socket.input);
        let mut updates = Vec::new();
        let mid_object = watch.parser.mid_object();
        let parsed = watch.parser.feed(&bytes, &mut updates);
        for update in &updates {
            if !std::mem::replace(&mut self.watch_told, true) {
                let (nodes, ms) = (update.endpoints.len(), (now - self.watch_begun) / 1000);
                log::info!("discovery: told of {nodes} nodes {ms} ms after the call");
            }
            self.index = update.index;
            self.take_update(update, update.kind(), now);
        }
        parsed.map_err(|e| e.to_string())?;
        if over == StreamStatus::Ended || watch.parser.over() {
            return Err("the watch ended".into());
        }
        // What has begun must become whole: the rest of it is no sign of life.
        if !bytes.is_empty() && (!mid_object || !updates.is_empty()) {
            self.timers.reschedule(&mut self.watch_due, Some(now + SILENCE), Timer::DiscoveryWatch);
        }
        watch.socket.set_interest(&self.poller, token, Interest::Read).map_err(text)
    }

    /// Takes in a list: addresses for the pools, the rest for the core.
    pub(super) fn take_update(&mut self, update: &EndpointListUpdate, kind: EndpointListEvent, now: Micros) {
        let mut lines = Vec::with_capacity(update.endpoints.len());
        for (line, address) in update.lines() {
            let node = self.dispatcher.node_id(&line.name);
            self.set_address(node, address, Protocol::Resp2);
            lines.push(line);
        }
        self.take_lines(kind, lines, now);
    }

    /// The watch is over; the scheduler says when to ask again.
    pub(super) fn watch_failed(&mut self, why: &str, now: Micros) {
        log::info!("discovery: {why}, {} ms after the call", (now - self.watch_begun) / 1000);
        let told = std::mem::take(&mut self.watch_told);
        self.end_watch(if told { EndpointListEvent::WatchLost } else { EndpointListEvent::PollFailed }, now);
    }

    /// Gives the watch up, if there is one.
    pub(super) fn end_watch(&mut self, how: EndpointListEvent, now: Micros) {
        if let Some(token) = self.watch.take() {
            self.conns.free(token);
        }
        self.watch_told = false;
        self.timers.reschedule(&mut self.watch_due, None, Timer::DiscoveryWatch);
        self.dispatcher.update_endpoints(how, &[], now);
    }
}
