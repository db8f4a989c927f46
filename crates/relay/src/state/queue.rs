//! The requests that wait for a place at a target, by service.
//!
//! `kernel::request::wait_queue` decides which goes first. A place is handed out under
//! the lock of the state, as soon as it falls free, so that no request that arrives later
//! takes it and none is lost on the way: a request that has gone when its place comes
//! gives it back, and the next one gets it.

use std::sync::Arc;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::wait_queue::Claim;
use gooseberry_kernel::request::wait_queue::Ticket;
use gooseberry_kernel::request::wait_queue::WaitQueue;
use tokio::sync::Notify;

use crate::state::Need;
use crate::state::Pick;
use crate::state::State;

/// How often the requests that cannot begin in time are let go: the estimate changes slowly,
/// and costs more than to hand out a place.
const REVIEW_INTERVAL: Millis = Millis(100);

/// The requests of one service that wait, and the places that its others use.
#[derive(Debug)]
pub(super) struct ServiceQueue {
    service: name::Service,
    pub(super) order: WaitQueue,
    /// The requests that wait or have not taken their decision yet, sorted by ticket.
    waiters: Vec<Waiter>,
    /// Whether a task sweeps the queue.
    pub(super) is_swept: bool,
    /// When those that cannot begin in time are let go next.
    next_review: Millis,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    wanted: Arc<Wanted>,
    decision: Option<Decision>,
    /// Notified when there is a decision.
    wake: Arc<Notify>,
}

/// What a waiting request needs; see [`Need`].
#[derive(Debug)]
struct Wanted {
    service: Service,
    version: Option<name::Version>,
    affinity: Option<u64>,
    preferred: Option<name::Target>,
    tried: Vec<name::Target>,
    only: Option<Vec<name::Target>>,
    draw: u64,
    due: Millis,
    rank: Rank,
    workspace: Option<name::Workspace>,
    on_time_by: Millis,
    work: u64,
}

/// What becomes of a request that has waited.
#[derive(Clone, Debug)]
pub enum Decision {
    /// What was picked, which is not [`Pick::Wait`].
    Picked(Pick),
    /// It cannot begin before it is due; its client may retry after this time.
    CannotBegin(Millis),
}

/// What becomes of a request that asks for a place.
#[derive(Debug)]
pub enum Admission {
    /// It need not wait.
    Decided(Pick),
    /// It waits.
    Waits(Seat),
}

/// The place of a request in a queue.
#[derive(Debug)]
pub struct Seat {
    /// Identifies the request in the queue of its service.
    pub ticket: Ticket,
    /// Notified when there is a decision about it.
    pub wake: Arc<Notify>,
    /// How many requests are expected to get a place before it.
    pub position: usize,
    /// How many requests wait, with this one.
    pub length: usize,
    /// Whether the caller must have the queue swept from now on, see
    /// [`State::sweep`].
    pub must_sweep: bool,
}

/// Until when requests that need the same targets as this one get no place.
struct Settled {
    wanted: Arc<Wanted>,
    until: Option<Millis>,
}

impl Wanted {
    fn of(need: Need<'_>) -> Self {
        Self {
            service: need.service.clone(),
            version: need.version.cloned(),
            affinity: need.affinity,
            preferred: need.preferred.cloned(),
            tried: need.tried.to_vec(),
            only: need.only.map(<[_]>::to_vec),
            draw: need.draw,
            due: need.due,
            rank: need.rank,
            workspace: need.workspace.cloned(),
            on_time_by: need.on_time_by,
            work: need.work,
        }
    }

    fn need<'a>(&'a self, service: Option<&'a Service>) -> Need<'a> {
        Need {
            service: service.unwrap_or(&self.service),
            version: self.version.as_ref(),
            affinity: self.affinity,
            preferred: self.preferred.as_ref(),
            tried: &self.tried,
            only: self.only.as_deref(),
            draw: self.draw,
            due: self.due,
            rank: self.rank,
            workspace: self.workspace.as_ref(),
            on_time_by: self.on_time_by,
            work: self.work,
        }
    }

    fn needs_same_targets(&self, other: &Self) -> bool {
        self.version == other.version && self.tried == other.tried && self.only == other.only
    }
}

