//! Chooses engines for the requests of all daemons.

use std::net::SocketAddr;
use std::sync::Arc;
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
use gooseberry_kernel::target::placement::summary::Summary;
use gooseberry_wire::fleet::placement::NotPlaced;

use crate::context::Context;

/// How long the ledger of a group is kept that gets no requests. What engines have cached
/// has changed by then.
const IDLE_MAX: Millis = Millis(30_000);

/// After how long without a request another daemon may have chosen the engines of a group.
const TAKEOVER_AFTER: Millis = Millis(1_000);
/// How many daemons are asked what they know of a group: the one before in the order, which
/// may be shutting down, and the one after.
const FORMER_PLACERS_MAX: usize = 2;

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
        context: &Arc<Context>,
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
        if position.is_none() || known.used_at + TAKEOVER_AFTER <= now {
            tokio::spawn(take_over(context.clone(), service.clone(), group));
        }
        known.used_at = now;
        let placed = known.ledger.place(request, &found.engines, now);
        placed.ok_or(NotPlaced::NoEngine)
    }

    /// Returns what is known of the engines of a group.
    pub fn summaries(&self, service: &name::Service, group: u32, now: Millis) -> Vec<Summary> {
        let groups = self.lock();
        let mut known = groups.iter();
        let known = known.find(|known| known.number == group && known.service == *service);
        known.map_or_else(Vec::new, |known| known.ledger.summaries(now))
    }

    /// Takes over what another placer knows of the engines of a group.
    fn adopt(&self, service: &name::Service, group: u32, summaries: Vec<Summary>, now: Millis) {
        let mut groups = self.lock();
        let mut known = groups.iter_mut();
        let known = known.find(|known| known.number == group && known.service == *service);
        if let Some(known) = known {
            known.ledger.adopt(summaries, now);
        }
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

/// Asks the daemons that may have chosen the engines of a group before what they know.
async fn take_over(context: Arc<Context>, service: name::Service, group: u32) {
    let now = context.now();
    let former: Vec<SocketAddr> = {
        let state = context.state();
        let order = state.placer_order(&service, group, now);
        order.into_iter().take(FORMER_PLACERS_MAX).collect()
    };
    for address in former {
        let Ok(summaries) = context.peers.ledger(address, &service, group).await else {
            continue;
        };
        if summaries.is_empty() {
            continue;
        }
        let parts: usize = summaries.iter().map(|known| known.parts.len()).sum();
        log::info!(service:% = service, group, from:% = address, engines = summaries.len(), parts; "took over what the former placer of a group knows");
        context
            .placer
            .adopt(&service, group, summaries, context.now());
        return;
    }
}
