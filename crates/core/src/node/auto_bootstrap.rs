/*!
Bootstrapping the control group without an operator.

If the settings allow it, the first seed that has a control replica bootstraps
the group. All instances have the same list of seeds when the fleet starts for
the first time, so they agree on which one that is. A seed further down the
list waits until it has learned that no seed before it has a replica.
*/

use std::time::Duration;

use super::{Effect, Node, OperatorReply};
use crate::{consensus::Role, id::InstanceId, time::Time};

/// Interval at which an instance checks whether it has to bootstrap the group.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// State of automatic bootstrapping.
#[derive(Debug, Default)]
pub(super) struct AutoBootstrap {
    /// When to check again whether this instance has to bootstrap the group.
    next_check: Time,
}

impl Node {
    pub(super) fn auto_bootstrap_deadline(&self) -> Option<Time> {
        self.auto_bootstrap_pending().then_some(self.auto_bootstrap.next_check)
    }

    fn auto_bootstrap_pending(&self) -> bool {
        let idle =
            self.replica.as_ref().is_some_and(|r| r.status.role == Role::Idle);
        self.options.auto_bootstrap && idle
    }

    pub(super) fn auto_bootstrap_tick(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if !self.auto_bootstrap_pending()
            || now < self.auto_bootstrap.next_check
        {
            return;
        }
        self.auto_bootstrap.next_check = now + CHECK_INTERVAL;
        if !self.is_bootstrap_seed() {
            return;
        }
        // The identifier of the group must differ from those of other sites.
        let group = InstanceId::from_name(&self.own_member.name).0
            ^ self.own_member.incarnation;
        let reply = self.bootstrap(now, group.max(1), out);
        debug_assert!(matches!(
            reply,
            OperatorReply::Bootstrapped | OperatorReply::Refused(_)
        ));
    }

    /// Returns whether this instance is a seed and all seeds before it are
    /// known to have no replica.
    fn is_bootstrap_seed(&self) -> bool {
        for &seed in &self.options.seeds {
            if seed == self.own_member.address {
                return true;
            }
            let member = self.members().iter().find(|m| m.address == seed);
            if member.is_none_or(|m| m.replica.is_some()) {
                return false;
            }
        }
        false
    }
}
