//! A dispatcher with the timers and the clock of an event loop.

use crate::support::settings::deployment_settings;
use deployment_settings::DeploymentSettings;
use io_scheduler::{
    ClassIndex, EndpointListEvent, EndpointStatus, Micros, NodeId, ObjectKey, Outcome, PlanIndex,
    RequestId, Shard, Units, VolumeId,
};
use storage_gateway::connection_token::ConnectionToken;
use storage_gateway::dispatcher::{AbortCause, Command, Dispatcher};
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::memory_budget::MemoryBudget;
use storage_gateway::storage_request::{
    AttemptId, AttemptResult, CommandNumber, Operation, ReplySlot, Response, ResponseBody,
    StorageRequest,
};
use storage_gateway::timer_queue::{Timer, TimerQueue};

/// Microseconds in one millisecond.
pub const MS: Micros = 1_000;
/// Memory of the gateway, in megabytes.
pub const MEMORY_MB: usize = 64;
/// How long a client waits for a response.
pub const CLIENT_TIMEOUT: Micros = 6_000 * MS;
/// The volume of requests that state no other.
pub const DEFAULT_VOLUME: VolumeId = VolumeId(1);
/// The class of reads in the settings.
const READ_CLASS: ClassIndex = ClassIndex(0);
/// The class of writes in the settings.
const WRITE_CLASS: ClassIndex = ClassIndex(1);
/// When the tests start.
const START: Micros = 1_000_000 * MS;
/// Seed of the scheduler's random numbers.
const SCHEDULER_SEED: u64 = 7;

/// A request that was submitted.
pub struct Submitted {
    /// The slot of its response.
    pub slot: u64,
    /// The id that the dispatcher gave it.
    pub id: RequestId,
}

/// The final response to a request.
pub struct Responded {
    /// The slot of the request.
    pub slot: u64,
    /// The response.
    pub response: Response,
}

/// An attempt that the dispatcher has started.
pub struct StartedAttempt {
    /// Its id.
    pub id: AttemptId,
    /// The node that it goes to.
    pub node: NodeId,
    /// When it times out.
    pub times_out_at: Micros,
}

/// A dispatcher with the timers and the clock of an event loop.
pub struct Harness {
    /// The dispatcher under test.
    pub dispatcher: Dispatcher,
    /// The timers that it has set.
    pub timers: TimerQueue,
    /// The current time.
    pub now: Micros,
    /// The commands that were given and not taken out.
    pub commands: Vec<Command>,
    /// Number of requests submitted.
    pub submitted: u64,
}

/// The settings of the tests, changed by `change`.
pub fn settings_with(change: impl FnOnce(&mut DeploymentSettings)) -> DeploymentSettings {
    let mut settings = deployment_settings();
    change(&mut settings);
    settings
}

/// A record of an endpoint list.
pub fn endpoint(name: &str, shard: u64, status: EndpointStatus) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        zone: "a".into(),
        shard: Shard(shard),
        status,
        started_at: None,
    }
}

/// The record of a node that serves.
pub fn in_service(name: &str, shard: u64) -> EndpointRecord {
    endpoint(name, shard, EndpointStatus::InService)
}

impl Harness {
    /// A dispatcher that has received the list of these endpoints.
    pub fn new(settings: &DeploymentSettings, endpoints: &[EndpointRecord]) -> Harness {
        let budget = MemoryBudget::from_memory_mb(MEMORY_MB);
        let mut dispatcher =
            Dispatcher::new(settings, budget, SCHEDULER_SEED, START).expect("valid settings");
        dispatcher.update_endpoints(EndpointListEvent::Snapshot, endpoints, START);
        let mut harness = Harness {
            dispatcher,
            timers: TimerQueue::default(),
            now: START,
            commands: Vec::new(),
            submitted: 0,
        };
        harness.run_turn();
        harness.commands.clear();
        harness
    }

