//! Chooses engines for the requests of all daemons.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Engine;
use gooseberry_kernel::target::placement::Finish;
use gooseberry_kernel::target::placement::Ledger;
use gooseberry_kernel::target::placement::Placed;
use gooseberry_kernel::target::placement::Request;
use gooseberry_wire::fleet::placement::NotPlaced;

use crate::context::Context;

/// How long the ledger of a group is kept that gets no requests. What engines have cached
/// has changed by then.
const IDLE_MAX: Millis = Millis(30_000);

/// The ledger of a group.
#[derive(Debug)]
struct Group {
    service: name::Service,
    number: u32,
    capacity: Engine,
    ledger: Ledger,
    used_at: Millis,
}

/// The groups of engines that this daemon chooses from.
#[derive(Debug, Default)]
pub struct Placer {
    groups: Mutex<Vec<Group>>,
}

impl Placer {
    /// Chooses the engine of a request.
    ///
    /// # Errors
    /// Returns why it chooses none.
    pub fn place(
        &self,
        context: &Context,
        service: &name::Service,
        group: u32,
        request: &Request,
    ) -> Result<Placed, NotPlaced> {
        let now = context.now();
        let found = context.state().group(service, group, now);
        let found = found.ok_or(NotPlaced::Elsewhere)?;
        let capacity = found.capacity;
        let mut groups = self.lock();
        let position = groups
            .iter()
            .position(|known| known.number == group && known.service == *service);
        // The ledger of other capacities is of no use.
        let position = position.filter(|index| groups[*index].capacity == capacity);
        let index = position.unwrap_or_else(|| {
            groups.retain(|known| known.number != group || known.service != *service);
            log::info!(service:% = service, group, engines = found.engines.len(); "this daemon chooses the engines of a group from now on");
            groups.push(Group {
                service: service.clone(),
                number: group,
                capacity,
                ledger: Ledger::new(capacity.slots, capacity.memory_tokens, capacity.stride),
                used_at: now,
            });
            groups.len() - 1
        });
        let known = &mut groups[index];
        known.used_at = now;
        let placed = known.ledger.place(request, &found.engines, now);
        placed.ok_or(NotPlaced::NoEngine)
    }

    /// Records the end of a request.
    pub fn finish(&self, service: &name::Service, group: u32, finish: &Finish, now: Millis) {
        let mut groups = self.lock();
        let mut known = groups.iter_mut();
        let known = known.find(|known| known.number == group && known.service == *service);
        // Without a ledger, the request was placed by an earlier run of this daemon.
        if let Some(known) = known {
            known.ledger.finish(finish, now);
        }
    }

    /// Removes what has expired.
    pub fn tick(&self, context: &Context) {
        if self.lock().is_empty() {
            return;
        }
        let now = context.now();
        let listed = context.state().listed();
        let mut groups = self.lock();
        groups.retain(|known| {
            let is_used = known.used_at + IDLE_MAX > now;
            if !is_used {
                log::info!(service:% = known.service, group = known.number; "this daemon has not been asked for engines of a group for a while");
            }
            is_used
        });
        let is_listed = |target: &name::Target| listed.binary_search(target).is_ok();
        for known in groups.iter_mut() {
            known.ledger.expire(is_listed, now);
        }
        let errors = groups.iter();
        let errors = errors.filter_map(|known| known.ledger.error_permille());
        context.metrics.placements.error(errors.max());
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Group>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
