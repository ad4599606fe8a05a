/*!
Founding the control group without an operator.

Where the settings allow it, the first seed that has a replica founds the
group. All instances have the same seeds when the fleet starts for the first
time, so they agree on who that is. A seed that comes later in the list waits
until every seed before it is known to have no replica.
*/

use std::time::Duration;

use super::{Effect, Node, OperatorReply};
use crate::{consensus::Role, id::InstanceId, time::Time};

/// How often an instance looks whether it has to found the group.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// State of the founding.
#[derive(Debug, Default)]
pub(super) struct Founding {
    look_at: Time,
}

impl Node {
    pub(super) fn founding_deadline(&self) -> Option<Time> {
        self.may_found().then_some(self.founding.look_at)
    }

    fn may_found(&self) -> bool {
        let idle =
            self.replica.as_ref().is_some_and(|r| r.status.role == Role::Idle);
        self.options.auto_bootstrap && idle
    }

    pub(super) fn found_group(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if !self.may_found() || now < self.founding.look_at {
            return;
        }
        self.founding.look_at = now + LOOK_INTERVAL;
        if !self.is_founder() {
            return;
        }
        // Any number that no other site has.
        let group =
            InstanceId::from_name(&self.me.name).0 ^ self.me.incarnation;
        let reply = self.bootstrap(now, group.max(1), out);
        debug_assert!(matches!(
            reply,
            OperatorReply::Bootstrapped | OperatorReply::Refused(_)
        ));
    }

    /// Whether every seed before this instance has no replica.
    fn is_founder(&self) -> bool {
        for &seed in &self.options.seeds {
            if seed == self.me.address {
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
