//! Parts of the gateway's log lines that tests wait for.

/// The gateway accepts RESP2 clients; the address ends the line.
pub const LISTENING_FOR_RESP: &str = "listening for RESP2 on";
/// The gateway accepts SFTP clients; the address ends the line.
pub const LISTENING_FOR_SFTP: &str = "listening for SFTP on";
/// A message of two endpoints arrived from discovery.
pub const RECEIVED_TWO_ENDPOINTS: &str = "discovery: received 2 endpoints";
/// A message of one endpoint arrived from discovery.
pub const RECEIVED_ONE_ENDPOINT: &str = "discovery: received 1 endpoints";
/// Discovery refused the connection.
pub const CONNECTION_REFUSED: &str = "refused";
/// SIGHUP was handled.
pub const CONFIG_RELOADED: &str = "configuration reloaded";
/// SIGTERM was handled.
pub const SHUTDOWN_REQUESTED: &str = "shutdown requested";
/// The graceful shutdown is complete.
pub const SHUTDOWN_COMPLETE: &str = "shutdown complete";
/// An idle connection is closed because clients hold too many.
pub const IDLE_CONNECTION_EVICTED: &str = "closing an idle client connection: too many";
