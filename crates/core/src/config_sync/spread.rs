//! Distribution of a configuration by pushes, comparisons and pulls.

use std::sync::Arc;

use rand::{RngExt, seq::IteratorRandom};

use super::reducer::ConfigSync;
use crate::{
    config_sync::{ConfigRecord, Message, SyncEffect, tree},
    event::config as kinds,
    id::{ConfigVersion, InstanceId},
    membership::Member,
    time::Time,
};

impl ConfigSync {
    pub(super) fn pull_if_newer(
        &mut self,
        now: Time,
        from: InstanceId,
        version: ConfigVersion,
    ) {
        // Only one instance at a time is asked for the document, so that not
        // every instance that has a large document sends it.
        if version > self.version() && now >= self.pull_deadline {
            self.pull_deadline = now + self.options.pull_timeout;
            let version = self.version();
            self.send(from, Message::Pull { version });
        }
    }

    pub(super) fn install(
        &mut self,
        now: Time,
        record: Arc<ConfigRecord>,
        from: Option<InstanceId>,
    ) {
        let source =
            from.map_or("replica".to_owned(), |from| from.to_string());
        if let Some(current) = self.current.clone()
            && record.version <= current.version
        {
            if current.version == record.version && current.hash != record.hash
            {
                self.log_event(
                    &kinds::CONFIG_CONFLICT,
                    format!(
                        "version={} hash={:016x} other={:016x} from={source}",
                        record.version, current.hash, record.hash
                    ),
                );
            }
            return;
        }
        if record.version == ConfigVersion(0) {
            return;
        }
        self.pull_deadline = now;
        self.current = Some(record.clone());
        self.effects.push(SyncEffect::Install(record.clone()));
        self.log_event(
            &kinds::CONFIG_IN_FORCE,
            format!(
                "version={} hash={:016x} from={source} confirmed_ms={}",
                record.version,
                record.hash,
                self.confirmed_ms(now)
            ),
        );
        self.push_to_children(&record, from);
        self.adopt_committed_roster(now);
        self.evaluate_round(now);
        if !self.serving && now >= self.lease_until {
            self.next_round = now;
        }
    }

    /// Pushes a new record to the children of this instance in the tree. In a
    /// small fleet only the control replicas push, to all members directly.
    pub(super) fn push_to_children(
        &mut self,
        record: &Arc<ConfigRecord>,
        from: Option<InstanceId>,
    ) {
        let direct = self.members.len() <= self.options.max_direct_members;
        let group = self.member(self.own_id).map_or(0, |x| x.control_group);
        let is_root =
            |x: &&Member| x.replica.is_some() && x.control_group == group;
        let roots = self.members.iter().filter(is_root);
        let root = roots.clone().position(|x| x.id == self.own_id);
        let targets = match root {
            // The control replicas share the pushes. If one is down or late,
            // the members of its share find the version by comparison.
            Some(root) if from.is_none() => {
                let order = tree::order(record.version, &self.members);
                let width =
                    if direct { order.len() } else { self.options.fan_out };
                tree::root_children(&order, width, root, roots.count())
            }
            None if !direct => {
                let order = tree::order(record.version, &self.members);
                tree::children(&order, self.options.fan_out, self.own_id)
                    .to_vec()
            }
            _ => Vec::new(),
        };
        for id in targets {
            if id != self.own_id && Some(id) != from {
                self.send(id, Message::Push(record.clone()));
            }
        }
    }

    /// Compares versions with a random member. In a large fleet that is mostly
    /// one of the own zone: a version needs to cross into a zone only once.
    pub(super) fn send_compare(&mut self) {
        let zone = self.member(self.own_id).map(|x| x.zone);
        let large = self.members.len() > self.options.max_direct_members;
        let across = self.options.compare_across.max(1);
        let near = large && !self.rng.random_ratio(1, across);
        let others = || self.members.iter().filter(|x| x.id != self.own_id);
        let in_zone = || others().filter(|x| near && Some(x.zone) == zone);
        let drawn = in_zone().choose(&mut self.rng);
        let drawn = drawn.or_else(|| others().choose(&mut self.rng));
        let Some(to) = drawn.map(|x| x.id) else { return };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let (version, roster) = (self.version(), self.roster_status());
        self.send(to, Message::Compare { sequence, version, roster });
    }
}
