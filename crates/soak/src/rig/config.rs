//! The configuration file of a gateway.

use super::wire::list_update;
use std::net::SocketAddr;
use std::time::Duration;

/// The drain grace of the deployment.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// What the configuration of a gateway states.
pub(super) struct GatewayConfig<'a> {
    /// The number of the gateway.
    pub(super) index: usize,
    /// Number of gateways of the deployment.
    pub(super) fleet_size: usize,
    /// Number of shards.
    pub(super) shards: usize,
    /// The longest deadline of the classes, in milliseconds.
    pub(super) longest_timeout_ms: u64,
    /// The address of discovery.
    pub(super) discovery: SocketAddr,
    /// The version of the cached endpoint list.
    pub(super) cached_version: u64,
    /// The entries of the cached endpoint list.
    pub(super) cached_entries: &'a [String],
}

impl GatewayConfig<'_> {
    /// Returns the text of the file.
    pub(super) fn encode(&self) -> String {
        let cached = list_update(self.cached_version, true, self.cached_entries);
        let settings = self.settings();
        let GatewayConfig {
            index, discovery, ..
        } = self;
        format!(
            r#"{{"name":"n{index}","listen":"127.0.0.1:0","discovery":"{discovery}",
            "seed":"{index}","limits":{{"sockets":512}},"known":{cached},
            "settings":{settings}}}"#
        )
    }

    /// Returns a class of the settings.
    fn class(&self, name: &str, effect: &str, priority: u32) -> String {
        let deadline = self.longest_timeout_ms;
        let objective = deadline / 2;
        format!(
            r#"{{"name":"{name}","aim_ms":{objective},"deadline_ms":{deadline},
            "effect":"{effect}","group":"all","points":{priority},"late_value":0.1}}"#
        )
    }

    /// Returns the settings of the deployment.
    fn settings(&self) -> String {
        let fleet_size = self.fleet_size;
        let shards = self.shards;
        let read = self.class("read", "pure", 3);
        let write = self.class("write", "side_effect", 2);
        let grace = DRAIN_GRACE.as_millis();
        format!(
            r#"{{"group_size":{fleet_size},"discovery":"subscribe","zones":["a"],
            "allowed":{{"max_attempts":3,"may_cancel":true,"conn_idle_ms":30000,
              "connect_timeout_ms":500}},
            "classes":[{read},{write}],
            "domain":{{"n_shards":{shards},"unit_mean":1,"units_top":6,"cold_bears":1000,
              "fair_worth":0.3,"spare_worth":0.1,"writes":[false,true]}},
            "plans":[{{"name":"gold","reservation":1000,"parts":1,"pays":1,
              "usual_rate":1000}}],
            "rules":{{"cold_from":0.2,"cold_ms":10000,"fall_ms":2000,"must_ask_in_ms":10000,
              "stop_sending_within_ms":{grace},"tip_multiple":3}}}}"#
        )
    }
}
