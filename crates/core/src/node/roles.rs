//! Which instances can be homes, and which targets this instance serves.

use std::{net::SocketAddr, time::Duration};

use super::{Effect, Internal, Node, PlatformList, TargetHome};
use crate::{
    config_sync::SyncEvent,
    event::{LogEvent, membership::HOME_MOVED},
    id::{InstanceId, TargetId, ZoneId},
    membership::{Member, MemberState, MembershipEvent},
    placement::{self, BundleKey, Candidate},
    query::{DispatchMode, QueryEvent},
    target::{HomeRole, TargetEvent, TargetSpec},
    time::Time,
};

/// An instance that could not be reached is passed over for this long, unless
/// a message from it arrives before. Short, because a refused connection may
/// be a process that restarts.
const UNREACHABLE_FOR: Duration = Duration::from_secs(1);

/// A bundle of targets with its place.
#[derive(Debug)]
pub(super) struct Bundle {
    key: BundleKey,
    zone: ZoneId,
    home: Option<InstanceId>,
    standby: Option<InstanceId>,
}

impl Node {
    pub(super) fn mark_unreachable(&mut self, now: Time, id: InstanceId) {
        if id.0 == 0 || id == self.me.id {
            return;
        }
        let until = now + UNREACHABLE_FOR;
        match self.unreachable.binary_search_by_key(&id, |u| u.0) {
            Ok(i) => self.unreachable[i].1 = until,
            Err(i) => {
                self.unreachable.insert(i, (id, until));
                self.update_query_candidates();
            }
        }
    }

    pub(super) fn mark_reachable(&mut self, id: InstanceId) {
        if let Ok(i) = self.unreachable.binary_search_by_key(&id, |u| u.0) {
            self.unreachable.remove(i);
            self.update_query_candidates();
        }
    }

    pub(super) fn forget_unreachable(&mut self, now: Time) {
        let before = self.unreachable.len();
        self.unreachable.retain(|&(_, until)| until > now);
        if self.unreachable.len() != before {
            self.update_query_candidates();
        }
    }

    /// A member's death ends the jobs that its queries wait for.
    pub(super) fn member_changed(&mut self, member: &Member) {
        if member.state == MemberState::Dead {
            for job in self.homes.jobs_of_root(member.id) {
                self.push(Internal::Target(TargetEvent::Cancel(job)));
            }
        }
    }

    pub(super) fn members_changed(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let members = self.membership.members();
        let present: Vec<Member> = members
            .iter()
            .filter(|m| m.state != MemberState::Dead)
            .cloned()
            .collect();
        let candidates: Vec<Candidate> = members
            .iter()
            .filter(|m| m.entry)
            .filter(|m| {
                matches!(m.state, MemberState::Alive | MemberState::Suspect)
            })
            .map(|m| Candidate { instance: m.id, zone: m.zone })
            .collect();
        self.control_members_changed(&present);
        self.push(Internal::Sync(SyncEvent::Members(present)));
        if candidates != self.candidates {
            self.candidates = candidates;
            self.update_query_candidates();
            self.place(now, out);
            // New members have no reports yet.
            self.refresh_reports_at = now;
        }
    }

    /// The query path passes over instances that cannot be reached right
    /// now. Roles at homes depend on the agreed members only.
    fn update_query_candidates(&mut self) {
        let unreachable = &self.unreachable;
        let candidates = self
            .candidates
            .iter()
            .filter(|c| {
                unreachable.binary_search_by_key(&c.instance, |u| u.0).is_err()
            })
            .copied()
            .collect();
        self.push(Internal::Query(QueryEvent::Candidates(candidates)));
    }

    /// Computes the home of every target and this instance's part in it.
    pub(super) fn place(&mut self, _now: Time, out: &mut impl Extend<Effect>) {
        let Some((_, configuration)) = self.configuration.clone() else {
            return;
        };
        let bundle_size = configuration.limits.bundle_size;
        let mut bundles: Vec<Bundle> = Vec::new();
        let mut specs = Vec::new();
        for service in &configuration.services {
            let mut positions: Vec<(ZoneId, usize)> = Vec::new();
            for searcher in &service.searchers {
                let zone = searcher.zone();
                let position = next_position(&mut positions, zone);
                let key =
                    BundleKey::new(&service.name, zone, position, bundle_size);
                let i = self.bundle(&mut bundles, key, zone, out);
                let role = self.role(&bundles[i]);
                if role == HomeRole::None {
                    continue;
                }
                specs.push(TargetSpec {
                    id: searcher.id(),
                    name: searcher.name.clone(),
                    address: searcher.address,
                    zone,
                    zone_out: configuration
                        .zone_is_out(&searcher.availability_zone),
                    slots: searcher.slots,
                    connections: searcher.connections,
                    role,
                });
            }
        }
        self.bundles = bundles;
        specs.sort_by_key(|s| s.id);
        self.push(Internal::Target(TargetEvent::Configure(specs)));
    }

