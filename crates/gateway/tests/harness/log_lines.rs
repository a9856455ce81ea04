//! Parts of the gateway's log lines that tests wait for.

/// The gateway accepts RESP2 clients; the address ends the line.
pub const LISTENING_FOR_RESP: &str = "listens for RESP2 on";
/// The gateway accepts SFTP clients; the address ends the line.
pub const LISTENING_FOR_SFTP: &str = "listens for file commands on";
/// A message of two endpoints arrived from discovery.
pub const RECEIVED_TWO_ENDPOINTS: &str = "discovery: told of 2 nodes";
/// A message of one endpoint arrived from discovery.
pub const RECEIVED_ONE_ENDPOINT: &str = "discovery: told of 1 nodes";
/// Discovery refused the connection.
pub const CONNECTION_REFUSED: &str = "refused";
/// SIGHUP was handled.
pub const CONFIG_RELOADED: &str = "configuration read again";
/// SIGTERM was handled.
pub const SHUTDOWN_REQUESTED: &str = "told to end";
/// The graceful shutdown is complete.
pub const SHUTDOWN_COMPLETE: &str = "done";
/// An idle connection is closed because clients hold too many.
pub const IDLE_CONNECTION_EVICTED: &str = "closing a client connection that rests";
