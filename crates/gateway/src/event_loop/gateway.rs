//! The running gateway: the state that it owns, and its startup.

use super::console_input::ConsoleInput;
use super::endpoint_table::EndpointTable;
use super::error::GatewayError;
use super::signals::SignalPipes;
use super::turn_statistics::TurnStatistics;
use crate::config::Config;
use crate::connections::client::ClientConnections;
use crate::connections::descriptors::ConnectionLimits;
use crate::connections::discovery_watch::DiscoveryWatch;
use crate::connections::listener::{ListenerProtocol, Listeners};
use crate::connections::node::NodeConnections;
use crate::context::{Clock, Context};
use crate::dispatcher::Dispatcher;
use io_scheduler::EndpointListEvent;
use std::net::{SocketAddr, TcpListener};

/// The running gateway. It owns all state, and its methods are the steps of the event loop.
pub struct Gateway {
    /// The configuration, the timers and the other state that the event loop and the connections
    /// share.
    pub(super) context: Context,
    /// The sockets on which clients connect.
    pub(super) listeners: Listeners,
    /// The client connections.
    pub(super) client_connections: ClientConnections,
    /// The connections to storage nodes.
    pub(super) node_connections: NodeConnections,
    /// The endpoint list as last received, with the operator's overrides.
    pub(super) endpoints: EndpointTable,
    /// The watch on the endpoint list of the discovery service.
    pub(super) watch: DiscoveryWatch,
    /// The pipes through which signals arrive.
    pub(super) signals: SignalPipes,
    /// The operator's console, if it is open.
    pub(super) console: Option<ConsoleInput>,
    /// How long the turns of the event loop take.
    pub(super) turn_statistics: TurnStatistics,
}

impl Gateway {
    /// Starts the gateway: applies the cached endpoint list, reads the inventory if there is one,
    /// and listens for clients.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings or the inventory are invalid, if an address cannot be
    /// bound, or if a system call fails.
    pub fn new(mut config: Config) -> Result<Gateway, GatewayError> {
        let cached = std::mem::take(&mut config.cached_endpoints);
        let limits = ConnectionLimits::for_descriptors(config.max_descriptors);
        let clock = Clock::new();
        let dispatcher = Dispatcher::new(
            &config.settings,
            config.memory_budget,
            config.seed,
            clock.now(),
        )?;
        let context = Context::new(config, clock, dispatcher)?;
        let mut gateway = Gateway {
            listeners: Listeners::default(),
            client_connections: ClientConnections::new(&context.config, limits, context.now),
            node_connections: NodeConnections::new(limits.nodes),
            endpoints: EndpointTable::default(),
            watch: DiscoveryWatch::new(cached.version),
            signals: SignalPipes::default(),
            console: None,
            turn_statistics: TurnStatistics::default(),
            context,
        };
        gateway.context.update_now();
        let event = gateway.cached_list_event();
        gateway.apply_endpoint_update(&cached, event);
        gateway.open()?;
        if event == EndpointListEvent::Unconfirmed {
            log::info!("accepting no clients until discovery has been asked for the endpoint list");
            gateway.listeners.pause_all(&gateway.context);
        }
        Ok(gateway)
    }

    /// Returns the event for the cached endpoint list. With an inventory or without discovery, no
    /// poll confirms the list.
    fn cached_list_event(&self) -> EndpointListEvent {
        let config = &self.context.config;
        if config.discovery.is_some() && config.inventory.is_none() {
            EndpointListEvent::Unconfirmed
        } else {
            EndpointListEvent::Cached
        }
    }

    /// Accepts clients, after the start or a pause.
    pub(super) fn accept_clients(&mut self) {
        log::info!("accepting clients");
        self.listeners.resume(&self.context);
    }

    /// Opens the listeners, reads the inventory and installs the signal handlers.
    fn open(&mut self) -> Result<(), GatewayError> {
        if let Some(address) = self.context.config.listen {
            self.listen(address, ListenerProtocol::Resp)?;
        }
        if self.context.config.inventory.is_some() {
            self.context.update_now();
            self.reload_inventory()?;
        }
        if let Some(sftp) = &self.context.config.sftp {
            self.listen(sftp.listen, ListenerProtocol::Sftp)?;
        }
        self.signals.register(&mut self.context)?;
        Ok(())
    }

    /// Listens on `address` for clients that use `protocol`.
    fn listen(
        &mut self,
        address: SocketAddr,
        protocol: ListenerProtocol,
    ) -> Result<(), GatewayError> {
        let socket =
            TcpListener::bind(address).map_err(|error| GatewayError::Listen { address, error })?;
        self.listeners.add(socket, protocol, &mut self.context)?;
        Ok(())
    }
}
