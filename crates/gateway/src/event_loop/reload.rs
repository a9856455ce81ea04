//! Reloads the configuration while the gateway runs.

use super::gateway::Gateway;
use crate::config::Config;
use crate::logger;
use io_scheduler::EndpointListEvent;
use std::net::SocketAddr;

impl Gateway {
    /// Reloads the configuration and applies the parts that can change while the gateway runs. An
    /// invalid configuration changes nothing. Requests in flight are not affected.
    pub(super) fn reload_config(&mut self) {
        match self.context.config.reload(|key| std::env::var(key).ok()) {
            Ok(config) => {
                log::info!("configuration reloaded");
                self.apply_config(config);
            }
            Err(error) => log::warn!("configuration not reloaded: {error}"),
        }
    }

    /// Applies the log level, the inventory and the discovery address of a reloaded configuration.
    fn apply_config(&mut self, new: Config) {
        let current = &mut self.context.config;
        if new.settings != current.settings || new.listen != current.listen {
            log::warn!("changes to 'settings' and 'listen' take effect only after a restart");
        }
        logger::install(new.log_level);
        current.inventory = new.inventory;
        if let Err(error) = self.reload_inventory() {
            log::warn!("inventory not reloaded: {error}");
        }
        if new.discovery != self.context.config.discovery {
            self.set_discovery_address(new.discovery);
        }
    }

    /// Changes the address of the discovery service. The watch at the previous address is closed,
    /// and the scheduler then requests a new one.
    ///
    /// No watch is opened if `address` is `None`, or if the scheduler never polls discovery, which
    /// [`io_scheduler::Settings::discovery_clients`] determines when the gateway starts.
    fn set_discovery_address(&mut self, address: Option<SocketAddr>) {
        self.context.config.discovery = address;
        self.watch.reset_list_version();
        // Without an address no poll can be answered, so the current list stays in use.
        let event = if address.is_some() {
            EndpointListEvent::WatchLost
        } else {
            EndpointListEvent::PollFailed
        };
        self.watch.close(event, &mut self.context);
    }
}
