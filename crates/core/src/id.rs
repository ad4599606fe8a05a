/*!
Identifiers.

Names chosen by operators are hashed to 64-bit identifiers, which keeps
messages and tables small. Identifiers that the system generates are counters
or random numbers.
*/

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
            /// Returns the identifier for a name chosen by an operator.
            pub fn from_name(name: &str) -> $name {
                $name(xxh3_64(name.as_bytes()))
            }
        }
    };
}

identifier!(
    /// Identifier of an instance of the daemon, the hash of its name.
    InstanceId
);
identifier!(
    /// Identifier of a target, the hash of its name.
    TargetId
);
identifier!(
    /// Identifier of an availability zone, the hash of its name.
    ZoneId
);
identifier!(
    /// Identifier of a route: the hash of the name of a query route, or of the
    /// host and prefix of a forwarding route.
    RouteId
);
identifier!(
    /// Identifier of a service whose targets are on the platform's list, the
    /// hash of its name.
    ServiceId
);
identifier!(
    /// Identifier of a team, the hash of its name and of the number of teams
    /// with this name before it.
    TeamId
);
identifier!(
    /// Identifier of a limit that all instances share; that of its team.
    LimitId
);
identifier!(
    /// Identifier of a request to a target on the forwarding path, unique
    /// within an instance.
    AttemptId
);
identifier!(
    /// Identifier of a caller's query, chosen at random by the instance that
    /// serves it.
    QueryId
);
identifier!(
    /// Identifier of a request to a target on the query path, unique within an
    /// instance.
    JobId
);
identifier!(
    /// Identifier of a connection to a target, unique within an instance.
    ConnId
);
identifier!(
    /// Token that matches a response or outcome to its request.
    Token
);
identifier!(
    /// Identifier of a control replica, chosen at random when its data folder
    /// is created.
    ReplicaId
);

from_name!(InstanceId);
from_name!(TargetId);
from_name!(ZoneId);
from_name!(RouteId);
from_name!(ServiceId);
from_name!(TeamId);

impl RouteId {
    /// Returns the identifier of a forwarding route. The host and the prefix
    /// together are unique in a table, and the name is not.
    pub fn from_host_and_prefix(host: &str, prefix: &str) -> RouteId {
        let host = xxh3_64(host.as_bytes());
        RouteId(xxh3_64_with_seed(prefix.as_bytes(), host))
    }
}

impl TeamId {
    /// Returns the identifier of a team that has `earlier` teams of the same
    /// name before it in its table. The first one's is that of its name.
    pub fn from_name_after(name: &str, earlier: u64) -> TeamId {
        TeamId(xxh3_64_with_seed(name.as_bytes(), earlier))
    }
}

impl From<TeamId> for LimitId {
    fn from(team: TeamId) -> LimitId {
        LimitId(team.0)
    }
}

/// Version of the site configuration. The first committed version is 1; 0
/// means that there is none.
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
