//! The records of a run, arranged for the rules.

use super::lost::due_at;
use super::{Rule, Violation};
use crate::record::{
    Event, GatewayIndex, NodeStatus, ReceivedAttempt, Record, ReplyKind, SentRequest,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request with all that touched it.
pub struct RequestHistory<'a> {
    /// The request.
    pub sent: &'a SentRequest,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// The gateway that it was sent to.
    pub gateway: GatewayIndex,
    /// The reply and its time.
    pub reply: Option<(Duration, ReplyKind)>,
    /// When its reply is due. Replies are sent in the order of the requests of a connection, so
    /// that it may wait for that to the request before it, at most until that one is due.
    pub reply_due_at: Duration,
    /// The attempts that nodes received.
    pub attempts: Vec<&'a ReceivedAttempt>,
}

/// How a connection ended.
#[derive(Clone, Copy, Default)]
pub struct ConnectionHistory {
    /// When the gateway ended it.
    pub ended_at: Option<Duration>,
    /// When the client closed it.
    pub closed_at: Option<Duration>,
}

/// One process of a gateway.
#[derive(Clone, Copy)]
pub struct ProcessHistory {
    /// The gateway.
    pub gateway: GatewayIndex,
    /// When its start began: from then on it may have received what its peers sent.
    pub runs_from: Duration,
    /// When it was started.
    pub started_at: Duration,
    /// When it first replied to a client.
    pub ready_at: Option<Duration>,
    /// When SIGTERM was first sent.
    pub shutdown_requested_at: Option<Duration>,
    /// When SIGKILL was sent.
    pub killed_at: Option<Duration>,
    /// When it exited by itself, and whether with status 0.
    pub exited: Option<(Duration, bool)>,
}

impl ProcessHistory {
    /// Returns when the process ended, by itself or by SIGKILL.
    #[must_use]
    pub fn ended_at(&self) -> Option<Duration> {
        let exited_at = self.exited.map(|(at, _)| at);
        [exited_at, self.killed_at].into_iter().flatten().min()
    }
}

/// A change of the status of a node.
#[derive(Clone, Copy)]
pub struct StatusChange {
    /// When it occurred.
    pub at: Duration,
    /// The new status.
    pub status: NodeStatus,
}

impl StatusChange {
    /// Returns the change that a gateway gets at some moment of a write. It may use a node from the
    /// first moment on, and need not leave a node before the last one.
    fn written(status: NodeStatus, began_at: Duration, ended_at: Duration) -> StatusChange {
        let at = match status {
            NodeStatus::InService => began_at,
            NodeStatus::Draining | NodeStatus::Removed => ended_at,
        };
        StatusChange { at, status }
    }
}

/// The records, arranged.
pub struct History<'a> {
    /// All records in the order of time.
    records: &'a [Record],
    /// The requests by id.
    pub requests: BTreeMap<&'a str, RequestHistory<'a>>,
    /// The connections of clients.
    pub connections: BTreeMap<u64, ConnectionHistory>,
    /// The processes in the order of their start.
    pub processes: Vec<ProcessHistory>,
    /// The changes that discovery has had, by node.
    pub changes: BTreeMap<&'a str, Vec<StatusChange>>,
    /// The changes that discovery has written to a gateway, by gateway and node.
    pub notifications: BTreeMap<(GatewayIndex, &'a str), Vec<StatusChange>>,
    /// The times during which discovery could not be reached.
    pub outages: Vec<(Duration, Option<Duration>)>,
}

