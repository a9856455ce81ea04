//! Translates between the wire's names and the interface's ids; one scheduler for each instance.

use crate::wire::{Act, Batch, Condition, Incoming, ListKind, Msg, OutcomeMsg, Reply, ReplyPart, Row};
use deployment_settings::{micros, DeploymentSettings};
use std::collections::{BTreeMap, HashMap};

/// Every instance that this process hosts. They share nothing.
#[derive(Default)]
pub struct Hosts {
    hosts: BTreeMap<u64, Host>,
}

struct Host {
    scheduler: io_scheduler::Scheduler,
    classes: Vec<String>,
    plans: Vec<String>,
    zones: Vec<String>,
    /// Which value of a load report tells the requests waiting or in hand.
    load: Option<usize>,
    nodes: HashMap<String, io_scheduler::NodeId>,
    node_names: Vec<String>,
    requests: HashMap<String, io_scheduler::RequestId>,
    /// Names of the requests that may still be spoken of.
    names: HashMap<io_scheduler::RequestId, Named>,
    taken: u64,
}

struct Named {
    name: String,
    out: u32,
    open: bool,
}

fn millis(us: io_scheduler::Micros) -> f64 {
    us as f64 / 1000.0
}

impl Hosts {
    /// Hands each instance its events and gathers the actions.
    pub fn answer(&mut self, batch: Batch) -> Result<Reply, String> {
        let now = micros(batch.sim_time_ms);
        let mut reply = Reply { frame: batch.frame, parts: Vec::new() };
        for part in batch.parts {
            let id = part.dispatcher_id;
            let mut events = Vec::new();
            for msg in part.msgs {
                match msg {
                    Msg::Enlist { rng_seed, info } => {
                        events.clear();
                        self.hosts.insert(id, Host::new(rng_seed, &info, now)?);
                    }
                    Msg::PowerOff {} => {
                        events.clear();
                        self.hosts.remove(&id);
                    }
                    other => {
                        let host = self.hosts.get_mut(&id);
                        let host = host.ok_or_else(|| format!("dispatcher_id {id}: event before ENLIST"))?;
                        events.extend(host.event(other)?);
                    }
                }
            }
            let Some(host) = self.hosts.get_mut(&id) else { continue };
            let mut actions = Vec::new();
            host.scheduler.handle(now, &events, &mut actions);
            let output: Vec<Act> = actions.into_iter().filter_map(|a| host.action(a, now)).collect();
            host.names.retain(|_, n| n.open || n.out > 0);
            let names = &host.names;
            host.requests.retain(|_, id| names.contains_key(id));
            if !output.is_empty() {
                reply.parts.push(ReplyPart { dispatcher_id: id, output });
            }
        }
        Ok(reply)
    }
}

impl Host {
    fn new(seed: u64, info: &DeploymentSettings, now: io_scheduler::Micros) -> Result<Self, String> {
        let fields = ["queue", "pending", "busy_reqs"];
        Ok(Host {
            scheduler: io_scheduler::Scheduler::new(
                info.to_scheduler_settings().map_err(|e| format!("ENLIST: {e}"))?,
                seed,
                now,
            ),
            classes: info.classes.iter().map(|c| c.name.clone()).collect(),
            plans: info.plans.iter().map(|p| p.name.clone()).collect(),
            zones: info.zones.clone(),
            load: info.load_report.value_names.iter().position(|n| fields.contains(&n.as_str())),
            nodes: HashMap::new(),
            node_names: Vec::new(),
            requests: HashMap::new(),
            names: HashMap::new(),
            taken: 0,
        })
    }

    fn node(&mut self, name: &str) -> io_scheduler::NodeId {
        if let Some(id) = self.nodes.get(name) {
            return *id;
        }
        let id = io_scheduler::NodeId(self.node_names.len() as u64);
        self.node_names.push(name.to_owned());
        self.nodes.insert(name.to_owned(), id);
        id
    }

    fn event(&mut self, msg: Msg) -> Result<Option<io_scheduler::Event>, String> {
        Ok(match msg {
            Msg::Targets { kind, rows_in } => {
                let kind = match kind {
                    ListKind::Saved => io_scheduler::EndpointListEvent::Cached,
                    ListKind::Full => io_scheduler::EndpointListEvent::Snapshot,
                    ListKind::Incremental => io_scheduler::EndpointListEvent::Delta,
                    ListKind::Failed => io_scheduler::EndpointListEvent::PollFailed,
                };
                let lines = rows_in.iter().map(|r| self.listed(r)).collect();
                Some(io_scheduler::Event::EndpointList(kind, lines))
            }
            Msg::Incoming(r) => Some(io_scheduler::Event::RequestReceived(self.request(r)?)),
            Msg::Elapsed {} => Some(io_scheduler::Event::TimerFired),
            Msg::UnderWay { id } => self.closed(&id).map(io_scheduler::Event::ResponseStarted),
            Msg::Vanished { id } => self.closed(&id).map(io_scheduler::Event::ClientDisconnected),
            Msg::PingResult { time_taken_ms, status, server, telemetry } => {
                Some(io_scheduler::Event::HealthCheckCompleted {
                    node: self.node(&server),
                    healthy: status == 200,
                    elapsed: micros(time_taken_ms),
                    load: self.load.and_then(|at| telemetry?.get(at).copied()),
                })
            }
            Msg::Outcome(o) => self.ended(&o)?,
            Msg::FromPeer {} | Msg::Enlist { .. } | Msg::PowerOff {} => None,
        })
    }

