/*!
Distribution of the configuration, and the lease that permits an instance to
serve.

Control replicas publish the committed configuration. Every instance compares
versions with other instances and pulls newer ones. At short intervals it
obtains a confirmation that it has not missed a version. See section 7 of the
design page.
*/

mod lease;
mod options;
mod reducer;
mod roster;
mod rounds;
mod spread;
mod tree;

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    event::LogEvent,
    id::{ConfigVersion, InstanceId},
    membership::Member,
};

pub use options::{LEASE, OUTDATED_BOUND, SyncOptions};
pub use reducer::ConfigSync;
pub use roster::{Roster, RosterEntry, RosterStatus, Rosters};

/// A committed configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Hash of the document.
    pub hash: u64,
    /// The document, encoded as MessagePack.
    pub document: Bytes,
}

/// A confirmation by a control quorum that an instance relays to others.
///
/// If the receiver sent its request at time `t`, no version newer than the
/// sender's was accepted before `t - age`, because the sender answered after
/// `t`. Ages add up along a chain of relays, so a confirmation never outlives
/// the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The control group that confirmed.
    pub group: u64,
    /// Time since the request to the control replicas, in microseconds.
    pub age_us: u64,
}

/// Messages of the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the receiver's version and states the sender's.
    Compare {
        /// Matches the reply to the request.
        sequence: u64,
        /// Version in force at the sender.
        version: ConfigVersion,
        /// What the sender knows of the roster.
        #[serde(default)]
        roster: RosterStatus,
    },
    /// Reply to `Compare`.
    Compared {
        /// Sequence number of the request.
        sequence: u64,
        /// Version in force at the sender.
        version: ConfigVersion,
        /// At a voter of the control group: the newest version in its log,
        /// committed or not.
        logged: Option<ConfigVersion>,
        /// Number of voters known to the sender; 0 if it runs no control
        /// replica.
        voters: u32,
        /// Control group of the sender.
        #[serde(default)]
        control_group: u64,
        /// The last confirmation by a control quorum that the sender knows,
        /// if it is younger than a lease.
        #[serde(default)]
        confirmed: Option<Confirmation>,
        /// Log index of the list of members that `voters` was taken from.
        #[serde(default)]
        members_index: u64,
        /// What the sender knows of the roster.
        #[serde(default)]
        roster: RosterStatus,
    },
    /// Requests the document if it is newer than this version.
    Pull {
        /// Version in force at the sender.
        version: ConfigVersion,
    },
    /// A committed configuration.
    Push(Arc<ConfigRecord>),
    /// Requests the roster if it is newer than the one at this index.
    PullRoster {
        /// Log index of the roster at the sender.
        index: u64,
    },
    /// A committed roster.
    Roster(Arc<Roster>),
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncEvent {
    /// All members that are not dead, sorted by identifier.
    Members(Vec<Member>),
    /// A message arrived.
    Message(InstanceId, Message),
    /// The control replica on this instance applied a committed
    /// configuration.
    Committed(ConfigRecord),
    /// State of the control replica on this instance.
    Replica {
        /// Whether it is a voter.
        voter: bool,
        /// Number of voters.
        voters: u32,
        /// Newest version in its log, committed or not.
        logged: ConfigVersion,
        /// Log index of the last membership change.
        members_index: u64,
        /// Log index of the newest roster in its log, committed or not.
        logged_roster: u64,
    },
    /// The control replica on this instance applied a roster.
    Roster(Arc<Roster>),
    /// A timer may be due.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncEffect {
    /// Sends a message.
    Send(InstanceId, Message),
    /// Brings a configuration into force. Versions are strictly increasing.
    Install(Arc<ConfigRecord>),
    /// This instance gained or lost the lease to serve.
    Serving(bool),
    /// Logs an event.
    Log(LogEvent),
}
