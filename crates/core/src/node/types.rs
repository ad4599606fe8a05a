//! Events and effects of a daemon.

use std::{net::SocketAddr, time::Duration};

use crate::{
    config_sync::SyncOptions,
    consensus::{ConsensusOptions, Recovered, Write},
    control::{
        Change, ControlReply, TableRevision, ZoneStateChange,
        repair::RepairOptions,
    },
    event::LogEvent,
    forward::{ForwardEffect, ForwardEvent, ForwardOptions},
    id::{InstanceId, ReplicaId, Token},
    membership::{MembershipOptions, Recipient},
    message::PeerMessage,
    query::{CallerRequest, CallerResponse, QueryOptions},
    target::{TargetEffect, TargetEvent, TargetOptions},
};

/// Options of a daemon and its parts.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Of the membership protocol.
    pub membership: MembershipOptions,
    /// Of the spread of configuration.
    pub sync: SyncOptions,
    /// Of the query path.
    pub query: QueryOptions,
    /// Of the targets.
    pub target: TargetOptions,
    /// Of the forwarding path.
    pub forward: ForwardOptions,
    /// Of the replicated log.
    pub consensus: ConsensusOptions,
    /// Peer addresses at which members may be found.
    pub seeds: Vec<SocketAddr>,
    /// Voters that a control group aims for.
    pub control_group_size: u32,
    /// Voters without which the leader accepts no tables and zone orders,
    /// because fewer could not bear the losses that the site allows for.
    pub min_voters: u32,
    /// Time after which a silent voter is replaced by a learner.
    pub replace_voter_after: Duration,
    /// Whether this instance may found the control group by itself.
    pub auto_bootstrap: bool,
    /// Wall-clock time at `Time::ZERO`, in milliseconds since the Unix
    /// epoch; claims expire by it.
    pub wall_epoch_ms: u64,
    /// Service goes on for this time after a shutdown was announced, so that
    /// the load balancer moves on.
    pub drain_grace: Duration,
    /// Longest wait for running requests at shutdown.
    pub drain_limit: Duration,
    /// Time for an operator's change to be committed.
    pub change_budget: Duration,
    /// Time to record how a claimed request ended.
    pub settle_budget: Duration,
}

impl Default for NodeOptions {
    fn default() -> NodeOptions {
        NodeOptions {
            membership: MembershipOptions::default(),
            sync: SyncOptions::default(),
            query: QueryOptions::default(),
            target: TargetOptions::default(),
            forward: ForwardOptions::default(),
            consensus: ConsensusOptions::default(),
            seeds: Vec::new(),
            control_group_size: 3,
            min_voters: 1,
            replace_voter_after: RepairOptions::default().replace_after,
            auto_bootstrap: false,
            wall_epoch_ms: 0,
            drain_grace: Duration::from_secs(3),
            drain_limit: Duration::from_secs(25),
            // Below the time that the command-line tool waits for a
            // response, so that it learns of a missing quorum.
            change_budget: Duration::from_secs(3),
            settle_budget: Duration::from_secs(10),
        }
    }
}

/// Input of a daemon's reducer.
#[derive(Debug)]
pub enum Event {
    /// The daemon has started.
    Start {
        /// The control replica and what its data folder held, if it has one.
        recovered: Option<(ReplicaId, Recovered)>,
    },
    /// A caller's request.
    Caller(Token, CallerRequest),
    /// The caller has closed its connection.
    CallerGone(Token),
    /// An operator's request.
    Operator(Token, OperatorRequest),
    /// A message from another instance.
    Peer(InstanceId, PeerMessage),
    /// A connection to another instance could not be opened or has failed.
    Unreachable(InstanceId),
    /// Something happened at a target.
    Target(TargetEvent),
    /// Something happened on the forwarding path.
    Forward(ForwardEvent),
    /// Addresses at which members may be found.
    Seeds(Vec<SocketAddr>),
    /// Writes up to this ticket are synced.
    Persisted(u64),
    /// The platform's list was read.
    Platform(PlatformList),
    /// Stop gracefully.
    Shutdown,
    /// A deadline has passed.
    Tick,
}

/// The platform's list of live and leaving instances and targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformList {
    /// Peer addresses of instances, and whether each is leaving.
    pub instances: Vec<(SocketAddr, bool)>,
    /// Addresses of targets, and whether each is leaving.
    pub targets: Vec<(SocketAddr, bool)>,
}

/// A request of an operator that changes something.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Change the configuration.
    Change(Change),
    /// Bring a forwarding table into force.
    Revise(TableRevision),
    /// Take a zone out or in.
    SetZone(ZoneStateChange),
    /// Learn the newest version of the configuration.
    Barrier,
    /// Found a control group on this instance.
    Bootstrap {
        /// Random identifier of the group.
        group: u64,
    },
    /// Remove a replica from the control group.
    Remove(ReplicaId),
}

/// Reply to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// The control leader's reply, or that it could not be asked.
    Control(ControlReply),
    /// The control group was founded.
    Bootstrapped,
    /// Refused, with the reason.
    Refused(String),
}

/// Output of a daemon's reducer.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another instance.
    Send {
        /// The instance; 0 if only its address is known.
        to: InstanceId,
        /// Its peer address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Do something at a target.
    Target(TargetEffect),
    /// Do something on the forwarding path.
    Forward(ForwardEffect),
    /// Send content of the forwarding path to another instance.
    SendContent {
        /// Its peer address.
        address: SocketAddr,
        /// What to send, a `SendTask` or a `SendPart`.
        effect: ForwardEffect,
    },
    /// Write and sync, then answer with `Persisted`.
    Persist {
        /// Rises by one with each write.
        ticket: u64,
        /// What to write.
        write: Write,
    },
    /// Answer a caller.
    Respond(Token, CallerResponse),
    /// Answer an operator.
    Reply(Token, OperatorReply),
    /// Write a line to the log.
    Log(LogEvent),
    /// All requests are answered; the process may stop.
    Drained,
}

impl Effect {
    pub(crate) fn send_to(to: Recipient, message: PeerMessage) -> Effect {
        let (to, address) = match to {
            Recipient::Member(id, address) => (id, address),
            Recipient::Address(address) => (InstanceId(0), address),
        };
        Effect::Send { to, address, message }
    }
}

/// Home and standby of a target, as this instance computes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetHome {
    /// The home.
    pub home: Option<InstanceId>,
    /// The standby.
    pub standby: Option<InstanceId>,
}
