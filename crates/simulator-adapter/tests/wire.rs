//! Tests that run the adapter as a process, send it lines, and check its replies and error texts.
//!
//! The simulator fixes the names on the wire. Events: `ENLIST` and `POWER_OFF` start and stop an
//! instance, `TARGETS` is an endpoint list (`SAVED`: the cached one), `INCOMING` a request,
//! `VANISHED` the disconnect of a client, `UNDER_WAY` the start of a response, `OUTCOME` the end of
//! an attempt, `ELAPSED` the timer, `PING_RESULT` a health check, and `FROM_PEER` a message from
//! another instance. Actions: `FORWARD` dispatches an attempt, `DROP_ATTEMPT` cancels it, `SHED`
//! rejects and `ABORT` fails a request, `OBSERVE` opens a watch, and `DEFER` sets the timer.
//! Fields: `lane` is the class, `qos_class` the plan, `share_id` the volume, `set_size` the number
//! of hosts, and `go` the number of the attempt.

use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The events of one instance within a batch.
#[derive(Clone)]
struct InstanceEvents {
    instance: u64,
    events: Vec<Value>,
}

/// A batch of events, which is one line of input.
struct Batch {
    frame: u64,
    now_ms: f64,
    parts: Vec<InstanceEvents>,
}

impl Batch {
    /// Creates a batch without events.
    fn new(frame: u64, now_ms: f64) -> Batch {
        Batch {
            frame,
            now_ms,
            parts: Vec::new(),
        }
    }

    /// Adds events of an instance.
    fn with(mut self, instance: u64, events: Vec<Value>) -> Batch {
        self.parts.push(InstanceEvents { instance, events });
        self
    }

    /// Returns the batch with the events of these instances only.
    fn restricted_to(&self, instances: &[u64]) -> Batch {
        let mut parts = self.parts.clone();
        parts.retain(|part| instances.contains(&part.instance));
        Batch { parts, ..*self }
    }

    /// Returns the batch as a line of JSON.
    fn line(&self) -> String {
        let mut parts = Vec::new();
        for InstanceEvents { instance, events } in &self.parts {
            parts.push(json!({"dispatcher_id": instance, "msgs": events}));
        }
        json!({"sim_time_ms": self.now_ms, "frame": self.frame, "parts": parts}).to_string()
    }
}

/// Runs the adapter with these lines as its input, and returns its output after it has exited.
fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter should start");
    let mut input = child.stdin.take().expect("standard input should be piped");
    // The write fails if the adapter has stopped at an invalid line before the end of the input.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter should exit")
}

/// Returns the replies to the batches, all of which must be valid.
fn replies(batches: &[Batch]) -> Vec<Value> {
    let lines: Vec<String> = batches.iter().map(Batch::line).collect();
    let output = run_adapter(&lines);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).expect("replies should be UTF-8");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("a reply should be JSON"))
        .collect()
}

/// Returns the error text for an invalid second line. The first line starts instance 0.
fn error_text(line: &str) -> String {
    let start = Batch::new(0, 1.0).with(0, start_events());
    let output = run_adapter(&[start.line(), line.to_owned()]);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("error texts should be UTF-8");
    assert!(!text.contains("panicked"), "{text}");
    assert!(text.contains("line 2"), "{text}");
    text
}

fn error_text_of_event(event: Value) -> String {
    error_text(&Batch::new(1, 2.0).with(0, vec![event]).line())
}

fn settings() -> Value {
    json!({
        "allowed": {"max_attempts": 3, "may_cancel": true},
        "classes": [{
            "aim_ms": 150.0, "effect": "pure", "group": "all", "name": "read", "points": 3.0
        }],
        "discovery": "subscribe", "group_size": 1,
        "domain": {"cold_bears": 19.0, "unit_mean": 2.0, "units_top": 6},
        "plans": [{
            "name": "basic", "parts": 1.0, "pays": 1.0, "reservation": 0.9, "usual_rate": 3.0
        }],
        "rules": {
            "cold_from": 0.2, "cold_ms": 17000.0, "fall_ms": 1000.0, "must_ask_in_ms": 10000.0
        },
        "unknown_key": {"x": [1, 2]}
    })
}

/// Returns the events that start an instance with one node.
fn start_events() -> Vec<Value> {
    vec![
        json!({"ENLIST": {"rng_seed": 5, "info": settings()}}),
        json!({"TARGETS": {"kind": "SAVED", "stamp": 1, "rows_in": [{
            "az": "a", "server": "10.0.0.1:1", "unit_group": 0, "condition": "SERVING", "weight": 1
        }]}}),
    ]
}

fn request_received(request: &str, deadline_ms: f64) -> Value {
    json!({"INCOMING": {
        "ref": request, "qos_class": "basic", "lane": "read", "share_id": 7, "set_size": 1,
        "due_ms": deadline_ms, "shard": 0, "cost_units": 1
    }})
}

fn timer_fired() -> Value {
    json!({"ELAPSED": {"ref": "wake"}})
}

