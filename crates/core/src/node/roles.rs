//! Members that can be homes, and the targets that this instance serves.

use std::{net::SocketAddr, time::Duration};

use super::{Effect, Internal, Node, PlatformList, TargetHome};
use crate::{
    config::Configuration,
    config_sync::SyncEvent,
    event::{LogEvent, membership::HOME_MOVED},
    forward::ForwardEvent,
    id::{InstanceId, TargetId},
    membership::{Member, MemberState, MembershipEvent},
    placement::{self, BundleKey, BundlePlacement, BundledSearcher},
    query::{DispatchMode, QueryEvent},
    shares::ShareEvent,
    target::{HomeRole, TargetEvent, TargetSpec},
    time::Time,
};

/// Time for which no requests are sent to an instance after a connection to it
/// could not be opened, unless a message from it arrives earlier. Short,
/// because the connection may have been refused while the process restarts.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(1);

impl Node {
    pub(super) fn mark_unreachable(&mut self, now: Time, id: InstanceId) {
        if id.0 == 0 || id == self.own_member.id {
            return;
        }
        let until = now + UNREACHABLE_TIMEOUT;
        match self.unreachable.binary_search_by_key(&id, |u| u.0) {
            Ok(i) => self.unreachable[i].1 = until,
            Err(i) => {
                self.unreachable.insert(i, (id, until));
                self.update_query_candidates();
                self.update_entry_peers(now);
            }
        }
        self.push(Internal::Forward(ForwardEvent::Unreachable(id)));
        self.push(Internal::Share(ShareEvent::Unreachable(id)));
    }

    pub(super) fn mark_reachable(&mut self, now: Time, id: InstanceId) {
        if let Ok(i) = self.unreachable.binary_search_by_key(&id, |u| u.0) {
            self.unreachable.remove(i);
            self.update_query_candidates();
            self.update_entry_peers(now);
        }
    }

    pub(super) fn expire_unreachable(&mut self, now: Time) {
        let before = self.unreachable.len();
        self.unreachable.retain(|&(_, until)| until > now);
        if self.unreachable.len() != before {
            self.update_query_candidates();
            self.update_entry_peers(now);
        }
    }

    /// Cancels the jobs of a member's queries when the member is declared
    /// dead.
    pub(super) fn member_changed(&mut self, member: &Member) {
        if member.state == MemberState::Dead {
            for job in self.home_jobs.jobs_of_root(member.id) {
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
        let candidates = placement::candidates(members);
        self.control_members_changed(&present);
        self.push(Internal::Sync(SyncEvent::Members(present.clone())));
        if candidates != self.candidates {
            self.candidates = candidates;
            self.update_query_candidates();
            self.configure_targets(now, out);
            // New members have no reports yet.
            self.refresh_reports_at = now;
        }
        self.forward_members_changed(now, &present);
        self.grantors_changed();
    }

    /// Updates the entry instances used by the query path, which leaves out
    /// instances that are unreachable at the moment. The home roles depend on
    /// the membership only, so that all instances compute the same ones.
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

    /// Updates the placement and configures the targets for which this
    /// instance is the home or the standby.
    pub(super) fn configure_targets(
        &mut self,
        _now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        let Some((_, configuration)) = self.configuration.clone() else {
            return;
        };
        let candidates = self.candidates.clone();
        for placed in self.placement.set_candidates(candidates) {
            self.log_home(&placed, out);
        }
        let mut specs = Vec::new();
        for BundledSearcher { searcher, zone, bundle, .. } in
            placement::bundled_searchers(&configuration)
        {
            let (role, peer) = self.home_role(bundle);
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
                peer,
            });
        }
        specs.sort_by_key(|s| s.id);
        self.push(Internal::Target(TargetEvent::Configure(specs)));
    }

    /// Places the bundles of a new configuration.
    pub(super) fn set_bundles(
        &mut self,
        configuration: &Configuration,
        out: &mut impl Extend<Effect>,
    ) {
        let bundles = placement::bundled_searchers(configuration)
            .map(|b| (b.bundle, b.zone));
        for placed in self.placement.set_bundles(bundles) {
            self.log_home(&placed, out);
        }
    }

    fn log_home(
        &self,
        placed: &BundlePlacement,
        out: &mut impl Extend<Effect>,
    ) {
        let home = placed.home.map(|h| self.instance_name(h));
        out.extend([Effect::Log(LogEvent::new(
            &HOME_MOVED,
            format!(
                "bundle={:016x} zone={} home={}",
                placed.bundle.0,
                placed.zone,
                home.as_deref().unwrap_or("none")
            ),
        ))]);
    }

    /// Returns this instance's role for a bundle, and the instance with the
    /// other role.
    fn home_role(&self, bundle: BundleKey) -> (HomeRole, Option<InstanceId>) {
        if !self.entry_active() {
            return (HomeRole::None, None);
        }
        if self.options.query.mode == DispatchMode::Direct {
            return (HomeRole::Home, None);
        }
        let own_id = Some(self.own_member.id);
        match self.placement.get(bundle) {
            Some(placed) if placed.home == own_id => {
                (HomeRole::Home, placed.standby)
            }
            Some(placed) if placed.standby == own_id => {
                (HomeRole::Standby, placed.home)
            }
            _ => (HomeRole::None, None),
        }
    }

    /// Returns whether this instance may send to targets: it is an entry
    /// instance, holds its lease and is not shutting down.
    fn entry_active(&self) -> bool {
        self.own_member.entry && self.serving && !self.draining()
    }

    /// Returns the home and the standby of every target in the configuration,
    /// sorted by target.
    pub fn target_homes(&self) -> Vec<(TargetId, TargetHome)> {
        let Some((_, configuration)) = &self.configuration else {
            return Vec::new();
        };
        let home_of = |bundle| {
            self.placement.get(bundle).map_or_else(
                TargetHome::default,
                |placed| TargetHome {
                    home: placed.home,
                    standby: placed.standby,
                },
            )
        };
        let mut homes: Vec<(TargetId, TargetHome)> =
            placement::bundled_searchers(configuration)
                .map(|b| (b.searcher.id(), home_of(b.bundle)))
                .collect();
        homes.sort_by_key(|h| h.0);
        homes
    }

    pub(super) fn handle_platform_list(&mut self, list: &PlatformList) {
        let live: Vec<SocketAddr> =
            list.instances.iter().filter(|i| !i.1).map(|i| i.0).collect();
        self.push(Internal::Membership(MembershipEvent::SeedAddresses(live)));
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

    /// Returns the other entry instances that are neither leaving nor dead.
    pub(super) fn other_entries(&self) -> impl Iterator<Item = InstanceId> {
        let own_id = self.own_member.id;
        self.candidates
            .iter()
            .map(|c| c.instance)
            .filter(move |&id| id != own_id)
    }

    pub(super) fn instance_name(&self, id: InstanceId) -> String {
        self.member(id).map_or_else(|| id.to_string(), |m| m.name.clone())
    }
}