    /// Finds or places a bundle; returns its position.
    fn bundle(
        &self,
        bundles: &mut Vec<Bundle>,
        key: BundleKey,
        zone: ZoneId,
        out: &mut impl Extend<Effect>,
    ) -> usize {
        match bundles.binary_search_by_key(&key, |b| b.key) {
            Ok(i) => i,
            Err(i) => {
                let (home, standby) =
                    placement::rank(key, zone, &self.candidates);
                if self.former_home(key) != home {
                    out.extend([Effect::Log(LogEvent::new(
                        &HOME_MOVED,
                        format!(
                            "bundle={:016x} zone={zone} home={}",
                            key.0,
                            home.map_or_else(
                                || "none".to_owned(),
                                |h| self.instance_name(h)
                            ),
                        ),
                    ))]);
                }
                bundles.insert(i, Bundle { key, zone, home, standby });
                i
            }
        }
    }

    fn former_home(&self, key: BundleKey) -> Option<InstanceId> {
        let i = self.bundles.binary_search_by_key(&key, |b| b.key).ok()?;
        self.bundles[i].home
    }

    /// This instance's part in serving a bundle.
    fn role(&self, bundle: &Bundle) -> HomeRole {
        let me = Some(self.me.id);
        if !self.entry_active() {
            HomeRole::None
        } else if self.options.query.mode == DispatchMode::Direct
            || bundle.home == me
        {
            HomeRole::Home
        } else if bundle.standby == me {
            HomeRole::Standby
        } else {
            HomeRole::None
        }
    }

    /// Whether this instance may send to targets: it holds its lease and has
    /// not announced that it leaves.
    fn entry_active(&self) -> bool {
        self.me.entry && self.serving && !self.draining()
    }

    /// Home and standby of every target of the configuration.
    pub fn target_homes(&self) -> Vec<(TargetId, TargetHome)> {
        let Some((_, configuration)) = &self.configuration else {
            return Vec::new();
        };
        let mut homes = Vec::new();
        for service in &configuration.services {
            let mut positions = Vec::new();
            for searcher in &service.searchers {
                let zone = searcher.zone();
                let position = next_position(&mut positions, zone);
                let key = BundleKey::new(
                    &service.name,
                    zone,
                    position,
                    configuration.limits.bundle_size,
                );
                let found = self.bundles.binary_search_by_key(&key, |b| b.key);
                let home = found.map_or(TargetHome::default(), |i| {
                    let bundle = &self.bundles[i];
                    debug_assert_eq!(bundle.zone, zone);
                    TargetHome { home: bundle.home, standby: bundle.standby }
                });
                homes.push((searcher.id(), home));
            }
        }
        homes.sort_by_key(|h| h.0);
        homes
    }

    pub(super) fn platform_list(&mut self, list: &PlatformList) {
        let live: Vec<SocketAddr> =
            list.instances.iter().filter(|i| !i.1).map(|i| i.0).collect();
        self.push(Internal::Membership(MembershipEvent::Hint(live)));
        for &(address, _) in list.instances.iter().filter(|i| i.1) {
            self.push(Internal::Membership(MembershipEvent::PlatformLeaving(
                address,
            )));
        }
        let Some((_, configuration)) = &self.configuration else { return };
        let leaving: Vec<(TargetId, bool)> = configuration
            .searchers()
            .map(|(_, searcher)| {
                let leaving = list
                    .targets
                    .iter()
                    .any(|&(address, l)| l && address == searcher.address);
                (searcher.id(), leaving)
            })
            .collect();
        for (target, leaving) in leaving {
            self.push(Internal::Target(TargetEvent::PlatformLeaving(
                target, leaving,
            )));
        }
    }

    /// The other entry instances that live.
    pub(super) fn entry_fellows(&self) -> impl Iterator<Item = InstanceId> {
        let me = self.me.id;
        self.candidates.iter().map(|c| c.instance).filter(move |&id| id != me)
    }

    pub(super) fn instance_name(&self, id: InstanceId) -> String {
        self.member(id).map_or_else(|| id.to_string(), |m| m.name.clone())
    }
}

/// Counts searchers of a service by zone.
fn next_position(positions: &mut Vec<(ZoneId, usize)>, zone: ZoneId) -> usize {
    match positions.binary_search_by_key(&zone, |p| p.0) {
        Ok(i) => {
            positions[i].1 += 1;
            positions[i].1
        }
        Err(i) => {
            positions.insert(i, (zone, 0));
            0
        }
    }
}
