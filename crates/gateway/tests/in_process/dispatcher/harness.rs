//! Drives a dispatcher as the event loop does, with a virtual clock, and collects its commands.

use crate::support::settings::deployment_settings;
use deployment_settings::DeploymentSettings;
use io_scheduler::{
    ClassIndex, EndpointListEvent, EndpointStatus, Micros, NodeId, ObjectKey, Outcome, PlanIndex,
    RequestId, Shard, Units, VolumeId,
};
use storage_gateway::connection_token::ConnectionToken;
use storage_gateway::dispatcher::{AbortCause, Command, Dispatcher};
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::hex_id::HexId;
use storage_gateway::memory_budget::MemoryBudget;
use storage_gateway::storage_request::{
    AttemptId, AttemptResult, CommandNumber, Operation, ReplySlot, Response, ResponseBody,
    StorageRequest,
};
use storage_gateway::timer_queue::{Timer, TimerQueue};

/// Microseconds in one millisecond.
pub const MS: Micros = 1_000;
/// Memory limit of the gateway, in MiB.
pub const MEMORY_MB: usize = 64;
/// How long each client waits for a response, in microseconds.
pub const CLIENT_TIMEOUT: Micros = 6_000 * MS;
/// The volume of the requests that [`Harness::new_request`] creates.
pub const DEFAULT_VOLUME: VolumeId = VolumeId(1);
/// The class `read` of the settings, which is used for all operations but writes.
const READ_CLASS: ClassIndex = ClassIndex(0);
/// The class `write` of the settings.
const WRITE_CLASS: ClassIndex = ClassIndex(1);
/// Time at which each test starts, in microseconds.
const START_TIME: Micros = 1_000_000 * MS;
/// Seed of the hashes that the scheduler uses in place of random numbers.
const SCHEDULER_SEED: u64 = 7;

/// Identifies a request that was submitted.
pub struct SubmittedRequest {
    /// Number of the reply slot that gets its response.
    pub slot: u64,
    /// The id that the dispatcher assigned to the request.
    pub id: RequestId,
}

/// The final response to a request, as the dispatcher issued it.
pub struct FinalResponse {
    /// Number of the reply slot of the request.
    pub slot: u64,
    /// The response.
    pub response: Response,
}

/// An attempt that the dispatcher started with [`Command::StartAttempt`].
pub struct StartedAttempt {
    /// The id of the attempt.
    pub id: AttemptId,
    /// The node that the request is forwarded to.
    pub node: NodeId,
    /// When the attempt times out.
    pub times_out_at: Micros,
}

/// A dispatcher with the timers and the clock that an event loop would give it.
pub struct Harness {
    /// The dispatcher under test.
    pub dispatcher: Dispatcher,
    /// The timers that the dispatcher has set.
    pub timers: TimerQueue,
    /// The current time of the virtual clock.
    pub now: Micros,
    /// Commands that the dispatcher issued and that the test has not taken yet.
    pub commands: Vec<Command>,
    /// Number of requests submitted; also the number of the last reply slot.
    pub submitted_count: u64,
}

/// Returns the settings of the tests after `change` has modified them.
pub fn settings_with(change: impl FnOnce(&mut DeploymentSettings)) -> DeploymentSettings {
    let mut settings = deployment_settings();
    change(&mut settings);
    settings
}

/// Returns the record of a node in the endpoint list.
pub fn endpoint_record(name: &str, shard: u64, status: EndpointStatus) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        zone: "a".into(),
        shard: Shard(shard),
        status,
        started_at: None,
    }
}

/// Returns the record of a node that is in service.
pub fn in_service_record(name: &str, shard: u64) -> EndpointRecord {
    endpoint_record(name, shard, EndpointStatus::InService)
}

impl Harness {
    /// Creates a dispatcher that has received a snapshot of the endpoint list with these endpoints.
    pub fn new(settings: &DeploymentSettings, endpoints: &[EndpointRecord]) -> Harness {
        let budget = MemoryBudget::from_memory_mb(MEMORY_MB);
        let mut dispatcher = Dispatcher::new(settings, budget, SCHEDULER_SEED, START_TIME)
            .expect("the settings of the tests should be valid");
        dispatcher.update_endpoints(EndpointListEvent::Snapshot, endpoints, START_TIME);
        let mut harness = Harness {
            dispatcher,
            timers: TimerQueue::default(),
            now: START_TIME,
            commands: Vec::new(),
            submitted_count: 0,
        };
        harness.run_turn();
        harness.commands.clear();
        harness
    }

