//! Tests of the settings object: how its keys are decoded, and to which settings of the scheduler
//! they are converted.

use deployment_settings::{micros, DeploymentSettings, UnknownValue};
use io_scheduler::{DeduplicationScope, Idempotency, Micros, Settings, Units, UnitsPerSecond};
use serde_json::{json, Value};

fn decode(object: Value) -> DeploymentSettings {
    serde_json::from_value(object).expect("the settings should decode")
}

fn convert(object: Value) -> Settings {
    decode(object)
        .to_scheduler_settings()
        .expect("the settings should convert")
}

fn conversion_error(object: Value) -> UnknownValue {
    decode(object)
        .to_scheduler_settings()
        .expect_err("the settings should fail to convert")
}

#[test]
fn empty_object_gives_zeros_and_disables_optional_features() {
    let settings = convert(json!({}));
    assert!(settings.classes.is_empty());
    assert!(settings.plans.is_empty());
    assert_eq!(settings.host_count, 0);
    assert_eq!(settings.max_attempts, 0);
    assert!(!settings.cancellation_allowed);
    assert_eq!(settings.discovery_clients, 0);
    assert_eq!(settings.max_poll_interval, 0);
    assert_eq!(settings.quiesce_period, 0);
    assert!(settings.retry_budget.is_none());
    assert_eq!(settings.usage_report_period, 0);
    assert!(!settings.reports_remote_units);
}

#[test]
fn each_optional_feature_has_its_own_key() {
    let settings = convert(json!({"allowed": {"max_attempts": 4}}));
    assert_eq!(settings.max_attempts, 4);
    for key in ["may_cancel", "probes", "second_copies"] {
        let object = json!({"allowed": { key: true }});
        let features_and_limits = decode(object.clone()).features_and_limits;
        assert_eq!(
            features_and_limits.cancellation,
            key == "may_cancel",
            "{key}"
        );
        assert_eq!(features_and_limits.health_checks, key == "probes", "{key}");
        assert_eq!(features_and_limits.hedging, key == "second_copies", "{key}");
        let settings = convert(object);
        assert_eq!(settings.cancellation_allowed, key == "may_cancel", "{key}");
    }
}

#[test]
fn each_class_key_is_converted() {
    let object = json!({"classes": [
        {"aim_ms": 150.5, "points": 3.0, "late_value": 0.25, "effect": "pure", "by_arrival": true},
        {"effect": "side_effect"}
    ]});
    assert_eq!(decode(object.clone()).classes[0].late_value, 0.25);
    let settings = convert(object);
    let class = &settings.classes[0];
    assert_eq!(class.latency_objective, 150_500);
    assert_eq!(class.priority_weight, 3.0);
    assert_eq!(class.idempotency, Idempotency::Idempotent);
    assert!(class.ordered);
    assert_eq!(settings.classes[1].idempotency, Idempotency::NonIdempotent);
    assert!(!settings.classes[1].ordered);
}

#[test]
fn idempotency_key_gets_scope_and_window_of_its_class() {
    for (group, scope) in [
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Shard),
        ("all", DeduplicationScope::All),
        ("", DeduplicationScope::All),
    ] {
        let class = json!({"effect": "token", "group": group, "key_ttl_ms": 2000.0});
        let settings = convert(json!({ "classes": [class] }));
        let expected = Idempotency::WithKey {
            scope,
            window: 2_000_000,
        };
        assert_eq!(settings.classes[0].idempotency, expected, "group '{group}'");
    }
}

