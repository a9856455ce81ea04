//! Identifiers on the wire. Each kind has a type of its own, so that one is not taken for another.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Defines types of identifiers on the wire, which cannot be mistaken for each other.
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
    /// A batch of events; its reply bears the same number.
    #[derive(Copy, Default)]
    BatchNumber(u64),
    /// A simulated gateway; it keeps its id when it restarts.
    #[derive(Copy)]
    InstanceId(u64),
    /// A request of a client.
    RequestName(String),
    /// A storage node; it keeps its name when it restarts.
    NodeName(String),
    /// A zone of storage nodes.
    #[derive(Default)]
    ZoneName(String),
    /// A class of request, as in the settings.
    ClassName(String),
    /// A plan, as in the settings.
    PlanName(String)
}

/// A timer of an instance.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum TimerName {
    /// The timer that the scheduler sets. An instance has no other, so the name of one that fired
    /// is not decoded.
    #[serde(rename = "wake")]
    Scheduler,
}
