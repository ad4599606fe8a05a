//! Start of service, graceful shutdown and the lease.

use super::{Effect, Internal, Node};
use crate::{
    event::{LogEvent, daemon::DRAINING},
    forward::ForwardEvent,
    membership::MembershipEvent,
    query::QueryEvent,
    time::Time,
};

/// Where the instance stands between start and stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Takes work whenever its lease allows it.
    #[default]
    Running,
    /// Has announced that it leaves, and still serves.
    Leaving {
        /// When it stops taking new requests.
        refuse_at: Time,
        /// When it stops waiting for running requests.
        limit_at: Time,
    },
    /// Refuses new requests and finishes the others.
    Finishing {
        /// When it stops waiting.
        limit_at: Time,
    },
    /// All requests are answered.
    Drained,
}

impl Lifecycle {
    pub(super) fn next_deadline(self) -> Option<Time> {
        match self {
            Lifecycle::Running | Lifecycle::Drained => None,
            Lifecycle::Leaving { refuse_at, .. } => Some(refuse_at),
            Lifecycle::Finishing { limit_at } => Some(limit_at),
        }
    }
}

impl Node {
    /// Whether a graceful shutdown has begun.
    pub fn draining(&self) -> bool {
        self.lifecycle != Lifecycle::Running
    }

    pub(super) fn shut_down(
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
            limit_at: refuse_at + self.options.drain_limit,
        };
        out.extend([Effect::Log(LogEvent::new(
            &DRAINING,
            format!(
                "in_flight={}",
                self.queries.in_flight() + self.forwarder.in_flight()
            ),
        ))]);
        self.push(Internal::Membership(MembershipEvent::Leave));
        self.place(now, out);
    }

    /// Moves a shutdown on once its conditions hold.
    pub(super) fn finish_shutdown(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if let Lifecycle::Leaving { refuse_at, limit_at } = self.lifecycle
            && refuse_at <= now
        {
            self.lifecycle = Lifecycle::Finishing { limit_at };
            self.push(Internal::Query(QueryEvent::Serving(false)));
            self.push(Internal::Forward(ForwardEvent::Serving(false)));
            self.run(now, out);
        }
        if let Lifecycle::Finishing { limit_at } = self.lifecycle {
            let idle = self.queries.in_flight() == 0
                && self.forwarder.in_flight() == 0
                && self.homes.len() == 0;
            if idle || limit_at <= now {
                self.lifecycle = Lifecycle::Drained;
                out.extend([Effect::Drained]);
            }
        }
    }

    /// The lease was gained or lost.
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
        self.push(Internal::Forward(ForwardEvent::Serving(accepts)));
        self.place(now, out);
    }
}
