/*!
Agreement between the home and the standby of a target on who may send to it.

A target that is ready bears the requests of both. A target that is cold, or
may have restarted, gets one request at a time, so only its home may send to
it:

- A standby sends only while the home allows it. Without a word from the home
  it does not.
- A home that finds a target cold revokes the permission. It sends nothing to
  the target until the standby has confirmed that none of its requests runs
  there, or for `TargetOptions::revoke_timeout`. That time is no shorter than
  the lease of an instance, so a standby that cannot be reached for so long,
  nor can reach the rest of the fleet, has stopped serving.
- A standby that becomes the home without the permission of the former home
  sends nothing until the takeover hold has ended.

Notices carry a number, which the confirmation repeats. A permission also
carries the token of the standby's last revocation, so that one that was
delayed on the way, or sent to an earlier run of the process, has no effect.
*/

use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{
    HomeRole, TargetEffect, TargetState,
    entry::{Cx, Target},
};
use crate::{event, id::InstanceId, time::Time};

/// Interval at which a notice is sent again until it is confirmed.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Message of a home to its standby, and the confirmation of the standby.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct SharingNotice {
    /// Number of the notice; 0 in a confirmation without one.
    pub number: u64,
    /// Whether the standby may send to the target.
    pub allowed: bool,
    /// Token of the standby's last revocation.
    pub token: u64,
}

/// What this instance knows about the sharing of a target.
#[derive(Debug, Default)]
pub(crate) struct Sharing {
    /// Home: the notice that was sent last, unless the standby is new.
    notice: Option<SharingNotice>,
    /// Home: what the standby has confirmed.
    confirmed: Option<bool>,
    /// Home: the token that the standby sent last.
    standby_token: u64,
    /// Home: when the notice is sent again.
    resend_at: Option<Time>,
    /// Home: until when nothing is sent to a target whose permission is being
    /// revoked.
    revoke_until: Option<Time>,
    /// Standby: whether the home allows this instance to send.
    allowed: bool,
    /// Standby: token of the last revocation.
    token: u64,
    /// Standby: a notice that is confirmed once no request runs, and its
    /// sender.
    unconfirmed: Option<(InstanceId, SharingNotice)>,
    /// Whether the takeover hold forbids requests to a cold target, because
    /// the former home may still send.
    held_by_former_home: bool,
}

impl Sharing {
    /// Returns when the next timeout expires.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        [self.resend_at, self.revoke_until].into_iter().flatten().min()
    }
}

impl Target {
    /// Whether only one instance may send to the target.
    fn is_exclusive(&self) -> bool {
        self.state == TargetState::Cold || self.maybe_restarted
    }

    /// Home: whether the standby may send.
    pub(crate) fn is_shared(&self) -> bool {
        self.sharing.confirmed == Some(true)
    }

    /// Whether another instance may have requests at a target that bears only
    /// one, so that nothing may be sent to it.
    pub(crate) fn awaits_handover(&self) -> bool {
        let held =
            self.hold_until.is_some() && self.sharing.held_by_former_home;
        self.is_exclusive() && (held || self.sharing.revoke_until.is_some())
    }

    /// Whether the home forbids this instance, its standby, to send.
    pub(crate) fn is_forbidden(&self) -> bool {
        self.spec.role == HomeRole::Standby
            && self.spec.peer.is_some()
            && !self.sharing.allowed
    }

