//! Read access to the node's state, for operators and metrics.

use std::{sync::Arc, time::Duration};

use super::Node;
use crate::{
    config::Configuration,
    consensus::ReplicaFigures,
    forward::Forwarder,
    id::{ConfigVersion, TargetId},
    membership::Member,
    query,
    target::TargetReport,
    time::Time,
};

impl Node {
    /// Returns the members of the fleet, sorted by identifier.
    pub fn members(&self) -> &[Member] {
        self.membership.members()
    }

    /// Returns the configuration in force and its version.
    pub fn configuration(
        &self,
    ) -> Option<(ConfigVersion, &Arc<Configuration>)> {
        self.configuration.as_ref().map(|(v, c)| (*v, c))
    }

    /// Returns the reducer of the forwarding path.
    pub fn forwarder(&self) -> &Forwarder {
        &self.forwarder
    }

    /// Returns the hash of the configuration in force, or 0 if there is none.
    pub fn configuration_hash(&self) -> u64 {
        self.sync.current().map_or(0, |record| record.hash)
    }

    /// Returns the figures of the control replica, if there is one.
    pub fn replica_figures(&self, now: Time) -> Option<ReplicaFigures> {
        self.replica.as_ref().map(|r| r.consensus.figures(now))
    }

    /// Returns the age of the last confirmation by a control quorum.
    pub fn confirmation_age(&self, now: Time) -> Option<Duration> {
        self.sync.confirmation_age(now)
    }

    /// Returns whether this instance holds its lease and may serve requests.
    pub fn serving(&self) -> bool {
        self.serving
    }

    /// Returns whether load balancers should send new requests to this
    /// instance.
    pub fn ready(&self) -> bool {
        let has_targets = self.forwarding_table().revision == 0
            || self.forwarder.has_directory();
        self.serving
            && self.configuration.is_some()
            && has_targets
            && !self.draining()
    }

    /// Returns the recorded decisions on a recent request, if this instance
    /// served it.
    pub fn explain(&self, request_id: &str) -> Option<query::Explanation> {
        self.queries.explain(request_id)
    }

    /// Returns the latest report of a target that this instance has received.
    pub fn target_report(&self, target: TargetId) -> Option<TargetReport> {
        self.queries.report(target)
    }
}