#[test]
fn each_plan_key_is_converted() {
    let object = json!({"plans": [{
        "reservation": 1.0, "parts": 2.0, "never_over": 3.0, "cap_depth": 4.0, "limit_slack": 5.0,
        "pays": 6.0, "usual_rate": 7.0
    }]});
    let decoded = &decode(object.clone()).plans[0];
    assert_eq!(decoded.overdraft, 5.0);
    assert_eq!(decoded.tenant_weight, 6.0);
    let settings = convert(object);
    let plan = &settings.plans[0];
    assert_eq!(plan.reservation, UnitsPerSecond(1.0));
    assert_eq!(plan.weight, 2.0);
    assert_eq!(plan.limit, UnitsPerSecond(3.0));
    assert_eq!(plan.burst_capacity, Units(4.0));
    assert_eq!(plan.provisioned_rate, UnitsPerSecond(7.0));
}

#[test]
fn each_domain_key_is_converted() {
    let settings = convert(json!({"domain": {
        "cold_bears": 1.0, "unit_mean": 2.0, "units_top": 3.0, "meter_ms": 4.0, "fair_worth": 5.0,
        "spare_worth": 6.0, "counts_others": true
    }}));
    assert_eq!(settings.slow_start.initial_units_per_window, Units(1.0));
    assert_eq!(settings.mean_units, Units(2.0));
    assert_eq!(settings.max_units, Units(3.0));
    assert_eq!(settings.usage_report_period, 4_000);
    assert_eq!(settings.provisioned_value, 5.0);
    assert_eq!(settings.surplus_value, 6.0);
    assert!(settings.reports_remote_units);
}

#[test]
fn each_rules_key_is_converted() {
    let object = json!({"rules": {
        "cold_from": 1.0, "cold_ms": 2.0, "fall_ms": 3.0, "tip_multiple": 4.0,
        "must_ask_in_ms": 5.0, "order_settle_ms": 6.0, "stop_sending_within_ms": 7.0,
        "resend_span_ms": 8.0, "extra_free": 9.0, "further_ratio": 10.0
    }});
    assert_eq!(decode(object.clone()).rules.drain_grace_ms, 7.0);
    let settings = convert(object);
    assert_eq!(settings.slow_start.initial_capacity, 1.0);
    assert_eq!(settings.slow_start.duration, 2_000);
    assert_eq!(settings.slow_start.window, 3_000);
    assert_eq!(settings.slow_start.burst_factor, 4.0);
    assert_eq!(settings.max_poll_interval, 5_000);
    assert_eq!(settings.quiesce_period, 6_000);
    let budget = settings
        .retry_budget
        .expect("the window should enable the retry budget");
    assert_eq!(budget.window, 8_000);
    assert_eq!(budget.allowance, 9.0);
    assert_eq!(budget.ratio, 10.0);
}

#[test]
fn retry_budget_requires_a_window() {
    let settings = convert(json!({"rules": {"extra_free": 9.0, "further_ratio": 10.0}}));
    assert!(settings.retry_budget.is_none());
    let settings = convert(json!({"rules": {"resend_span_ms": 8.0}}));
    let budget = settings
        .retry_budget
        .expect("the window should enable the retry budget");
    assert_eq!((budget.allowance, budget.ratio), (0.0, 0.0));
}

#[test]
fn discovery_client_count_depends_on_the_discovery_setting_and_the_agent() {
    for (discovery, group_size, has_discovery_agent, clients) in [
        ("subscribe", 30, false, 30),
        ("subscribe", 30, true, 30),
        ("subscribe", 0, false, 1),
        ("automatic", 30, true, 1),
        ("automatic", 30, false, 0),
        ("", 30, false, 0),
    ] {
        let mut settings = decode(json!({"discovery": discovery, "group_size": group_size}));
        settings.has_discovery_agent = has_discovery_agent;
        let converted = settings
            .to_scheduler_settings()
            .expect("the settings should convert");
        assert_eq!(converted.host_count, group_size);
        assert_eq!(
            converted.discovery_clients, clients,
            "{discovery} {group_size} {has_discovery_agent}"
        );
    }
}

#[test]
fn discovery_agent_is_not_a_key_of_the_settings_object() {
    assert!(!decode(json!({"has_discovery_agent": true})).has_discovery_agent);
}