    /// Adapts the agreement to a new role, or a new instance at the other
    /// side.
    pub(crate) fn role_changed<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        old_role: HomeRole,
    ) {
        let was_forbidden =
            old_role == HomeRole::Standby && !self.sharing.allowed;
        let unconfirmed = self.sharing.unconfirmed.take();
        self.sharing = Sharing {
            held_by_former_home: was_forbidden,
            token: cx.rng.random(),
            unconfirmed,
            ..Sharing::default()
        };
        if self.spec.role == HomeRole::Standby
            && let Some(home) = self.spec.peer
        {
            // A home that allowed this instance before learns that it must do
            // so again.
            self.confirm(cx, home, 0);
        }
    }

    /// Home: sends a notice if the standby has to know of a change or has not
    /// confirmed the last one.
    pub(crate) fn notify_standby<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        if self.sharing.revoke_until.is_some_and(|until| cx.now >= until) {
            self.sharing.revoke_until = None;
            cx.log(
                &event::target::REVOKE_UNCONFIRMED,
                format!("target={}", self.spec.name),
            );
        }
        let standby = match (self.spec.role, self.spec.peer) {
            (HomeRole::Home, Some(standby)) => standby,
            _ => return,
        };
        let allowed = match self.state {
            _ if self.is_exclusive() => false,
            // It may come back cold.
            TargetState::Down => false,
            TargetState::Ready => true,
            // The standby keeps what it has.
            _ => self.sharing.notice.is_some_and(|n| n.allowed),
        };
        let sharing = &mut self.sharing;
        if sharing.notice.is_none_or(|n| n.allowed != allowed) {
            let number = sharing.notice.map_or(0, |n| n.number) + 1;
            let notice = SharingNotice { number, allowed, token: 0 };
            sharing.notice = Some(notice);
            sharing.confirmed = None;
            sharing.resend_at = Some(cx.now);
            sharing.revoke_until =
                (!allowed).then(|| cx.now + cx.options.revoke_timeout);
        }
        if sharing.confirmed == Some(allowed) {
            sharing.resend_at = None;
        } else if sharing.resend_at.is_none_or(|at| cx.now >= at)
            && let Some(notice) = sharing.notice
        {
            sharing.resend_at = Some(cx.now + RESEND_INTERVAL);
            let notice =
                SharingNotice { token: sharing.standby_token, ..notice };
            cx.emit(TargetEffect::NotifyStandby {
                to: standby,
                target: self.spec.id,
                notice,
            });
        }
    }

    /// Home: handles the confirmation of a standby.
    pub(crate) fn sharing_confirmed(
        &mut self,
        from: InstanceId,
        confirmation: SharingNotice,
    ) {
        let is_standby =
            self.spec.role == HomeRole::Home && self.spec.peer == Some(from);
        let Some(notice) = self.sharing.notice.filter(|_| is_standby) else {
            return;
        };
        let is_current = confirmation.number == notice.number;
        // A standby that lost its state, or revoked for an older notice, is
        // told again that it is allowed.
        if is_current || (notice.allowed && !confirmation.allowed) {
            self.sharing.confirmed = Some(confirmation.allowed);
            self.sharing.standby_token = confirmation.token;
        }
        if is_current && !confirmation.allowed {
            self.sharing.revoke_until = None;
        }
        if self.sharing.confirmed != Some(notice.allowed) {
            self.sharing.resend_at = None;
        }
    }

    /// Standby: handles a notice of the home.
    pub(crate) fn sharing_noticed<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        from: InstanceId,
        notice: SharingNotice,
    ) {
        if !notice.allowed {
            self.sharing.allowed = false;
            self.sharing.unconfirmed = Some((from, notice));
            return;
        }
        if self.spec.role == HomeRole::Standby && self.spec.peer == Some(from)
        {
            self.sharing.allowed = notice.token == self.sharing.token;
            self.confirm(cx, from, notice.number);
        }
    }

    /// Standby: stops queued requests that may not be sent, and confirms a
    /// revocation once none of its requests runs at the target.
    pub(crate) fn confirm_revocation<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
    ) {
        if self.is_forbidden() {
            while let Some(job) = self.queue.pop_front() {
                self.shed(cx, job.id, "home_only");
            }
        }
        // An instance that still takes itself for the home does not stop
        // before it learns of the change.
        if self.spec.role == HomeRole::Home || self.running() > 0 {
            return;
        }
        if let Some((home, notice)) = self.sharing.unconfirmed.take() {
            self.sharing.allowed = false;
            self.sharing.token = cx.rng.random();
            self.confirm(cx, home, notice.number);
        }
    }

    fn confirm<O: Extend<TargetEffect>>(
        &self,
        cx: &mut Cx<'_, O>,
        home: InstanceId,
        number: u64,
    ) {
        cx.emit(TargetEffect::ConfirmSharing {
            to: home,
            target: self.spec.id,
            notice: SharingNotice {
                number,
                allowed: self.sharing.allowed,
                token: self.sharing.token,
            },
        });
    }
}
