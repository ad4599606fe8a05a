/*!
The account of what a process holds for others: bytes of bodies, and
connections that others have opened.

The bytes are divided among holders. Each holder has a reserve that no other
holder can take, and a share that it cannot exceed. A body that is still being
read can be given up for another one of the same holder: first the one that
has stalled for the longest time, because it makes no progress, then the
largest one if it is larger than the other would become. A body that is
complete belongs to a request that may run, and is never given up.

Connections are divided by the listener that accepted them. When a listener
has as many as it may, the one that has made no progress for the longest time
is closed for a new one, unless its request has been passed on and is not
answered yet.
*/

mod ledger;
mod options;

pub use self::{
    ledger::{Admission, Gauges, Grant, Ledger},
    options::{HeldOptions, Share},
};

/// For whom bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    /// Bodies of callers' requests.
    Callers,
    /// Bodies of operators' requests.
    Operators,
    /// Bodies of targets' answers, until callers have read them.
    Targets,
    /// Content of requests that other instances have delegated. It is
    /// counted and not limited, because its sender has limited it.
    Peers,
}

impl Holder {
    /// All holders, in the order of their numbers.
    pub const ALL: [Holder; 4] =
        [Holder::Callers, Holder::Operators, Holder::Targets, Holder::Peers];

    /// Returns the name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Holder::Callers => "callers",
            Holder::Operators => "operators",
            Holder::Targets => "targets",
            Holder::Peers => "peers",
        }
    }
}

/// The listener that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// The listeners for callers.
    Callers,
    /// The listeners for operators and metrics.
    Operators,
    /// The listener for health checks, if it is a separate one.
    Checks,
}

impl Listener {
    /// All listeners, in the order of their numbers.
    pub const ALL: [Listener; 3] =
        [Listener::Callers, Listener::Operators, Listener::Checks];

    /// Returns the name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Listener::Callers => "callers",
            Listener::Operators => "operators",
            Listener::Checks => "checks",
        }
    }
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request, or for the rest of its head.
    #[default]
    Waiting,
    /// The body of a request is being read.
    Reading,
    /// The request has been passed on.
    Running,
    /// The response is being sent.
    Responding,
}

/// Identifies a body that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);