impl<'a> History<'a> {
    /// Arranges records, which must be ordered by time.
    #[must_use]
    pub fn new(records: &'a [Record]) -> History<'a> {
        let mut history = History {
            records,
            requests: BTreeMap::new(),
            connections: BTreeMap::new(),
            processes: Vec::new(),
            changes: BTreeMap::new(),
            notifications: BTreeMap::new(),
            outages: Vec::new(),
        };
        // A node may record an attempt before the client records that it has sent the request.
        for record in records {
            if let Event::RequestSent(sent) = &record.event {
                history.add_request(sent, record.at, record.gateway.unwrap_or_default());
            }
        }
        for record in records {
            history.add(record);
        }
        history.set_due_times();
        history
    }

    /// Sets when the replies are due that have to wait for others.
    fn set_due_times(&mut self) {
        let mut requests: Vec<&mut RequestHistory<'a>> = self.requests.values_mut().collect();
        requests.sort_by_key(|request| (request.sent.connection, request.sent_at));
        let mut previous: Option<(u64, Duration)> = None;
        for request in requests {
            let connection = request.sent.connection;
            let is_same = |(other, _): &(u64, Duration)| *other == connection;
            let previous_reply_at = previous.filter(is_same).map(|(_, at)| at);
            let client_time = request.sent_at + request.sent.timeout;
            request.reply_due_at = due_at(client_time, previous_reply_at);
            let answered_at = request.reply.map_or(request.reply_due_at, |(at, _)| at);
            previous = Some((connection, answered_at));
        }
    }

    /// Adds a record.
    fn add(&mut self, record: &'a Record) {
        let gateway = record.gateway.unwrap_or_default();
        match &record.event {
            Event::RequestSent(_) => {}
            Event::ReplyReceived { request, reply } => {
                if let Some(history) = self.requests.get_mut(request.as_str()) {
                    history.reply.get_or_insert((record.at, *reply));
                }
            }
            Event::AttemptReceived(attempt) => {
                if let Some(history) = self.requests.get_mut(attempt.request.as_str()) {
                    history.attempts.push(attempt);
                }
            }
            Event::ConnectionEnded { connection } => {
                let connection = self.connections.entry(*connection).or_default();
                connection.ended_at.get_or_insert(record.at);
            }
            Event::ClientClosed { connection } => {
                let connection = self.connections.entry(*connection).or_default();
                connection.closed_at.get_or_insert(record.at);
            }
            Event::ListChanged { node, status } => {
                let (at, status) = (record.at, *status);
                let change = StatusChange { at, status };
                self.changes.entry(node).or_default().push(change);
            }
            Event::Notified {
                node,
                status,
                write_began_at,
            } => {
                let change = StatusChange::written(*status, *write_began_at, record.at);
                let key = (gateway, node.as_str());
                self.notifications.entry(key).or_default().push(change);
            }
            Event::DiscoveryDown => self.outages.push((record.at, None)),
            Event::DiscoveryUp => {
                if let Some((_, end)) = self.outages.last_mut() {
                    end.get_or_insert(record.at);
                }
            }
            event => self.add_process_event(event, record.at, gateway),
        }
    }

    /// Adds a request.
    fn add_request(&mut self, sent: &'a SentRequest, at: Duration, gateway: GatewayIndex) {
        let history = RequestHistory {
            sent,
            sent_at: at,
            gateway,
            reply: None,
            reply_due_at: due_at(at + sent.timeout, None),
            attempts: Vec::new(),
        };
        self.requests.insert(&sent.request, history);
    }

    /// Adds an event of a process.
    fn add_process_event(&mut self, event: &Event, at: Duration, gateway: GatewayIndex) {
        if let Event::Started { spawn_began_at } = event {
            self.processes.push(ProcessHistory {
                gateway,
                runs_from: *spawn_began_at,
                started_at: at,
                ready_at: None,
                shutdown_requested_at: None,
                killed_at: None,
                exited: None,
            });
            return;
        }
        let mut processes = self.processes.iter_mut().rev();
        let Some(process) = processes.find(|process| process.gateway == gateway) else {
            return;
        };
        match event {
            Event::Ready => _ = process.ready_at.get_or_insert(at),
            Event::ShutdownRequested => _ = process.shutdown_requested_at.get_or_insert(at),
            Event::Killed => _ = process.killed_at.get_or_insert(at),
            Event::Exited { success } => _ = process.exited.get_or_insert((at, *success)),
            _ => {}
        }
    }

    /// Returns the process of a gateway that ran at a time, or ended before it: the one that was
    /// started last before the time.
    #[must_use]
    pub fn process_at(&self, gateway: GatewayIndex, at: Duration) -> Option<&ProcessHistory> {
        let mut processes = self.processes.iter().rev();
        processes.find(|process| process.gateway == gateway && process.runs_from <= at)
    }

    /// Returns whether a process of a gateway runs at a time.
    #[must_use]
    pub fn is_running(&self, gateway: GatewayIndex, at: Duration) -> bool {
        let process = self.process_at(gateway, at);
        process.is_some_and(|process| process.ended_at().is_none_or(|ended_at| ended_at > at))
    }

    /// Returns when discovery could be reached, at `at` or later; `None` if that was never again.
    #[must_use]
    pub fn reachable_from(&self, at: Duration) -> Option<Duration> {
        let mut reachable_at = at;
        for (start, end) in &self.outages {
            if *start <= reachable_at && end.is_none_or(|end| end > reachable_at) {
                reachable_at = (*end)?;
            }
        }
        Some(reachable_at)
    }

    /// Creates a violation that concerns a request, with all records of the request.
    #[must_use]
    pub fn request_violation(
        &self,
        rule: Rule,
        request: &RequestHistory<'_>,
        at: Duration,
        text: String,
    ) -> Violation {
        let id = request.sent.request.as_str();
        let connection = request.sent.connection;
        let concerns = |record: &&Record| match &record.event {
            Event::RequestSent(sent) => sent.request == id,
            Event::ReplyReceived { request, .. } => request == id,
            Event::AttemptReceived(attempt) => attempt.request == id,
            Event::ConnectionEnded { connection: other }
            | Event::ClientClosed { connection: other } => *other == connection,
            Event::ShutdownRequested
            | Event::Killed
            | Event::Exited { .. }
            | Event::Started { .. } => record.gateway == Some(request.gateway),
            Event::ListChanged { node, .. } | Event::Notified { node, .. } => {
                let is_node = |attempt: &&ReceivedAttempt| attempt.node == *node;
                let is_gateway = record.gateway.is_none_or(|index| index == request.gateway);
                is_gateway && request.attempts.iter().any(is_node)
            }
            Event::DiscoveryDown | Event::DiscoveryUp => rule == Rule::Drain,
            Event::Ready => false,
        };
        Violation {
            rule,
            at,
            request: Some(id.to_owned()),
            text,
            timeline: self.records.iter().filter(concerns).cloned().collect(),
        }
    }
}