    /// Returns a request with a new object and a new client request id. The object and the id
    /// change only when a request is submitted.
    pub fn new_request(&self, operation: Operation, shard: Option<u64>) -> StorageRequest {
        StorageRequest {
            operation,
            object: ObjectKey(self.submitted_count),
            object_digits: HexId(self.submitted_count).into(),
            object_name: None,
            volume: DEFAULT_VOLUME,
            client_request_id: self.submitted_count.to_string().into(),
            class: if operation == Operation::Write {
                WRITE_CLASS
            } else {
                READ_CLASS
            },
            plan: PlanIndex(0),
            units: Units(1.0),
            shard: shard.map(Shard),
            host_count: 1.0,
            client_timeout: CLIENT_TIMEOUT,
            body: Vec::new(),
            parameters: Default::default(),
        }
    }

    /// Submits a request with a new object and a new client request id.
    pub fn submit(&mut self, operation: Operation, shard: Option<u64>) -> SubmittedRequest {
        self.submit_request(self.new_request(operation, shard))
    }

    /// Submits a request; its response gets the next reply slot.
    pub fn submit_request(&mut self, request: StorageRequest) -> SubmittedRequest {
        self.submitted_count += 1;
        let slot = self.submitted_count;
        let reply_slot = ReplySlot {
            connection: ConnectionToken::from(0),
            command_number: CommandNumber(slot),
        };
        let id = self
            .dispatcher
            .submit(request, reply_slot, self.now, &mut self.timers);
        SubmittedRequest { slot, id }
    }

    /// Sends the dispatcher a delta of the endpoint list that contains this endpoint.
    pub fn update_endpoint(&mut self, endpoint: EndpointRecord) {
        self.dispatcher
            .update_endpoints(EndpointListEvent::Delta, &[endpoint], self.now);
    }

    /// Runs one turn of the event loop: handles the expired timers, then runs the scheduler.
    pub fn run_turn(&mut self) {
        while let Some(timer) = self.timers.pop_expired(self.now) {
            let Timer::Dispatcher(timer) = timer else {
                panic!("the dispatcher set a timer of another component: {timer:?}");
            };
            self.dispatcher
                .handle_timer(timer, self.now, &mut self.timers);
        }
        self.dispatcher
            .run_scheduler(self.now, &mut self.timers, &mut self.commands);
    }

    /// Advances the clock by `duration`, then runs one turn.
    pub fn advance(&mut self, duration: Micros) {
        self.now += duration;
        self.run_turn();
    }

    /// Removes the commands that start an attempt and returns their attempts.
    pub fn take_started_attempts(&mut self) -> Vec<StartedAttempt> {
        let mut started = Vec::new();
        self.commands.retain(|command| match command {
            Command::StartAttempt {
                attempt,
                node,
                limits,
                ..
            } => {
                started.push(StartedAttempt {
                    id: *attempt,
                    node: *node,
                    times_out_at: limits.times_out_at,
                });
                false
            }
            _ => true,
        });
        started
    }

    /// Removes the commands that respond to a request and returns their responses.
    pub fn take_responses(&mut self) -> Vec<FinalResponse> {
        let mut responses = Vec::new();
        self.commands.retain(|command| match command {
            Command::Respond {
                reply_slot,
                response,
            } => {
                responses.push(FinalResponse {
                    slot: reply_slot.command_number.0,
                    response: response.clone(),
                });
                false
            }
            _ => true,
        });
        responses
    }

    /// Reports that so much of the request was written to the node that it may have executed it.
    pub fn record_may_have_executed(&mut self, attempt: AttemptId) {
        self.dispatcher.record_may_have_executed(attempt);
    }

    /// Reports the result of an attempt; a served one has the value `v`.
    pub fn complete(&mut self, attempt: AttemptId, outcome: Outcome) {
        let mut result = AttemptResult::without_body(outcome);
        if outcome == Outcome::Served {
            result.body = Some(ResponseBody::Value(b"v".to_vec()));
        }
        self.dispatcher
            .complete_attempt(attempt, result, self.now, &mut self.timers);
    }

    /// Reports that an attempt ended without a result.
    pub fn abort(&mut self, attempt: AttemptId, cause: AbortCause) {
        self.dispatcher
            .abort_attempt(attempt, cause, self.now, &mut self.timers);
    }
}
