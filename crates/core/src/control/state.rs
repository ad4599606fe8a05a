//! The replicated state and the effect of each command on it.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Change, ChangeOutcome, Claim, Command, ControlReply, Read, RolloutReply,
    RosterChange, Settle, TableRevision, ZoneStateChange,
};
use crate::{
    config::{AvailabilityZone, Configuration, ZoneState},
    config_sync::{ConfigRecord, Roster, Rosters},
    id::{ConfigVersion, QueryId},
    query::ClaimResult,
    rollout::{
        self, OrderResult, Rollout, RolloutClock, RolloutMove, RolloutOrder,
    },
    verdict::Verdict,
};

/// Largest number of change outcomes kept for resends.
pub const MAX_OUTCOMES: usize = 10_000;

/// Largest number of claims.
pub const MAX_CLAIMS: usize = 200_000;

/// Time after which a claim expires, in milliseconds.
pub const CLAIM_TTL_MS: u64 = 24 * 60 * 60 * 1_000;

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// A change has an outcome.
    Change {
        /// Identifier of the change.
        change_id: String,
        /// The outcome.
        outcome: ChangeOutcome,
        /// Whether the outcome is that of an earlier command with this id.
        repeated: bool,
    },
    /// A table, the state of a zone or a barrier was applied.
    Version {
        /// Version of the configuration after the command.
        version: ConfigVersion,
        /// Whether the command changed the configuration.
        changed: bool,
    },
    /// A claim was decided.
    Claim(ClaimResult),
    /// The verdict of a claim was processed; it has no effect on a claim
    /// that is missing, already settled or owned by another query.
    Settled,
    /// The state of a zone was applied.
    Zone {
        /// The order.
        change: ZoneStateChange,
        /// Version of the configuration after the order.
        version: ConfigVersion,
        /// Whether the order changed the configuration.
        changed: bool,
    },
    /// An order for a zone had no effect, because others came before it.
    OutdatedZone {
        /// The order.
        change: ZoneStateChange,
        /// Number of orders for the zone so far.
        orders: u64,
    },
    /// Number of orders for a zone.
    ZoneOrders(u64),
    /// An order for a roll-out or a change of its stage was applied.
    Rollout {
        /// The result.
        reply: RolloutReply,
        /// Whether the command changed the configuration.
        changed: bool,
    },
    /// The times since the orders of running roll-outs were recorded.
    RolloutsMarked,
    /// The roster was replaced, or another one came first.
    Roster {
        /// Whether the command changed the roster.
        changed: bool,
    },
    /// The command cannot be decoded and has no effect.
    Malformed,
}

/// The orders for an availability zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ZoneOrders {
    zone: String,
    /// Number of orders.
    count: u64,
    /// The last order, which may be sent again.
    last: ZoneStateChange,
}

/// A claim that has not expired.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClaimRecord {
    query: QueryId,
    verdict: Option<Verdict>,
    /// Key in `ControlState::expiry`.
    expiry: (u64, u64),
}

/// The replicated state machine.
///
/// The claims are kept in ordered maps instead of sorted vectors, because an
/// insertion into a vector of 200,000 strings moves megabytes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControlState {
    index: u64,
    record: ConfigRecord,
    /// Outcomes by change id.
    outcomes: BTreeMap<String, ChangeOutcome>,
    /// Change ids in the order in which they were applied, oldest first.
    arrivals: VecDeque<String>,
    claims: BTreeMap<String, ClaimRecord>,
    /// Request ids of the claims by the time and number of the claim, in the
    /// order in which they expire.
    expiry: BTreeMap<(u64, u64), String>,
    /// The latest time seen in any claim. Clocks of successive leaders differ,
    /// and an earlier time must not change the order of expiry.
    clock_ms: u64,
    next_claim: u64,
    /// Orders for availability zones, sorted by zone.
    #[serde(default)]
    zone_orders: Vec<ZoneOrders>,
    /// Roll-outs, sorted by service; the configuration holds the same.
    #[serde(default)]
    rollouts: Vec<Rollout>,
    /// Times since the orders of the running roll-outs, sorted by service.
    #[serde(default)]
    rollout_clocks: Vec<RolloutClock>,
    /// The roster in force.
    #[serde(default)]
    roster: Arc<Roster>,
    /// The roster before it, by which instances may still count; empty once
    /// no majority does.
    #[serde(default)]
    previous_roster: Arc<Roster>,
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Bytes {
        // Encoding plain data into a vector cannot fail.
        rmp_serde::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a command from the log; `None` if it is malformed.
    pub fn decode(command: &[u8]) -> Option<Command> {
        rmp_serde::from_slice(command).ok()
    }
}

