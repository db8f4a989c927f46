//! The placers of groups of engines, and the engines that a request may get.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::membership::MemberState;
use gooseberry_kernel::fleet::placement;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Engine;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::ServiceKind;
use gooseberry_kernel::target::placement as target_placement;
use gooseberry_kernel::target::registry::RegisteredTarget;

use crate::state::Need;
use crate::state::State;

/// The group of a request, and the daemon that chooses its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The group.
    pub group: u32,
    /// The address of the placer; `None` stands for this daemon.
    pub placer: Option<SocketAddr>,
}

/// The engines of a group, as their placer sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The capacity of each engine.
    pub capacity: Engine,
    /// The engines that may get requests.
    pub engines: Vec<target_placement::Engine>,
}

impl State {
    /// Returns the group of a request and its placer; `None` if engines of the service are
    /// not chosen by cost.
    #[must_use]
    pub fn placer(&self, need: Need<'_>, now: Millis) -> Option<Assignment> {
        let groups = self.group_count(need.service)?;
        let group = placement::group_of_request(need.affinity, need.draw, groups);
        let role = placement::role(&need.service.name, group);
        let live = self.members.live(now);
        let first = assignment::dispatcher(&role, &live, |member| {
            self.reaches(member, &need.service.name)
        });
        let first = first?;
        let placer = (first.name != self.members.me().name).then_some(first.address);
        Some(Assignment { group, placer })
    }

    /// Returns the addresses of the other daemons in the order in which they choose the
    /// engines of a group, also of those that shut down.
    #[must_use]
    pub fn placer_order(
        &self,
        service: &name::Service,
        group: u32,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let role = placement::role(service, group);
        let live = self.members.live(now);
        let staying: Vec<MemberState> = live
            .into_iter()
            .map(|member| MemberState {
                is_leaving: false,
                ..member.clone()
            })
            .collect();
        let staying: Vec<&MemberState> = staying.iter().collect();
        let order = assignment::dispatcher_order(&role, &staying, |_| true).into_iter();
        let others = order.filter(|member| member.name != self.members.me().name);
        others.map(|member| member.address).collect()
    }

    /// Returns the engines of a group that may get requests; `None` if this daemon does not
    /// choose engines of the service, or does not know the group.
    #[must_use]
    pub fn group(&self, service: &name::Service, group: u32, now: Millis) -> Option<Group> {
        let service = self.routing_table.as_ref()?.service(service)?;
        let ServiceKind::Engine(capacity) = service.kind else {
            return None;
        };
        let groups = self.group_count(service)?;
        if self.is_leaving() || self.is_link_down(&service.name) || group >= groups {
            return None;
        }
        let usable = self.targets.usable(&service.name, &self.taken_out, now);
        let usable = usable.map(|listed| &listed.target).filter(|target| {
            placement::group_of_target(&target.name, groups) == group
                && !self.health.is_avoided(&target.name, now)
        });
        let engines = usable.map(|target| target_placement::Engine {
            target: target.name.clone(),
            started: target.started,
            domain: target.domain.clone(),
        });
        Some(Group {
            capacity,
            engines: engines.collect(),
        })
    }

    /// Returns at most `count` targets of a group that a request cannot use: those that were tried,
    /// then those that this daemon avoids, then those that take no work now or at
    /// which it has no room.
    pub fn excluded(
        &mut self,
        need: Need<'_>,
        group: u32,
        count: usize,
        now: Millis,
    ) -> Vec<name::Target> {
        let groups = self.group_count(need.service).unwrap_or_default();
        let fleet_size = self.members.fleet_size(now);
        let shares = self.shares(fleet_size, now);
        let service = need.service;
        let has_capacity = |listed: &&RegisteredTarget| {
            let share = shares.of_rate(&listed.target);
            let next_send = self.rate_limits.next_send(&listed.target, share, now);
            self.has_room(listed, service, &shares) && next_send.is_due(now)
        };
        let usable = self.targets.usable(&service.name, &self.taken_out, now);
        let available = usable.filter(has_capacity);
        // Sorted, as all targets are.
        let available: Vec<&name::Target> = available.map(|listed| &listed.target.name).collect();
        let all = self.targets.all().iter();
        let listed = all.filter(|listed| {
            listed.target.service == service.name
                && placement::group_of_target(&listed.target.name, groups) == group
        });
        let listed = listed.map(|listed| &listed.target.name);
        let (avoided, others): (Vec<&name::Target>, Vec<&name::Target>) =
            listed.partition(|target| self.health.is_avoided(target, now));
        let others = others.into_iter();
        let full = others.filter(|target| available.binary_search(target).is_err());
        let unusable = avoided.into_iter().chain(full);
        let unusable = unusable.filter(|target| !need.tried.contains(target));
        let excluded = need.tried.iter().chain(unusable);
        excluded.take(count).cloned().collect()
    }

    /// Returns the names of all targets, sorted.
    #[must_use]
    pub fn listed(&self) -> Vec<name::Target> {
        let all = self.targets.all().iter();
        all.map(|listed| listed.target.name.clone()).collect()
    }

    /// Returns the number of groups of a service; `None` if its engines are not chosen by
    /// cost.
    fn group_count(&self, service: &Service) -> Option<u32> {
        let all = self.targets.all().iter();
        let listed = all.filter(|listed| listed.target.service == service.name);
        let engines = listed.count();
        placement::applies(service, engines).then(|| placement::group_count(engines))
    }
}
