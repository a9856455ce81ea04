//! Substrings of the gateway's log lines that tests wait for.

/// The gateway accepts RESP2 clients. The rest of the line is the listening address.
pub const LISTENING_FOR_RESP: &str = "listening for RESP2 on";
/// The gateway accepts SFTP clients. The rest of the line is the listening address.
pub const LISTENING_FOR_SFTP: &str = "listening for SFTP on";
/// The first update on a watch has two endpoints. Later updates on that watch are not logged.
pub const RECEIVED_TWO_ENDPOINTS: &str = "discovery: received 2 endpoints";
/// The first update on a watch has one endpoint.
pub const RECEIVED_ONE_ENDPOINT: &str = "discovery: received 1 endpoints";
/// The connection to discovery was refused.
pub const CONNECTION_REFUSED: &str = "refused";
/// The gateway has handled SIGHUP.
pub const CONFIG_RELOADED: &str = "configuration reloaded";
/// The gateway has handled SIGTERM.
pub const SHUTDOWN_REQUESTED: &str = "shutdown requested";
/// The graceful shutdown is complete.
pub const SHUTDOWN_COMPLETE: &str = "shutdown complete";
/// The gateway closes an idle client connection, because the number of open connections that have
/// sent a request exceeds its limit.
pub const EXCESS_CONNECTION_CLOSED: &str = "closing an idle client connection: too many";
/// A client connection was closed, because the client has closed it or it has failed. Needs
/// [`with_debug_log`](super::config::with_debug_log).
pub const CLIENT_CONNECTION_CLOSED: &str = "closed in state";