    fn listed(&mut self, row: &Row) -> io_scheduler::Endpoint {
        let zone = self.zones.iter().position(|z| *z == row.az).unwrap_or_else(|| {
            self.zones.push(row.az.clone());
            self.zones.len() - 1
        });
        io_scheduler::Endpoint {
            node: self.node(&row.server),
            zone: io_scheduler::Zone(zone as u64),
            shard: io_scheduler::Shard(row.unit_group),
            status: match row.condition {
                Condition::Serving => io_scheduler::EndpointStatus::InService,
                Condition::Draining => io_scheduler::EndpointStatus::Draining,
                Condition::Deleted => io_scheduler::EndpointStatus::Removed,
            },
            started_at: row.online_since_ms.filter(|ms| *ms > 0.0).map(micros),
        }
    }

    fn request(&mut self, r: Incoming) -> Result<io_scheduler::Request, String> {
        let index = |names: &[String], name: &str, field: &str| {
            let at = names.iter().position(|n| n == name);
            at.ok_or_else(|| format!("INCOMING {}: field {field}: '{name}' is not in the settings", r.id))
        };
        let id = io_scheduler::RequestId(self.taken);
        self.taken += 1;
        let request = io_scheduler::Request {
            id,
            volume: io_scheduler::VolumeId(r.share_id),
            plan: index(&self.plans, &r.qos_class, "qos_class")?,
            class: index(&self.classes, &r.lane, "lane")?,
            key: r.region.map(io_scheduler::ObjectKey),
            shard: (r.shard >= 0.0).then_some(io_scheduler::Shard(r.shard as u64)),
            units: r.cost_units,
            hosts: r.set_size.unwrap_or_default(),
            deadline: micros(r.due_ms),
            is_retry: r.resent,
        };
        self.requests.insert(r.id.clone(), id);
        self.names.insert(id, Named { name: r.id, out: 0, open: true });
        Ok(request)
    }

    /// The request that the wire says is closed, if it is still known.
    fn closed(&mut self, name: &str) -> Option<io_scheduler::RequestId> {
        let id = *self.requests.get(name)?;
        self.names.get_mut(&id)?.open = false;
        Some(id)
    }

    fn ended(&mut self, o: &OutcomeMsg) -> Result<Option<io_scheduler::Event>, String> {
        let outcome = match o.status {
            200 => io_scheduler::Outcome::Served,
            502 => io_scheduler::Outcome::Error,
            429 => io_scheduler::Outcome::Overloaded,
            408 => io_scheduler::Outcome::TimedOut,
            521 => io_scheduler::Outcome::ConnectFailed,
            520 => io_scheduler::Outcome::Reset,
            444 => io_scheduler::Outcome::Cancelled,
            409 => io_scheduler::Outcome::NotDispatched,
            other => return Err(format!("OUTCOME {}: field status: {other} is not an outcome", o.id)),
        };
        let node = self.node(&o.server);
        let Some(id) = self.requests.get(&o.id).copied() else { return Ok(None) };
        if let Some(named) = self.names.get_mut(&id) {
            named.out = named.out.saturating_sub(1);
            named.open &= !o.complete;
        }
        Ok(Some(io_scheduler::Event::AttemptCompleted(io_scheduler::CompletedAttempt {
            request: id,
            number: o.go,
            node,
            outcome,
            request_closed: o.complete,
            elapsed: micros(o.time_taken_ms),
            remote_units: o.delta,
            utilization: (o.used >= 1.0).then(|| (o.used - 1.0) / 100.0),
        })))
    }

    fn action(&mut self, action: io_scheduler::Action, now: io_scheduler::Micros) -> Option<Act> {
        let name = |id: &io_scheduler::RequestId| self.names.get(id).map(|n| n.name.clone());
        Some(match action {
            io_scheduler::Action::Dispatch { request, node, deadline } => {
                let named = self.names.get_mut(&request)?;
                named.out += 1;
                let server = self.node_names[node.0 as usize].clone();
                Act::Forward { id: named.name.clone(), server, try_until_ms: millis(deadline) }
            }
            io_scheduler::Action::Reject { request, retry_after } => {
                let named = self.names.get_mut(&request)?;
                named.open = false;
                Act::Shed { id: named.name.clone(), retry_after_ms: millis(retry_after) }
            }
            io_scheduler::Action::Fail(request) => {
                let named = self.names.get_mut(&request)?;
                named.open = false;
                Act::Abort { id: named.name.clone() }
            }
            io_scheduler::Action::Cancel { request, attempt } => {
                Act::DropAttempt { id: name(&request)?, go: attempt }
            }
            io_scheduler::Action::OpenWatch => Act::Observe { on: true },
            io_scheduler::Action::HealthCheck(node) => {
                Act::SoundOut { server: self.node_names[node.0 as usize].clone() }
            }
            io_scheduler::Action::SetTimer(at) => {
                Act::Defer { id: "wake".to_owned(), wait_ms: millis((at - now).max(0)) }
            }
        })
    }
}
