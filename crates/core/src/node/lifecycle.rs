//! Graceful shutdown, and the effect of the lease on accepting requests.

use super::{Effect, Internal, Node};
use crate::{
    event::{LogEvent, daemon::DRAINING},
    forward::ForwardEvent,
    membership::MembershipEvent,
    query::QueryEvent,
    shares::ShareEvent,
    time::Time,
};

/// Phase of the instance between start and exit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Accepts requests while it holds its lease.
    #[default]
    Running,
    /// Has announced to the fleet that it leaves, but still accepts requests.
    Leaving {
        /// When it stops accepting new requests.
        refuse_at: Time,
        /// When it stops waiting for requests in progress.
        deadline: Time,
    },
    /// Refuses new requests and completes those in progress.
    Finishing {
        /// When it stops waiting for requests in progress, and answers those
        /// of the forwarding path as they are.
        deadline: Time,
    },
    /// All requests are answered, or the deadline has passed.
    Drained,
}

impl Lifecycle {
    pub(super) fn next_deadline(self) -> Option<Time> {
        match self {
            Lifecycle::Running | Lifecycle::Drained => None,
            Lifecycle::Leaving { refuse_at, .. } => Some(refuse_at),
            Lifecycle::Finishing { deadline } => Some(deadline),
        }
    }
}

impl Node {
    /// Returns whether a graceful shutdown has begun.
    pub fn draining(&self) -> bool {
        self.lifecycle != Lifecycle::Running
    }

    pub(super) fn begin_shutdown(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if self.draining() {
            return;
        }
        let refuse_at = now + self.options.drain_grace;
        self.lifecycle = Lifecycle::Leaving {
            refuse_at,
            deadline: refuse_at + self.options.drain_limit,
        };
        out.extend([Effect::Log(LogEvent::new(
            &DRAINING,
            format!(
                "in_flight={}",
                self.queries.in_flight() + self.forwarder.in_flight()
            ),
        ))]);
        self.push(Internal::Membership(MembershipEvent::Leave));
        self.configure_targets(now, out);
    }

    /// Moves a shutdown to its next phase once the conditions for it hold.
    pub(super) fn advance_shutdown(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if let Lifecycle::Leaving { refuse_at, deadline } = self.lifecycle
            && refuse_at <= now
        {
            self.lifecycle = Lifecycle::Finishing { deadline };
            self.push(Internal::Query(QueryEvent::Serving(false)));
            self.push(Internal::Forward(ForwardEvent::Serving(false)));
            self.process_queue(now, out);
        }
        if let Lifecycle::Finishing { deadline } = self.lifecycle {
            let idle = self.queries.in_flight() == 0
                && self.forwarder.in_flight() == 0
                && self.home_jobs.len() == 0;
            if !idle && deadline <= now {
                self.push(Internal::Forward(ForwardEvent::EndRequests));
                self.process_queue(now, out);
            }
            if idle || deadline <= now {
                self.lifecycle = Lifecycle::Drained;
                out.extend([Effect::Drained]);
            }
        }
    }

    /// Updates whether this instance serves, after its lease was gained or
    /// lost or a configuration was applied or rejected.
    pub(super) fn update_serving(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let serving = self.leased && self.applied;
        if serving != self.serving {
            self.serving = serving;
            self.serving_changed(now, out);
        }
    }

    /// Updates what depends on whether this instance serves.
    pub(super) fn serving_changed(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let accepts = self.serving
            && matches!(
                self.lifecycle,
                Lifecycle::Running | Lifecycle::Leaving { .. }
            );
        self.push(Internal::Query(QueryEvent::Serving(accepts)));
        self.push(Internal::Forward(ForwardEvent::Lease(self.serving)));
        self.push(Internal::Share(ShareEvent::Serving(self.serving)));
        self.push(Internal::Forward(ForwardEvent::Serving(accepts)));
        self.configure_targets(now, out);
    }
}