impl ControlState {
    /// Applies the command at `index` of the log.
    pub fn apply(&mut self, index: u64, command: &[u8]) -> Applied {
        self.index = index;
        match Command::decode(command) {
            Some(Command::Change(change)) => self.change(change),
            Some(Command::Revise(revision)) => self.revise(&revision),
            Some(Command::SetZone(change)) => self.set_zone(change),
            Some(Command::ReadZone(zone)) => {
                Applied::ZoneOrders(self.zone_order_count(&zone))
            }
            Some(Command::Barrier) => {
                Applied::Version { version: self.version(), changed: false }
            }
            Some(Command::Claim(claim)) => Applied::Claim(self.claim(claim)),
            Some(Command::Settle(settle)) => {
                self.settle(&settle);
                Applied::Settled
            }
            Some(Command::StartRollout(order)) => self.start_rollout(&order),
            Some(Command::MoveRollout(change)) => self.move_rollout(&change),
            Some(Command::MarkRollouts(clocks)) => {
                for clock in clocks {
                    self.mark_rollout(clock);
                }
                Applied::RolloutsMarked
            }
            Some(Command::SetRoster(change)) => self.set_roster(change),
            Some(Command::EndPreviousRoster(index)) => {
                let changed = index == self.roster.index;
                if changed {
                    self.previous_roster = Arc::default();
                }
                Applied::Roster { changed }
            }
            None => Applied::Malformed,
        }
    }

    /// Answers a read.
    pub fn read(&self, read: &Read) -> ControlReply {
        match read {
            Read::Version => ControlReply::Version(self.version()),
            Read::ZoneOrders(zone) => {
                ControlReply::ZoneOrders(self.zone_order_count(zone))
            }
        }
    }

    /// Encodes the state for a snapshot.
    pub fn snapshot(&self) -> Bytes {
        rmp_serde::to_vec(self).unwrap_or_default().into()
    }

    /// Replaces the state by a snapshot; on an error the state is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded.
    pub fn restore(
        &mut self,
        snapshot: &[u8],
    ) -> Result<(), rmp_serde::decode::Error> {
        *self = rmp_serde::from_slice(snapshot)?;
        Ok(())
    }

    /// Returns the index of the last applied command.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the last roll-out of each service, and the times since the
    /// orders of the running ones.
    pub fn rollouts(&self) -> (&[Rollout], &[RolloutClock]) {
        (&self.rollouts, &self.rollout_clocks)
    }

    /// Returns the configuration.
    pub fn record(&self) -> ConfigRecord {
        self.record.clone()
    }

    /// Returns the version of the configuration; 0 if there is none yet.
    pub fn version(&self) -> ConfigVersion {
        self.record.version
    }

