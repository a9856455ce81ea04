//! Identifiers on the wire. Each kind has its own type, so that the compiler rejects one kind in
//! the place of another.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Defines a newtype for each kind of identifier.
macro_rules! identifiers {
    ($($(#[$attribute:meta])* $name:ident($value:ty)),*) => {$(
        $(#[$attribute])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub $value);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

identifiers! {
    /// Number of a batch of events; the reply has the same number.
    #[derive(Copy, Default)]
    BatchNumber(u64),
    /// Id of an instance (a simulated gateway), which it keeps when it restarts.
    #[derive(Copy)]
    InstanceId(u64),
    /// Name of a client's request.
    RequestName(String),
    /// Name of a storage node, which it keeps when it restarts.
    NodeName(String),
    /// Name of a zone of storage nodes.
    #[derive(Default)]
    ZoneName(String),
    /// Name of a request class in the settings.
    ClassName(String),
    /// Name of a plan in the settings.
    PlanName(String)
}

/// The name of a timer of an instance.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum TimerName {
    /// The timer that the scheduler sets. An instance has no other timer, so the adapter does not
    /// decode the name of a timer that fired.
    #[serde(rename = "wake")]
    Scheduler,
}
