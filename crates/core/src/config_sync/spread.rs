//! How a configuration travels: pushes, comparisons and pulls.

use std::sync::Arc;

use rand::RngExt;

use super::reducer::ConfigSync;
use crate::{
    config_sync::{ConfigRecord, Message, SyncEffect, tree},
    event::config as log,
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
        // Asking one instance at a time keeps a large document from being
        // sent by every fellow that has it.
        if version > self.version() && now >= self.pulling_until {
            self.pulling_until = now + self.options.pull_timeout;
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
                self.log(
                    &log::CONFIG_CONFLICT,
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
        self.pulling_until = now;
        self.current = Some(record.clone());
        self.effects.push(SyncEffect::Install(record.clone()));
        self.log(
            &log::CONFIG_IN_FORCE,
            format!(
                "version={} hash={:016x} from={source}",
                record.version, record.hash
            ),
        );
        self.push_on(&record, from);
        self.evaluate(now);
        if !self.serving && now >= self.lease_until {
            self.next_round = now;
        }
    }

    /// Pushes a new record to those for whom this instance is responsible.
    pub(super) fn push_on(
        &mut self,
        record: &Arc<ConfigRecord>,
        from: Option<InstanceId>,
    ) {
        let direct = self.members.len() <= self.options.max_direct_members;
        let group = self.record_of(self.me).map_or(0, |x| x.control_group);
        let is_root =
            |x: &&Member| x.replica.is_some() && x.control_group == group;
        let roots = self.members.iter().filter(is_root);
        let root = roots.clone().position(|x| x.id == self.me);
        let targets = match root {
            // The replicas share the work. The share of one that is down or
            // late is covered by comparison.
            Some(root) if from.is_none() => {
                let order = tree::order(record.version, &self.members);
                let width =
                    if direct { order.len() } else { self.options.fan_out };
                tree::root_children(&order, width, root, roots.count())
            }
            None if !direct => {
                let order = tree::order(record.version, &self.members);
                tree::children(&order, self.options.fan_out, self.me).to_vec()
            }
            _ => Vec::new(),
        };
        for id in targets {
            if id != self.me && Some(id) != from {
                self.send(id, Message::Push(record.clone()));
            }
        }
    }

    pub(super) fn compare(&mut self) {
        let others = self.members.len().saturating_sub(1);
        if others == 0 {
            return;
        }
        let at = self.rng.random_range(0..self.members.len());
        // Drawing oneself is answered by the next in order.
        let at = match &self.members[at] {
            x if x.id == self.me => (at + 1) % self.members.len(),
            _ => at,
        };
        let to = self.members[at].id;
        self.sequence += 1;
        let sequence = self.sequence;
        let version = self.version();
        self.send(to, Message::Compare { sequence, version });
    }
}