impl Settled {
    /// Returns whether a request gets no place now, for the same reason.
    fn holds_for(&self, wanted: &Wanted) -> bool {
        wanted.needs_same_targets(&self.wanted) && self.until.is_none_or(|until| wanted.due > until)
    }
}

impl ServiceQueue {
    pub(super) fn is_unused(&self) -> bool {
        self.waiters.is_empty() && self.order.is_unused()
    }

    fn find(&self, ticket: Ticket) -> Result<usize, usize> {
        self.waiters
            .binary_search_by_key(&ticket, |waiter| waiter.ticket)
    }

    fn wanted(&self, ticket: Ticket) -> Option<&Arc<Wanted>> {
        let index = self.find(ticket).ok()?;
        Some(&self.waiters[index].wanted)
    }

    fn decide(&mut self, ticket: Ticket, decision: Decision) {
        if let Decision::Picked(Pick::Target(_)) = decision {
            self.order.hand_out(ticket);
        } else {
            self.order.leave(ticket);
        }
        if let Ok(index) = self.find(ticket) {
            let waiter = &mut self.waiters[index];
            waiter.decision = Some(decision);
            waiter.wake.notify_one();
        }
    }
}

impl State {
    /// Picks the target of a request and counts the request as in flight there, unless it
    /// has to wait or others that wait go before it.
    pub fn pick_or_wait(&mut self, need: Need<'_>, now: Millis) -> Admission {
        let service = &need.service.name;
        if self.queue_mut(service).order.is_empty() {
            match self.pick(need, now) {
                Pick::Wait => {}
                Pick::Paused(until) if until < need.due => {}
                pick => return Admission::Decided(pick),
            }
        }
        let claim = Claim {
            rank: need.rank,
            workspace: need.workspace.cloned(),
            on_time_by: need.on_time_by,
            due: need.due,
            work: need.work,
        };
        let wake = Arc::new(Notify::new());
        let queue = self.queue_mut(service);
        let ticket = queue.order.enter(claim, now);
        queue.waiters.push(Waiter {
            ticket,
            wanted: Arc::new(Wanted::of(need)),
            decision: None,
            wake: wake.clone(),
        });
        self.hand_out(service, None, now);
        if let Some(Decision::Picked(pick)) = self.take_decision(service, ticket) {
            return Admission::Decided(pick);
        }
        let queue = self.queue_mut(service);
        Admission::Waits(Seat {
            ticket,
            wake,
            position: queue.order.position(ticket, now),
            length: queue.order.len(),
            must_sweep: !std::mem::replace(&mut queue.is_swept, true),
        })
    }

    /// Returns the decision about a request that waits, which then leaves the queue; `None` if
    /// there is none yet.
    pub fn take_decision(&mut self, service: &name::Service, ticket: Ticket) -> Option<Decision> {
        let queue = self.queue_mut(service);
        let index = queue.find(ticket).ok()?;
        let decision = queue.waiters[index].decision.take()?;
        queue.waiters.remove(index);
        Some(decision)
    }

    /// Removes a request that waits no longer, and gives back a place that it has not taken.
    pub fn leave_queue(&mut self, service: &name::Service, ticket: Ticket, now: Millis) {
        let queue = self.queue_mut(service);
        let Ok(index) = queue.find(ticket) else {
            return;
        };
        let waiter = queue.waiters.remove(index);
        queue.order.leave(ticket);
        if let Some(Decision::Picked(Pick::Target(picked))) = waiter.decision {
            self.record_request_end(&picked, now);
        }
    }

    /// Hands out the places that fell free without an event, as when a pause has ended, and
    /// lets go of the requests that cannot begin in time. Returns false once the queue is
    /// empty; it need not be swept then.
    pub fn sweep(&mut self, service: &name::Service, now: Millis) -> bool {
        self.hand_out(service, None, now);
        let index = self.queue_index(service);
        if self.queues[index].next_review <= now {
            self.review(index, now);
        }
        let queue = &mut self.queues[index];
        queue.is_swept = !queue.order.is_empty();
        queue.is_swept
    }