#[test]
fn keys_that_the_scheduler_does_not_use_are_decoded() {
    let settings = decode(json!({
        "allowed": {"conn_idle_ms": 1.0, "connect_timeout_ms": 2.0},
        "classes": [{"name": "read", "deadline_ms": 3.0}],
        "domain": {"n_shards": 4, "writes": [false, true]},
        "plans": [{"name": "basic"}],
        "report": {"names": ["queue", "busy"]},
        "zones": ["a", "b"]
    }));
    assert_eq!(settings.features_and_limits.conn_idle_ms, 1.0);
    assert_eq!(settings.features_and_limits.connect_timeout_ms, 2.0);
    assert_eq!(settings.classes[0].name, "read");
    assert_eq!(settings.classes[0].deadline_ms, 3.0);
    assert_eq!(settings.storage.shard_count, 4);
    assert_eq!(settings.storage.writes, [false, true]);
    assert_eq!(settings.plans[0].name, "basic");
    assert_eq!(settings.load_report.value_names, ["queue", "busy"]);
    assert_eq!(settings.zones, ["a", "b"]);
}

#[test]
fn unknown_value_is_reported_with_its_key() {
    let error = conversion_error(json!({"classes": [{"effect": "pure"}, {"effect": "sometimes"}]}));
    assert_eq!(
        error,
        UnknownValue {
            key: "classes.effect",
            value: "sometimes".to_owned(),
            expected: "pure, token or side_effect"
        }
    );
    assert_eq!(
        error.to_string(),
        "field classes.effect: unknown value 'sometimes'; expected pure, token or side_effect"
    );
    let error = conversion_error(json!({"classes": [{"effect": "token", "group": "rack"}]}));
    assert_eq!(
        error,
        UnknownValue {
            key: "classes.group",
            value: "rack".to_owned(),
            expected: "all, zone, cell or an empty string"
        }
    );
    assert_eq!(
        error.to_string(),
        "field classes.group: unknown value 'rack'; expected all, zone, cell or an empty string"
    );
}

/// On a reload, the gateway compares the new settings to the current ones, unknown values included.
#[test]
fn settings_with_different_values_are_not_equal() {
    let class = |key: &str, value: &str| decode(json!({"classes": [{ key: value }]}));
    assert_eq!(class("group", ""), decode(json!({"classes": [{}]})));
    assert_ne!(class("group", ""), class("group", "all"));
    assert_ne!(class("group", "rack"), class("group", "row"));
    assert_ne!(class("effect", "often"), class("effect", "sometimes"));
    let discovery = |value: &str| decode(json!({ "discovery": value }));
    assert_eq!(discovery(""), decode(json!({})));
    assert_ne!(discovery(""), discovery("automatic"));
}

#[test]
fn class_without_an_effect_is_an_error() {
    let error = conversion_error(json!({"classes": [{"name": "read"}]}));
    assert_eq!(
        error.to_string(),
        "field classes.effect: unknown value ''; expected pure, token or side_effect"
    );
}

#[test]
fn unknown_deduplication_scope_is_reported_first_even_if_unused() {
    let error = conversion_error(json!({"classes": [{"effect": "pure", "group": "rack"}]}));
    assert_eq!(error.key, "classes.group");
    let error = conversion_error(json!({"classes": [{"effect": "sometimes", "group": "rack"}]}));
    assert_eq!(error.key, "classes.group");
}

#[test]
fn milliseconds_are_rounded_to_microseconds_and_saturate() {
    assert_eq!(micros(1.5), 1_500);
    assert_eq!(micros(0.0004), 0);
    assert_eq!(micros(0.0006), 1);
    assert_eq!(micros(f64::INFINITY), Micros::MAX);
    assert_eq!(micros(f64::NEG_INFINITY), Micros::MIN);
    assert_eq!(micros(f64::NAN), 0);
}