/// Returns the actions of an instance in a reply.
fn actions_of(reply: &Value, instance: u64) -> Vec<Value> {
    let parts = reply["parts"].as_array().expect("parts should be a list");
    let part = parts.iter().find(|part| part["dispatcher_id"] == instance);
    part.map_or(vec![], |part| {
        part["output"]
            .as_array()
            .expect("output should be a list")
            .clone()
    })
}

fn has_action(actions: &[Value], name: &str) -> bool {
    actions.iter().any(|action| action.get(name).is_some())
}

#[test]
fn request_is_dispatched_and_empty_batch_gets_empty_reply() {
    let replies = replies(&[
        Batch::new(0, 1.0),
        Batch::new(1, 2.0).with(3, start_events()),
        Batch::new(2, 3.25).with(3, vec![request_received("c:a", 1203.25)]),
    ]);
    assert_eq!(replies[0], json!({"frame": 0, "parts": []}));
    assert!(has_action(&actions_of(&replies[1], 3), "OBSERVE"));
    let dispatch =
        json!({"FORWARD": {"ref": "c:a", "server": "10.0.0.1:1", "try_until_ms": 153.25}});
    assert_eq!(actions_of(&replies[2], 3)[0], dispatch);
}

#[test]
fn each_scheduler_action_is_encoded() {
    let mut start = start_events();
    start[0]["ENLIST"]["info"]["classes"][0]["effect"] = json!("side_effect");
    let timed_out = json!({"OUTCOME": {"ref": "c:a", "status": 408, "server": "10.0.0.1:1"}});
    let mut without_node = request_received("c:c", 500.0);
    without_node["INCOMING"]["shard"] = json!(9);
    let replies = replies(&[
        Batch::new(0, 1.0).with(0, start),
        Batch::new(1, 2.0).with(0, vec![request_received("c:a", 900.0)]),
        Batch::new(2, 3.0).with(0, vec![timed_out]),
        Batch::new(3, 4.0).with(0, vec![request_received("c:b", 900.0)]),
        Batch::new(4, 5.0).with(0, vec![json!({"VANISHED": {"ref": "c:b"}})]),
        Batch::new(5, 6.0).with(0, vec![without_node]),
        Batch::new(6, 400.0).with(0, vec![timer_fired()]),
    ]);
    let actions = |frame: usize| actions_of(&replies[frame], 0);
    assert_eq!(actions(0)[0], json!({"OBSERVE": {"on": true}}));
    let timer = &actions(0)[1]["DEFER"];
    let delay_ms = timer["wait_ms"]
        .as_f64()
        .expect("the delay should be a number");
    assert!(delay_ms > 0.0);
    assert_eq!(*timer, json!({"ref": "wake", "wait_ms": delay_ms}));
    assert_eq!(actions(2), [json!({"ABORT": {"ref": "c:a"}})]);
    let cancellation = json!({"DROP_ATTEMPT": {"ref": "c:b", "go": 0}});
    assert_eq!(actions(4), [cancellation]);
    let rejection = &actions(6)[0]["SHED"];
    let retry_after_ms = rejection["retry_after_ms"].as_f64();
    let retry_after_ms = retry_after_ms.expect("Retry-After should be a number");
    assert_eq!(
        *rejection,
        json!({"ref": "c:c", "retry_after_ms": retry_after_ms})
    );
}

#[test]
fn ignored_events_cause_no_action_except_timers() {
    let event_of_unknown_request = |name: &str| json!({ name: {"ref": "c:none"} });
    let events = vec![
        event_of_unknown_request("VANISHED"),
        event_of_unknown_request("ELAPSED"),
        event_of_unknown_request("UNDER_WAY"),
        json!({"OUTCOME": {"ref": "c:none", "status": 408, "server": "10.9.9.9:9"}}),
        json!({"PING_RESULT": {"status": 200, "server": "10.9.9.9:9", "telemetry": []}}),
        json!({"FROM_PEER": {"sender": 1, "content": "00"}}),
    ];
    let replies = replies(&[
        Batch::new(0, 1.0).with(0, start_events()),
        Batch::new(1, 2.0).with(0, events),
    ]);
    let only_timers = actions_of(&replies[1], 0)
        .iter()
        .all(|action| action.get("DEFER").is_some());
    assert!(only_timers, "{}", replies[1]);
}

#[test]
fn events_before_a_restart_in_the_same_batch_are_discarded() {
    let mut restart = vec![request_received("c:a", 900.0), json!({"POWER_OFF": {}})];
    restart.extend(start_events());
    let late_outcome = json!({"OUTCOME": {"ref": "c:a", "status": 502, "server": "10.0.0.1:1"}});
    let replies = replies(&[
        Batch::new(0, 1.0).with(0, start_events()),
        Batch::new(1, 2.0).with(0, restart),
        Batch::new(2, 950.0).with(0, vec![timer_fired(), late_outcome]),
    ]);
    let after_restart = actions_of(&replies[1], 0);
    assert!(has_action(&after_restart, "OBSERVE") && !has_action(&after_restart, "FORWARD"));
    let after_outcome = actions_of(&replies[2], 0);
    assert!(!has_action(&after_outcome, "SHED") && !has_action(&after_outcome, "FORWARD"));
}