    /// Lets go of the requests of a queue that cannot begin in time.
    fn review(&mut self, index: usize, now: Millis) {
        let queue = &self.queues[index];
        let mut known: Vec<(Arc<Wanted>, bool)> = Vec::new();
        for waiter in &queue.waiters {
            let is_known = known
                .iter()
                .any(|(wanted, _)| wanted.needs_same_targets(&waiter.wanted));
            if !is_known {
                let waits_for_full = self.waits_for_full(waiter.wanted.need(None), now);
                known.push((waiter.wanted.clone(), waits_for_full));
            }
        }
        let is_counted = |ticket| {
            let wanted = queue.wanted(ticket);
            let same = known
                .iter()
                .find(|(known, _)| wanted.is_some_and(|wanted| wanted.needs_same_targets(known)));
            same.is_some_and(|(_, waits_for_full)| *waits_for_full)
        };
        let hopeless = queue.order.hopeless(is_counted, now);
        let queue = &mut self.queues[index];
        queue.next_review = now + REVIEW_INTERVAL;
        for (ticket, retry_after) in hopeless {
            queue.decide(ticket, Decision::CannotBegin(retry_after));
        }
    }

    /// Hands out the places of all services, after what is known of targets has changed.
    pub(super) fn hand_out_all(&mut self, now: Millis) {
        let waiting = self.queues.iter().filter(|queue| !queue.order.is_empty());
        let services: Vec<name::Service> = waiting.map(|queue| queue.service.clone()).collect();
        for service in services {
            self.hand_out(&service, None, now);
        }
    }

    /// Decides about the requests that get a place now, and about those that need not wait
    /// any longer. If `freed` names the target at which a place fell free, only the first
    /// request that it fits gets one.
    pub(super) fn hand_out(
        &mut self,
        service: &name::Service,
        freed: Option<&name::Target>,
        now: Millis,
    ) {
        let index = self.queue_index(service);
        if self.queues[index].order.is_empty() {
            return;
        }
        let freed_target = freed.and_then(|freed| self.targets.get(freed));
        let freed_target = freed_target.map(|listed| listed.target.clone());
        if freed.is_some() && freed_target.is_none() {
            return;
        }
        let table = self.routing_table.as_ref();
        let spec = table.and_then(|table| table.service(service)).cloned();
        // Most requests need the same targets, so few choices are made.
        let mut settled: Vec<Settled> = Vec::new();
        loop {
            let queue = &self.queues[index];
            let may_get_place = |ticket| {
                let Some(wanted) = queue.wanted(ticket) else {
                    return false;
                };
                let fits = |target| wanted.need(None).fits(target);
                freed_target.as_ref().is_none_or(fits)
                    && !settled.iter().any(|settled| settled.holds_for(wanted))
            };
            let next = queue.order.next(may_get_place, now);
            let next = next.and_then(|ticket| Some((ticket, queue.wanted(ticket)?.clone())));
            let Some((ticket, wanted)) = next else {
                return;
            };
            let until = match self.pick(wanted.need(spec.as_deref()), now) {
                Pick::Wait => None,
                Pick::Paused(until) if until < wanted.due => Some(until),
                decision => {
                    let is_served = matches!(decision, Pick::Target(_));
                    self.queues[index].decide(ticket, Decision::Picked(decision));
                    if is_served && freed.is_some() {
                        return;
                    }
                    continue;
                }
            };
            settled.push(Settled { wanted, until });
        }
    }

    /// Returns the queue of a service, which is inserted if it is missing.
    pub(super) fn queue_mut(&mut self, service: &name::Service) -> &mut ServiceQueue {
        let index = self.queue_index(service);
        &mut self.queues[index]
    }

    fn queue_index(&mut self, service: &name::Service) -> usize {
        let found = self
            .queues
            .binary_search_by(|queue| queue.service.cmp(service));
        found.unwrap_or_else(|index| {
            let queue = ServiceQueue {
                service: service.clone(),
                order: WaitQueue::default(),
                waiters: Vec::new(),
                is_swept: false,
                next_review: Millis::ZERO,
            };
            self.queues.insert(index, queue);
            index
        })
    }
}
