"""Settings of a small deployment of cikarang-campus: three gateways, three halls, one shard a storage node."""


def settings(shards, gateways=3, me=0, **changes):
    """Returns the settings object of a gateway. `changes` replaces whole entries of it."""
    value = {
        "allowed": {
            "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 300000, "max_attempts": 3, "max_open": 20000, "max_retry_after_ms": 2000.0,
            "may_cancel": True, "multiplex": 100, "peers": False, "probes": True, "retry_after": True,
            "second_copies": True,
        },
        "callers": {"marks_retry": True},
        "classes": [
            request_class("bag-lookup", 300.0, 1500.0, 3.0, 0.2),
            request_class("scan-write", 400.0, 3000.0, 2.0, 0.1),
            request_class("hotel-report", 2000.0, 6000.0, 1.0, 0.2),
        ],
        "discovery": "subscribe",
        "domain": {
            "cold_bears": 27.0, "counts_others": False, "fair_worth": 0.35, "meter_ms": 0.0,
            "n_shards": shards, "spare_worth": 0.1, "unit_mean": 2.0, "units_top": 8,
            "writes": [False, True, False],
        },
        "family": "stores", "group_size": gateways, "kinds": ["box-2c"], "me": me,
        "plans": [
            plan("basic", 0.72, 3.0, 10.0),
            plan("standard", 0.9, 12.0, 15.0),
            plan("priority", 1.8, 25.0, 25.0),
        ],
        "report": {"names": ["svc_ms", "busy_reqs"], "via": "probe"},
        "rules": {
            "answer_slack_ms": 8.0, "cold_from": 0.19, "cold_ms": 17000.0, "fall_ms": 3000.0,
            "must_ask_in_ms": 10000.0, "stop_sending_within_ms": 250.0, "tip_multiple": 3.0,
        },
        "tick_ms": 2.0, "tier": 0, "tiers": ["store-fleet"], "weights": "none",
        "zone": "hall-a", "zones": ["hall-a", "hall-b", "hall-c"],
    }
    value.update(changes)
    return value


def request_class(name, aim_ms, deadline_ms, points, late_value, effect="pure", group="all"):
    """Returns a class of requests."""
    return {
        "aim_ms": aim_ms, "deadline_ms": deadline_ms, "effect": effect, "group": group,
        "key_ttl_ms": 5000.0, "late_value": late_value, "name": name, "points": points, "stream": False,
    }


def plan(name, pays, reservation, usual_rate):
    """Returns a plan without a limit."""
    return {
        "cap_depth": 0.0, "limit_slack": 0.0, "name": name, "never_over": 0.0, "parts": 1.0,
        "pays": pays, "reservation": reservation, "usual_rate": usual_rate,
    }