/// Returns batches that send 40 requests to each of two instances. Only the first instance also
/// gets the outcomes of its attempts.
fn batches_of_two_instances() -> Vec<Batch> {
    let served = |request: &str| {
        json!({"OUTCOME": {"ref": request, "status": 200, "complete": true, "server": "10.0.0.1:1",
            "time_taken_ms": 18.5, "go": 0}})
    };
    let start = Batch::new(0, 1.0)
        .with(0, start_events())
        .with(1, start_events());
    let mut batches = vec![start];
    for number in 0..40u64 {
        let now_ms = 10.0 + 20.0 * number as f64;
        let mut first = vec![request_received(&format!("c:a{number}"), now_ms + 600.0)];
        if number % 3 == 0 {
            first.insert(0, timer_fired());
        }
        if number > 0 {
            first.push(served(&format!("c:a{}", number - 1)));
        }
        let second = vec![request_received(&format!("c:b{number}"), now_ms + 600.0)];
        let batch = Batch::new(number + 1, now_ms)
            .with(0, first)
            .with(1, second);
        batches.push(batch);
    }
    batches
}

#[test]
fn instances_in_one_process_act_as_in_separate_processes() {
    let batches = batches_of_two_instances();
    let replies_for = |instances: &[u64]| {
        let batches: Vec<Batch> = batches
            .iter()
            .map(|batch| batch.restricted_to(instances))
            .collect();
        replies(&batches)
    };
    let together = replies_for(&[0, 1]);
    let first_alone = replies_for(&[0]);
    let second_alone = replies_for(&[1]);
    for frame in 0..batches.len() {
        assert_eq!(
            actions_of(&together[frame], 0),
            actions_of(&first_alone[frame], 0)
        );
        assert_eq!(
            actions_of(&together[frame], 1),
            actions_of(&second_alone[frame], 1)
        );
    }
}

#[test]
fn invalid_line_is_reported_with_its_number_and_field() {
    assert!(error_text("{not json").contains("simulator-adapter"));
    assert!(error_text_of_event(json!({"NEWS": {}})).contains("NEWS"));
    let missing_fields = json!({"INCOMING": {"ref": "c:a"}});
    assert!(error_text_of_event(missing_fields).contains("INCOMING"));
    let mut mistyped_deadline = request_received("c:a", 5.0);
    mistyped_deadline["INCOMING"]["due_ms"] = json!("soon");
    assert!(error_text_of_event(mistyped_deadline).contains("due_ms"));
    let mut unknown_class = request_received("c:a", 5.0);
    unknown_class["INCOMING"]["lane"] = json!("nowhere");
    assert!(error_text_of_event(unknown_class).contains("lane"));
    let unknown_status = json!({"OUTCOME": {"ref": "c:a", "status": 299, "server": "10.0.0.1:1"}});
    assert!(error_text_of_event(unknown_status).contains("299"));
    let not_started = Batch::new(1, 2.0).with(7, vec![request_received("c:a", 5.0)]);
    assert!(error_text(&not_started.line()).contains("ENLIST"));
}

#[test]
fn error_text_states_the_line_the_event_and_the_cause() {
    let mut unknown_idempotency = settings();
    unknown_idempotency["classes"][0]["effect"] = json!("sometimes");
    let mut unknown_plan = request_received("c:a", 5.0);
    unknown_plan["INCOMING"]["qos_class"] = json!("gold");
    let mut unknown_class = request_received("c:a", 5.0);
    unknown_class["INCOMING"]["lane"] = json!("nowhere");
    for (event, cause) in [
        (
            json!({"ENLIST": {"rng_seed": 5, "info": unknown_idempotency}}),
            "ENLIST: field classes.effect: unknown value 'sometimes'; expected pure, token or \
             side_effect",
        ),
        (
            unknown_plan,
            "INCOMING c:a: field qos_class: unknown plan 'gold'; expected one of info.plans",
        ),
        (
            unknown_class,
            "INCOMING c:a: field lane: unknown class 'nowhere'; expected one of info.classes",
        ),
        (
            json!({"OUTCOME": {"ref": "c:a", "status": 299, "server": "10.0.0.1:1"}}),
            "OUTCOME c:a: field status: unknown status code 299; expected 200, 408, 409, 429, 444, \
             502, 520 or 521",
        ),
    ] {
        assert_eq!(
            error_text_of_event(event),
            format!("simulator-adapter: line 2: {cause}\n")
        );
    }
    let not_started = Batch::new(1, 2.0).with(7, vec![timer_fired()]);
    let expected = "simulator-adapter: line 2: dispatcher_id 7: event for an instance that is not \
                    running; expected ENLIST\n";
    assert_eq!(error_text(&not_started.line()), expected);
    let trailing = Batch::new(1, 2.0).line() + "{}";
    assert!(error_text(&trailing)
        .starts_with("simulator-adapter: line 2: unexpected data after the batch: trailing"));
}