    /// A request with an object and a client request id of its own.
    pub fn new_request(&self, operation: Operation, shard: Option<u64>) -> StorageRequest {
        StorageRequest {
            operation,
            object: ObjectKey(self.submitted),
            object_name: None,
            volume: DEFAULT_VOLUME,
            client_request_id: self.submitted.to_string().into(),
            class: if operation == Operation::Write {
                WRITE_CLASS
            } else {
                READ_CLASS
            },
            plan: PlanIndex(0),
            units: Units(1.0),
            shard: shard.map(Shard),
            hosts: 1.0,
            client_timeout: CLIENT_TIMEOUT,
            body: Vec::new(),
            parameters: Default::default(),
        }
    }

    /// Submits a request with an object and a client request id of its own.
    pub fn submit(&mut self, operation: Operation, shard: Option<u64>) -> Submitted {
        self.submit_request(self.new_request(operation, shard))
    }

    /// Submits a request.
    pub fn submit_request(&mut self, request: StorageRequest) -> Submitted {
        self.submitted += 1;
        let slot = self.submitted;
        let reply_slot = ReplySlot {
            connection: ConnectionToken::from(0),
            command_number: CommandNumber(slot),
        };
        let id = self
            .dispatcher
            .submit(request, reply_slot, self.now, &mut self.timers);
        Submitted { slot, id }
    }

    /// Passes on a change of one endpoint.
    pub fn update_endpoint(&mut self, endpoint: EndpointRecord) {
        self.dispatcher
            .update_endpoints(EndpointListEvent::Delta, &[endpoint], self.now);
    }

    /// One turn of the event loop: expired timers, then the scheduler.
    pub fn run_turn(&mut self) {
        while let Some(timer) = self.timers.pop_expired(self.now) {
            let Timer::Dispatcher(timer) = timer else {
                panic!("the dispatcher has set {timer:?}");
            };
            self.dispatcher
                .handle_timer(timer, self.now, &mut self.timers);
        }
        self.dispatcher
            .run_scheduler(self.now, &mut self.timers, &mut self.commands);
    }

    /// Lets time pass, then runs one turn.
    pub fn advance(&mut self, span: Micros) {
        self.now += span;
        self.run_turn();
    }

    /// Takes the attempts started out of the commands.
    pub fn take_started_attempts(&mut self) -> Vec<StartedAttempt> {
        let mut started = Vec::new();
        self.commands.retain(|command| match command {
            Command::StartAttempt {
                attempt,
                node,
                times_out_at,
                ..
            } => {
                started.push(StartedAttempt {
                    id: *attempt,
                    node: *node,
                    times_out_at: *times_out_at,
                });
                false
            }
            _ => true,
        });
        started
    }

    /// Takes the final responses out of the commands.
    pub fn take_responses(&mut self) -> Vec<Responded> {
        let mut responses = Vec::new();
        self.commands.retain(|command| match command {
            Command::Respond {
                reply_slot,
                response,
            } => {
                responses.push(Responded {
                    slot: reply_slot.command_number.0,
                    response: response.clone(),
                });
                false
            }
            _ => true,
        });
        responses
    }

    /// So much of the attempt is written that the node may have executed the request.
    pub fn record_may_have_executed(&mut self, attempt: AttemptId) {
        self.dispatcher.record_may_have_executed(attempt);
    }

    /// The node answers the attempt.
    pub fn complete(&mut self, attempt: AttemptId, outcome: Outcome) {
        let mut result = AttemptResult::without_body(outcome);
        if outcome == Outcome::Served {
            result.body = Some(ResponseBody::Value(b"v".to_vec()));
        }
        self.dispatcher
            .complete_attempt(attempt, result, self.now, &mut self.timers);
    }

    /// The attempt ends without an answer.
    pub fn abort(&mut self, attempt: AttemptId, cause: AbortCause) {
        self.dispatcher
            .abort_attempt(attempt, cause, self.now, &mut self.timers);
    }
}
