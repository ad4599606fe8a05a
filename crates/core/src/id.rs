/*!
Identifiers.

Names chosen by operators are hashed to 64 bits once, so that messages and
tables stay small. Identifiers that the system makes are counters or random
numbers.
*/

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord,
            Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

macro_rules! from_name {
    ($name:ident) => {
        impl $name {
            /// Derives the identifier from an operator's name.
            pub fn from_name(name: &str) -> $name {
                $name(xxh3_64(name.as_bytes()))
            }
        }
    };
}

identifier!(
    /// An instance of the daemon, by the hash of its name.
    InstanceId
);
identifier!(
    /// A target, by the hash of its name.
    TargetId
);
identifier!(
    /// An availability zone, by the hash of its name.
    ZoneId
);
identifier!(
    /// A query route, by the hash of its name.
    RouteId
);
identifier!(
    /// A service whose targets the platform lists, by the hash of its name.
    ServiceId
);
identifier!(
    /// One request to one listed target, unique within an instance.
    AttemptId
);
identifier!(
    /// One caller request, chosen at random by the instance that serves it.
    QueryId
);
identifier!(
    /// One request to one target, unique within an instance.
    JobId
);
identifier!(
    /// One connection to one target, unique within an instance.
    ConnId
);
identifier!(
    /// Correlates a caller's or operator's request with its response.
    Token
);
identifier!(
    /// A control replica, made at random together with its data folder.
    ReplicaId
);

from_name!(InstanceId);
from_name!(TargetId);
from_name!(ZoneId);
from_name!(RouteId);
from_name!(ServiceId);

/// Version of the site configuration; the first accepted one is 1.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
