//! What the daemon shows of the state.

use std::sync::Arc;

use super::Node;
use crate::{
    config::Configuration,
    forward::Forwarder,
    id::{ConfigVersion, TargetId},
    membership::Member,
    query,
    target::TargetReport,
};

impl Node {
    /// Members, sorted by identifier.
    pub fn members(&self) -> &[Member] {
        self.membership.members()
    }

    /// The configuration in force and its version.
    pub fn configuration(
        &self,
    ) -> Option<(ConfigVersion, &Arc<Configuration>)> {
        self.configuration.as_ref().map(|(v, c)| (*v, c))
    }

    /// The forwarding path.
    pub fn forwarder(&self) -> &Forwarder {
        &self.forwarder
    }

    /// Hash of the document in force; 0 if there is none.
    pub fn configuration_hash(&self) -> u64 {
        self.sync.current().map_or(0, |record| record.hash)
    }

    /// Whether the lease allows this instance to serve.
    pub fn serving(&self) -> bool {
        self.serving
    }

    /// Whether new requests should be sent here.
    pub fn ready(&self) -> bool {
        let has_targets = self.forwarding_table().revision == 0
            || self.forwarder.has_directory();
        self.serving
            && self.configuration.is_some()
            && has_targets
            && !self.draining()
    }

    /// Explains the decisions on a recent request, if it was served here.
    pub fn explain(&self, request_id: &str) -> Option<query::Explanation> {
        self.queries.explain(request_id)
    }

    /// The last report of a target that this instance knows.
    pub fn target_report(&self, target: TargetId) -> Option<TargetReport> {
        self.queries.report(target)
    }
}
