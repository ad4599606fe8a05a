//! The reducer: dispatch of events to the holder and the grantor.

use super::{
    Message, ShareCounts, ShareEffect, ShareEvent, ShareOptions,
    grantor::Grantor, holder::Holder,
};
use crate::{
    event::{LogEvent, forward as kinds},
    id::{InstanceId, LimitId, ZoneId},
    time::Time,
};

/// The state of the shared limits on an instance.
#[derive(Clone, Debug)]
pub struct Shares {
    own_id: InstanceId,
    holder: Holder,
    grantor: Grantor,
    /// Whether any limit is in force.
    limited: bool,
    /// Whether this instance granted in the last step, for the log.
    was_active: bool,
    /// Time of the last step.
    last_step: Time,
}

impl Shares {
    /// Creates the state for the instance `own_id` in `zone`.
    pub fn new(
        own_id: InstanceId,
        zone: ZoneId,
        options: ShareOptions,
        seed: u64,
    ) -> Shares {
        Shares {
            own_id,
            holder: Holder::new(own_id, zone, options.clone(), seed),
            grantor: Grantor::new(options),
            limited: false,
            was_active: false,
            last_step: Time::ZERO,
        }
    }

    /// Handles one event and appends its effects to `out`.
    pub fn step(
        &mut self,
        now: Time,
        event: ShareEvent,
        out: &mut impl Extend<ShareEffect>,
    ) {
        self.last_step = now;
        match event {
            ShareEvent::Limits(limits) => {
                self.limited = !limits.is_empty();
                self.holder.set_limits(&limits);
                self.grantor.set_limits(now, &limits);
            }
            ShareEvent::Grantors(grantors) => {
                self.holder.set_grantors(grantors);
            }
            ShareEvent::Confirmed(list) => self.grantor.confirm(now, list),
            ShareEvent::NotVoter => self.grantor.end(),
            ShareEvent::Serving(serving) => self.grantor.set_serving(serving),
            ShareEvent::Take(token, limit, until) => {
                self.holder.take(now, token, limit, until);
            }
            ShareEvent::Drop(token) => {
                self.holder.drop_request(now, token);
            }
            ShareEvent::Message(from, message) => {
                self.handle_message(now, from, message, out);
            }
            ShareEvent::Unreachable(id) => self.holder.unreachable(now, id),
            ShareEvent::Tick => {}
        }
        self.holder.tick(now);
        self.log_activity(now, out);
        self.send(now, out);
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut impl Extend<ShareEffect>,
    ) {
        match message {
            Message::Ask { sequence, validity_us, wants } => {
                let reply =
                    self.grantor.ask(now, from, sequence, validity_us, &wants);
                out.extend([ShareEffect::Send(from, reply)]);
            }
            Message::Granted { sequence, grants } => {
                self.holder.granted(now, from, sequence, &grants);
            }
            Message::Return(returned) => {
                self.grantor.put_back(now, from, &returned);
            }
            Message::NotGrantor { sequence } => {
                self.holder.not_grantor(now, from, sequence);
            }
        }
    }

    /// Returns the effects of the holder. Messages to this instance itself are
    /// handled at once.
    fn send(&mut self, now: Time, out: &mut impl Extend<ShareEffect>) {
        loop {
            let effects = self.holder.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    ShareEffect::Send(to, message) if to == self.own_id => {
                        let mut replies = Vec::new();
                        self.handle_message(now, to, message, &mut replies);
                        for reply in replies {
                            if let ShareEffect::Send(_, message) = reply {
                                self.handle_message(now, to, message, out);
                            }
                        }
                    }
                    effect => out.extend([effect]),
                }
            }
        }
    }

    fn log_activity(&mut self, now: Time, out: &mut impl Extend<ShareEffect>) {
        let active = self.limited && self.grantor.active(now);
        if active == self.was_active {
            return;
        }
        self.was_active = active;
        let detail = format!(
            "active={active} part={:.3} granted={:.0}",
            self.grantor.fraction(),
            self.grantor.granted()
        );
        let event = LogEvent::new(&kinds::GRANTOR_CHANGED, detail);
        out.extend([ShareEffect::Log(event)]);
    }

    /// Returns when the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.holder.next_deadline(self.last_step)
    }

    /// Returns the whole tokens of a limit that this instance holds.
    pub fn held(&self, limit: LimitId) -> u32 {
        self.holder.held(limit)
    }

    /// Returns whether this instance grants tokens.
    pub fn grants(&self, now: Time) -> bool {
        self.limited && self.grantor.active(now)
    }

    /// Returns what became of the tokens since the start of the process.
    pub fn counts(&self) -> ShareCounts {
        let granted = self.grantor.granted();
        ShareCounts { granted, ..self.holder.counts }
    }
}
