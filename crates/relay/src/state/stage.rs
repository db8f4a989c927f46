//! The dispatchers and targets of stage services, and how long pieces wait in
//! the queues of other daemons.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::assignment;
use gooseberry_kernel::fleet::membership;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission::ServiceWait;
use gooseberry_kernel::request::deadline_admission::WAIT_AGE_MAX;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::request::routing_table::ServiceKind;
use gooseberry_kernel::stage::batch_queue::StageTarget;
use gooseberry_kernel::target::registry::RegisteredTarget;

use crate::state::State;

impl State {
    /// Returns the targets of a stage service that may be sent calls.
    #[must_use]
    pub fn stage_targets(&self, service: &name::Service, now: Millis) -> Vec<StageTarget> {
        let usable = self.targets.usable(service, &self.taken_out, now);
        // The calls of a stage service are not divided by the size of the fleet.
        let shares = self.shares(1, now);
        let is_due = |listed: &&RegisteredTarget| {
            let share = shares.of_rate(&listed.target);
            let next_send = self.rate_limits.next_send(&listed.target, share, now);
            next_send.is_due(now)
        };
        let has_room = |listed: &&RegisteredTarget| {
            let paused_until = self.brittleness.paused_until(&listed.target.name, now);
            paused_until.is_none()
        };
        let usable = usable.filter(has_room);
        let targets = usable.filter(is_due).map(|listed| StageTarget {
            name: listed.target.name.clone(),
            domain: listed.target.domain.clone(),
            is_avoided: self.health.is_avoided(&listed.target.name, now),
        });
        targets.collect()
    }

    /// Returns how many targets of a service take work, now or after a pause that they
    /// asked for.
    #[must_use]
    pub fn staying_count(&self, service: &name::Service, now: Millis) -> usize {
        self.targets.staying(service, &self.taken_out, now).count()
    }

    /// Returns the settings of a stage service, such as the size of a call and
    /// the memory for results; `None` if the service has no stages or is unknown, also to
    /// requests that were admitted before.
    #[must_use]
    pub fn batch_spec(&self, service: &name::Service) -> Option<BatchSpec> {
        match self.service(service)?.kind {
            ServiceKind::Stage(spec) => Some(spec),
            ServiceKind::Plain | ServiceKind::Engine(_) => None,
        }
    }

    /// Returns the addresses of the daemons that may dispatch for a service, in
    /// the order in which they are tried; `None` stands for this daemon.
    #[must_use]
    pub fn dispatchers(&self, service: &name::Service, now: Millis) -> Vec<Option<SocketAddr>> {
        let me = self.members.me();
        let live = self.members.live(now);
        let order =
            assignment::dispatcher_order(service, &live, |member| self.reaches(member, service));
        let addresses = order.into_iter();
        let address =
            |member: &membership::MemberState| (member.name != me.name).then_some(member.address);
        addresses.map(address).collect()
    }

    /// Returns whether this daemon is the first choice as dispatcher of a service.
    #[must_use]
    pub fn is_first_dispatcher(&self, service: &name::Service, now: Millis) -> bool {
        let live = self.members.live(now);
        let first = assignment::dispatcher(service, &live, |member| self.reaches(member, service));
        first.is_some_and(|member| member.name == self.members.me().name)
    }

    /// Records how long pieces wait at the dispatcher of a service.
    pub fn record_wait(&mut self, wait: ServiceWait, now: Millis) {
        let found = self
            .stage_waits
            .binary_search_by(|(known, _)| known.service.cmp(&wait.service));
        match found {
            Ok(index) => self.stage_waits[index] = (wait, now),
            Err(index) => self.stage_waits.insert(index, (wait, now)),
        }
    }

    /// Returns how long pieces of a rank wait at a service, by the dispatcher's
    /// last report; zero if there is no recent one.
    #[must_use]
    pub fn wait(&self, service: &name::Service, rank: Rank, now: Millis) -> Millis {
        let wait = self.recent_wait(service, now);
        wait.map_or(Millis::ZERO, |wait| wait.for_rank(rank))
    }

    /// Returns how long pieces of requests that are late already wait at a
    /// service, by the dispatcher's last report; zero if there is no recent one.
    #[must_use]
    pub fn late_wait(&self, service: &name::Service, now: Millis) -> Millis {
        let wait = self.recent_wait(service, now);
        wait.map_or(Millis::ZERO, |wait| wait.late_wait)
    }

    /// Returns whether groups wait at a service, or would wait for a free target,
    /// by the dispatcher's last report.
    #[must_use]
    pub fn has_backlog(&self, service: &name::Service, now: Millis) -> bool {
        let wait = self.recent_wait(service, now);
        wait.is_some_and(|wait| wait.wait_by_rank.iter().any(|wait| *wait > Millis::ZERO))
    }

    fn recent_wait(&self, service: &name::Service, now: Millis) -> Option<&ServiceWait> {
        let found = self
            .stage_waits
            .binary_search_by(|(known, _)| known.service.cmp(service));
        let (wait, at) = found.ok().map(|index| &self.stage_waits[index])?;
        (*at + WAIT_AGE_MAX > now).then_some(wait)
    }
}