    /// Returns an upper bound of the newest version in the log. Each change
    /// among the `unapplied` commands may be accepted and raise the version.
    pub fn logged_version<'a>(
        &self,
        unapplied: impl Iterator<Item = &'a Bytes>,
    ) -> ConfigVersion {
        let changes = unapplied
            .filter(|c| {
                matches!(
                    Command::decode(c),
                    Some(
                        Command::Change(_)
                            | Command::Revise(_)
                            | Command::SetZone(_)
                            | Command::StartRollout(_)
                            | Command::MoveRollout(_)
                    )
                )
            })
            .count();
        ConfigVersion(self.record.version.0 + changes as u64)
    }

    /// Returns the roster in force and the one before it.
    pub fn rosters(&self) -> Rosters<'_> {
        Rosters { current: &self.roster, previous: &self.previous_roster }
    }

    /// Returns the roster in force.
    pub fn roster(&self) -> &Arc<Roster> {
        &self.roster
    }

    /// Returns an upper bound of the index of the newest roster in the log.
    pub fn logged_roster<'a>(
        &self,
        mut unapplied: impl Iterator<Item = &'a Bytes>,
    ) -> u64 {
        let sets_roster = |c: &Bytes| {
            matches!(Command::decode(c), Some(Command::SetRoster(_)))
        };
        match unapplied.any(sets_roster) {
            true => u64::MAX,
            false => self.roster.index,
        }
    }

    /// Returns the outcome of a change, if it is still kept.
    pub fn outcome(&self, change_id: &str) -> Option<&ChangeOutcome> {
        self.outcomes.get(change_id)
    }

    /// Returns the number of change outcomes kept.
    pub fn outcome_count(&self) -> usize {
        self.outcomes.len()
    }

    /// Returns the number of claims kept.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    fn set_roster(&mut self, change: RosterChange) -> Applied {
        let RosterChange { after, entries, abandons_previous } = change;
        if after != self.roster.index {
            return Applied::Roster { changed: false };
        }
        let (index, version) = (self.index, self.version());
        let next = Arc::new(Roster { index, version, entries });
        let previous = std::mem::replace(&mut self.roster, next);
        self.previous_roster = match abandons_previous {
            true => Arc::default(),
            false => previous,
        };
        Applied::Roster { changed: true }
    }

    fn change(&mut self, change: Change) -> Applied {
        let Change { change_id, expected_version, document } = change;
        if let Some(outcome) = self.outcomes.get(&change_id) {
            let outcome = outcome.clone();
            return Applied::Change { change_id, outcome, repeated: true };
        }
        let version = self.record.version;
        let outcome = if expected_version == version {
            let version = ConfigVersion(version.0 + 1);
            let document = self.keep_rollouts(document);
            let hash = xxh3_64(&document);
            self.record = ConfigRecord { version, hash, document };
            ChangeOutcome::Accepted(version)
        } else {
            ChangeOutcome::Conflict(version)
        };
        self.outcomes.insert(change_id.clone(), outcome.clone());
        self.arrivals.push_back(change_id.clone());
        if self.arrivals.len() > MAX_OUTCOMES
            && let Some(oldest) = self.arrivals.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        Applied::Change { change_id, outcome, repeated: false }
    }

    /// Returns the document of a change with the roll-outs of the state, which
    /// the change does not touch.
    fn keep_rollouts(&self, document: Bytes) -> Bytes {
        if self.rollouts.is_empty() {
            return document;
        }
        // The document was validated and encoded by the instance that received
        // the operator's request. If this release cannot decode it, no
        // instance of this release will install it either.
        match rmp_serde::from_slice::<Configuration>(&document) {
            Ok(mut configuration) => {
                configuration.rollouts.clone_from(&self.rollouts);
                rmp_serde::to_vec_named(&configuration)
                    .unwrap_or_default()
                    .into()
            }
            Err(_) => document,
        }
    }

    fn start_rollout(&mut self, order: &RolloutOrder) -> Applied {
        let mut result = OrderResult::UnknownService;
        let applied = self.edit_rollouts(|configuration| {
            let services = &configuration.forwarding.services;
            if services.iter().any(|s| s.name == order.service) {
                result = rollout::start(&mut configuration.rollouts, order);
            }
            (result == OrderResult::Started).then_some(())
        });
        if result == OrderResult::Started {
            self.rollout_clocks.retain(|c| c.service != order.service);
        }
        self.rollout_applied(applied, result, &order.service)
    }

    fn move_rollout(&mut self, change: &RolloutMove) -> Applied {
        let mut result = OrderResult::Repeated;
        let mut number = 0;
        let applied = self.edit_rollouts(|configuration| {
            let moved = rollout::advance(&mut configuration.rollouts, change)?;
            number = moved.number;
            result = OrderResult::Started;
            Some(())
        });
        if result == OrderResult::Started {
            let clock = RolloutClock {
                service: change.service.clone(),
                number,
                elapsed_ms: change.elapsed_ms,
            };
            self.mark_rollout(clock);
            if change.to.is_final() {
                self.rollout_clocks.retain(|c| c.service != change.service);
            }
        }
        self.rollout_applied(applied, result, &change.service)
    }

    /// Applies `change` to the configuration with the roll-outs of the state,
    /// and keeps those that result.
    fn edit_rollouts(
        &mut self,
        change: impl FnOnce(&mut Configuration) -> Option<()>,
    ) -> Applied {
        let mut rollouts = std::mem::take(&mut self.rollouts);
        let applied = self.edit_configuration(|configuration| {
            configuration.rollouts.clone_from(&rollouts);
            let changed = change(configuration);
            rollouts.clone_from(&configuration.rollouts);
            changed
        });
        self.rollouts = rollouts;
        applied
    }

    fn rollout_applied(
        &self,
        applied: Applied,
        result: OrderResult,
        service: &str,
    ) -> Applied {
        let Applied::Version { version, changed } = applied else {
            return applied;
        };
        let rollout = rollout::find(&self.rollouts, service).cloned();
        let reply = RolloutReply { version, result, rollout };
        Applied::Rollout { reply, changed }
    }

    /// Records the time since an order, which only grows.
    fn mark_rollout(&mut self, clock: RolloutClock) {
        let runs = rollout::find(&self.rollouts, &clock.service)
            .is_some_and(|r| r.number == clock.number && !r.stage.is_final());
        if !runs {
            return;
        }
        let clocks = &mut self.rollout_clocks;
        match clocks.binary_search_by(|c| c.service.cmp(&clock.service)) {
            Ok(i) => {
                let known = &mut clocks[i];
                if known.number != clock.number
                    || known.elapsed_ms < clock.elapsed_ms
                {
                    *known = clock;
                }
            }
            Err(i) => clocks.insert(i, clock),
        }
    }

    /// Installs a table unless the table in force has the same or a higher
    /// revision.
    fn revise(&mut self, revision: &TableRevision) -> Applied {
        self.edit_configuration(|configuration| {
            if revision.revision <= configuration.forwarding.revision {
                return None;
            }
            // The table was validated and encoded by the instance that
            // received the operator's request, so decoding fails only if a
            // newer release wrote it in a form unknown to this one.
            configuration.forwarding =
                rmp_serde::from_slice(&revision.table).ok()?;
            Some(())
        })
    }

    /// Applies an order for a zone, unless another one came since the order
    /// was sent.
    fn set_zone(&mut self, change: ZoneStateChange) -> Applied {
        let found = self.zone_orders_position(&change.zone);
        let orders = found.map_or(0, |i| self.zone_orders[i].count);
        if change.after.is_some_and(|after| after != orders) {
            // The instance sends an order again if its reply is lost.
            return match found {
                Ok(i) if self.zone_orders[i].last == change => {
                    let version = self.version();
                    Applied::Zone { change, version, changed: false }
                }
                _ => Applied::OutdatedZone { change, orders },
            };
        }
        let count = orders + 1;
        let last = change.clone();
        match found {
            Ok(i) => {
                self.zone_orders[i].count = count;
                self.zone_orders[i].last = last;
            }
            Err(i) => {
                let zone = change.zone.clone();
                self.zone_orders.insert(i, ZoneOrders { zone, count, last });
            }
        }
        match self.set_zone_state(&change) {
            Applied::Version { version, changed } => {
                Applied::Zone { change, version, changed }
            }
            applied => applied,
        }
    }

    fn zone_orders_position(&self, zone: &str) -> Result<usize, usize> {
        self.zone_orders.binary_search_by(|o| o.zone.as_str().cmp(zone))
    }

    fn zone_order_count(&self, zone: &str) -> u64 {
        let found = self.zone_orders_position(zone);
        found.map_or(0, |i| self.zone_orders[i].count)
    }

    fn set_zone_state(&mut self, change: &ZoneStateChange) -> Applied {
        self.edit_configuration(|configuration| {
            let zones = &mut configuration.availability_zones;
            let name = change.zone.as_str();
            let found = zones.binary_search_by(|z| z.name.as_str().cmp(name));
            match found {
                Ok(i) if zones[i].state == change.state => return None,
                Ok(i) => zones[i].state = change.state,
                Err(_) if change.state == ZoneState::In => return None,
                Err(i) => {
                    let zone = AvailabilityZone {
                        name: change.zone.clone(),
                        state: change.state,
                    };
                    zones.insert(i, zone);
                }
            }
            Some(())
        })
    }

    /// Applies `change` to the configuration in force. The result becomes a
    /// new version unless `change` returns `None`.
    fn edit_configuration(
        &mut self,
        change: impl FnOnce(&mut Configuration) -> Option<()>,
    ) -> Applied {
        let document = &self.record.document;
        let mut configuration = if document.is_empty() {
            Configuration::default()
        } else {
            match rmp_serde::from_slice(document) {
                Ok(configuration) => configuration,
                Err(_) => return Applied::Malformed,
            }
        };
        configuration.sort();
        let changed = change(&mut configuration).is_some();
        if changed {
            let document: Bytes = rmp_serde::to_vec_named(&configuration)
                .unwrap_or_default()
                .into();
            let version = ConfigVersion(self.record.version.0 + 1);
            let hash = xxh3_64(&document);
            self.record = ConfigRecord { version, hash, document };
        }
        Applied::Version { version: self.version(), changed }
    }

    fn claim(&mut self, claim: Claim) -> ClaimResult {
        self.clock_ms = self.clock_ms.max(claim.at_ms);
        self.expire_claims();
        if let Some(record) = self.claims.get(&claim.request_id) {
            return match record.verdict {
                // A resend by the owner: the reply to the first claim was
                // lost.
                None if record.query == claim.query => ClaimResult::Granted,
                verdict => ClaimResult::Taken(verdict),
            };
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimResult::Unavailable;
        }
        self.next_claim += 1;
        let expiry = (self.clock_ms, self.next_claim);
        self.expiry.insert(expiry, claim.request_id.clone());
        let record = ClaimRecord { query: claim.query, verdict: None, expiry };
        self.claims.insert(claim.request_id, record);
        ClaimResult::Granted
    }

    fn settle(&mut self, settle: &Settle) {
        let Some(record) = self.claims.get_mut(&settle.request_id) else {
            return;
        };
        // A recorded verdict is final: a late `NotRun` must not release a
        // request that ran.
        if record.query != settle.query || record.verdict.is_some() {
            return;
        }
        if settle.verdict == Verdict::NotRun {
            let expiry = record.expiry;
            self.expiry.remove(&expiry);
            self.claims.remove(&settle.request_id);
        } else {
            record.verdict = Some(settle.verdict);
        }
    }

    fn expire_claims(&mut self) {
        while let Some(entry) = self.expiry.first_entry() {
            if entry.key().0 + CLAIM_TTL_MS > self.clock_ms {
                break;
            }
            let request_id = entry.remove();
            self.claims.remove(&request_id);
        }
    }
}
