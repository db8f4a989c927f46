//! Who makes the pieces of stages, and how long they wait.

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

use crate::state::State;

impl State {
    /// Returns the targets of a stage service that may get calls.
    #[must_use]
    pub fn makers(&self, service: &name::Service, now: Millis) -> Vec<StageTarget> {
        let usable = self.roster.usable(service, &self.taken_out, now);
        let makers = usable.map(|listed| StageTarget {
            name: listed.target.name.clone(),
            domain: listed.target.domain.clone(),
            is_avoided: self.health.is_avoided(&listed.target.name, now),
        });
        makers.collect()
    }

    /// Returns what a stage service bears.
    #[must_use]
    pub fn pieces(&self, service: &name::Service) -> Option<BatchSpec> {
        match self.table.as_ref()?.service(service)?.kind {
            ServiceKind::Stage(pieces) => Some(pieces),
            ServiceKind::Plain | ServiceKind::Engine(_) => None,
        }
    }

    /// Returns whom to ask for the pieces of a service, in order; `None` stands
    /// for this daemon.
    #[must_use]
    pub fn dispatchers(&self, service: &name::Service, now: Millis) -> Vec<Option<SocketAddr>> {
        let me = self.members.me();
        let live = self.members.live(now);
        let order = assignment::dispatcher_order(service, &live);
        let addresses = order.into_iter();
        let address = |row: &membership::MemberState| (row.name != me.name).then_some(row.address);
        addresses.map(address).collect()
    }

    /// Tells whether this daemon is the first to be asked for a service.
    #[must_use]
    pub fn dispatches(&self, service: &name::Service, now: Millis) -> bool {
        let live = self.members.live(now);
        let first = assignment::dispatcher(service, &live);
        first.is_some_and(|row| row.name == self.members.me().name)
    }

    /// Notes how long pieces wait at a dispatcher.
    pub fn note_wait(&mut self, wait: ServiceWait, now: Millis) {
        let found = self
            .waits
            .binary_search_by(|(known, _)| known.service.cmp(&wait.service));
        match found {
            Ok(index) => self.waits[index] = (wait, now),
            Err(index) => self.waits.insert(index, (wait, now)),
        }
    }

    /// Returns how long pieces of a rank wait at a service, as was last told.
    #[must_use]
    pub fn wait(&self, service: &name::Service, rank: Rank, now: Millis) -> Millis {
        let told = self.told_wait(service, now);
        told.map_or(Millis::ZERO, |wait| wait.for_rank(rank))
    }

    /// Returns how long pieces that are late wait at a service, as was last
    /// told.
    #[must_use]
    pub fn late_wait(&self, service: &name::Service, now: Millis) -> Millis {
        let told = self.told_wait(service, now);
        told.map_or(Millis::ZERO, |wait| wait.late_wait)
    }

    fn told_wait(&self, service: &name::Service, now: Millis) -> Option<&ServiceWait> {
        let found = self
            .waits
            .binary_search_by(|(known, _)| known.service.cmp(service));
        let (wait, at) = found.ok().map(|index| &self.waits[index])?;
        (*at + WAIT_AGE_MAX > now).then_some(wait)
    }
}
