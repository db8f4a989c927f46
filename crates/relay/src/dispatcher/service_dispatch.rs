//! The dispatch state of one stage service: its queue, the groups that wait for
//! their pieces, and whether its targets may also have calls and results of
//! another daemon.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership::Process;
use gooseberry_kernel::name;
use gooseberry_kernel::stage::batch_queue::BatchCall;
use gooseberry_kernel::stage::batch_queue::BatchQueue;
use gooseberry_kernel::stage::batch_queue::Ticket;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::group_results::GroupResults;
use gooseberry_wire::fleet::Unmade;
use tokio::sync::oneshot;

use crate::dispatcher::GroupOutput;
use crate::dispatcher::GroupResult;
use crate::dispatcher::ResultOwner;

/// How many failed calls a group may have before it fails.
const GROUP_TRIES_MAX: u32 = 3;

/// How often targets that hold results of another dispatcher are queried for
/// their memory use: about as often as a call ends, and a query costs next to
/// nothing.
const USAGE_QUERY_INTERVAL: Millis = Millis(250);

/// After how long without a new group the memory use of targets counts as
/// unknown: an active dispatcher gets several groups a second, so another
/// daemon may have dispatched in a longer gap.
const USAGE_KNOWN_FOR: Millis = Millis(1_000);

/// A group that waits for its pieces.
#[derive(Debug)]
pub(super) struct PendingGroup {
    /// Its number in the queue.
    pub(super) ticket: Ticket,
    /// The results of its pieces.
    pub(super) results: GroupResults,
    /// How many of its calls have failed.
    pub(super) tries: u32,
    /// The owners of inputs that only this group reads; taken once the inputs
    /// are released.
    pub(super) input_owners: Vec<ResultOwner>,
    /// The daemon that handles the request.
    pub(super) origin: Process,
    /// Whether the inputs have been released while the call was running.
    pub(super) are_inputs_freed: bool,
    /// Completes the waiting future.
    pub(super) reply: oneshot::Sender<GroupResult>,
}

/// The dispatch state of one service.
#[derive(Debug)]
pub(super) struct ServiceDispatch {
    pub(super) service: name::Service,
    pub(super) queue: BatchQueue,
    pub(super) pending: Vec<PendingGroup>,
    /// Whether this daemon was the first choice as dispatcher at the last check.
    is_first: bool,
    /// The targets that have completed a call of this daemon since it became the
    /// dispatcher, sorted. They work on calls in order, so calls that another
    /// daemon sent them before have ended, too.
    drained: Vec<name::Target>,
    /// Whether the targets have been queried for their memory use since another
    /// daemon may have dispatched.
    is_usage_known: bool,
    /// When the last group arrived.
    last_group_at: Millis,
    /// When targets with results of other dispatchers were last queried.
    last_query_at: Millis,
}

impl ServiceDispatch {
    /// Records that a group arrived. After a longer gap another daemon may have
    /// dispatched, so the targets are queried before the next call.
    pub(super) fn record_group(&mut self, now: Millis) {
        self.is_usage_known &= self.last_group_at + USAGE_KNOWN_FOR > now;
        self.last_group_at = now;
    }

    /// Returns whether the targets must be queried for their memory use before
    /// the next call, and regards it as known from then on.
    pub(super) fn take_query_due(&mut self) -> bool {
        if self.pending.is_empty() {
            return false;
        }
        let is_query_due = !std::mem::replace(&mut self.is_usage_known, true);
        if is_query_due {
            self.drained.clear();
        }
        is_query_due
    }

    /// Records whether this daemon is the first choice as dispatcher; returns
    /// whether it was and no longer is.
    pub(super) fn update_is_first(&mut self, is_first: bool) -> bool {
        let was_first = std::mem::replace(&mut self.is_first, is_first);
        if was_first != is_first {
            self.drained.clear();
        }
        was_first && !is_first
    }

    /// Records that a call to a target has ended.
    pub(super) fn record_call_end(&mut self, target: &name::Target) {
        self.queue.finish_call(target);
        if let Err(index) = self.drained.binary_search(target) {
            self.drained.insert(index, target.clone());
        }
    }

    /// Returns whether no other daemon has calls at a target, so that it starts
    /// on a call as soon as the call arrives.
    pub(super) fn is_sole_dispatcher_at(&self, target: &name::Target) -> bool {
        self.is_first && self.drained.binary_search(target).is_ok()
    }

    /// Returns the daemons whose requests have groups or results here, each once.
    pub(super) fn origins(&mut self) -> Vec<Process> {
        let mut origins = self.queue.results().readers();
        origins.extend(self.pending.iter().map(|pending| pending.origin));
        origins.sort_unstable();
        origins.dedup();
        origins
    }

    /// Cancels the groups of these daemons and frees their results; returns how
    /// many groups and results there were.
    pub(super) fn cancel_origins(&mut self, origins: &[Process]) -> (usize, usize) {
        let gone = self
            .pending
            .iter()
            .filter(|pending| origins.contains(&pending.origin));
        let tickets: Vec<Ticket> = gone.map(|pending| pending.ticket).collect();
        for ticket in &tickets {
            self.complete(*ticket, Err(Unmade::Failed));
        }
        (tickets.len(), self.queue.results().free_read_by(origins))
    }

    /// Completes the groups of which no piece has been sent to a target with
    /// [`Unmade::Elsewhere`], so that their origins send them to the new
    /// first choice; returns how many there were.
    pub(super) fn hand_over(&mut self) -> usize {
        let queue = &self.queue;
        let is_untouched = |pending: &&PendingGroup| {
            let all = pending.results.piece_count();
            pending.results.is_empty() && queue.waiting_pieces_of(pending.ticket) == all
        };
        let untouched = self.pending.iter().filter(is_untouched);
        let tickets: Vec<Ticket> = untouched.map(|pending| pending.ticket).collect();
        for ticket in &tickets {
            self.complete(*ticket, Err(Unmade::Elsewhere));
        }
        tickets.len()
    }

    /// Returns the targets to query now for their memory use: those that held
    /// results of another dispatcher, and may have freed them since. There are none
    /// while no group waits, since the other dispatcher goes on computing results.
    pub(super) fn targets_to_query(&mut self, now: Millis) -> Vec<name::Target> {
        if self.pending.is_empty() || self.last_query_at + USAGE_QUERY_INTERVAL > now {
            return Vec::new();
        }
        self.last_query_at = now;
        self.queue.results().targets_with_untracked(now)
    }

    /// Removes a group from the pending ones without completing it.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<PendingGroup> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.ticket == ticket)?;
        Some(self.pending.remove(index))
    }

    /// Completes a group; if it failed, the results that it has are freed.
    pub(super) fn complete(&mut self, ticket: Ticket, reply: GroupResult) {
        let Some(pending) = self.remove(ticket) else {
            return;
        };
        self.queue.cancel(ticket);
        if reply.is_err() {
            let completed: Vec<name::Handle> = pending.results.handles().cloned().collect();
            self.queue.results().free(&completed);
        }
        // If the receiver was dropped just now, its `CancelGuard` found no group
        // and freed nothing; the results then stay until they expire.
        pending.reply.send(reply).ok();
    }

    /// Records a completed piece, and completes its group with the last one. A result that
    /// the group has no use for is freed.
    pub(super) fn record_piece(
        &mut self,
        ticket: Ticket,
        piece: u32,
        handle: name::Handle,
        domain: &name::Domain,
    ) {
        let Some(pending) = self
            .pending
            .iter_mut()
            .find(|pending| pending.ticket == ticket)
        else {
            self.queue.results().free(&[handle]);
            return;
        };
        if let Err(why) = pending.results.record(piece, handle.clone()) {
            log::info!(
                service:% = self.service,
                ticket = ticket.0,
                piece,
                handle:% = handle;
                "a result of a stage piece is not used: {}", why.label()
            );
            self.queue.results().free(&[handle]);
            return;
        }
        if let Some(handles) = pending.results.complete() {
            self.queue.results().set_reader(&handles, pending.origin);
            let output = GroupOutput {
                handles,
                domain: domain.clone(),
                are_inputs_freed: pending.are_inputs_freed,
            };
            self.complete(ticket, Ok(output));
        }
    }

    /// Returns the groups of a failed call to their origins, which send them to a daemon
    /// that reaches the targets.
    pub(super) fn give_back(&mut self, call: BatchCall) {
        for part in call.parts {
            let pending = self.pending.iter();
            let mut pending = pending.filter(|pending| pending.ticket == part.ticket);
            let are_inputs_freed = pending.any(|pending| pending.are_inputs_freed);
            let why = if are_inputs_freed {
                Unmade::Gone
            } else {
                Unmade::Elsewhere
            };
            self.complete(part.ticket, Err(why));
        }
    }

    /// Returns until when the groups of a call are of use that have no other try after it;
    /// `None` if there are none.
    pub(super) fn last_try_until(&self, call: &BatchCall) -> Option<Millis> {
        let last_tries = call
            .parts
            .iter()
            .filter(|part| self.is_last_try(part.ticket));
        last_tries.map(|part| part.group.deadline).max()
    }

    fn is_last_try(&self, ticket: Ticket) -> bool {
        let mut pending = self.pending.iter();
        let pending = pending.find(|pending| pending.ticket == ticket);
        pending.is_some_and(|pending| pending.tries + 1 >= GROUP_TRIES_MAX)
    }

    /// Queues the groups of a call without a response again that may have another one, or
    /// whose inputs have been released; returns them.
    pub(super) fn requeue_silent(&mut self, call: &BatchCall, now: Millis) -> Vec<Ticket> {
        let mut requeued = Vec::new();
        for part in &call.parts {
            let mut pending = self.pending.iter();
            let pending = pending.find(|pending| pending.ticket == part.ticket);
            let are_inputs_freed = pending.is_some_and(|pending| pending.are_inputs_freed);
            if are_inputs_freed || !self.is_last_try(part.ticket) {
                self.requeue(part.ticket, part.group.clone(), true, now);
                requeued.push(part.ticket);
            }
        }
        requeued
    }

    /// Queues failed pieces again that have no result yet, unless the group has had all
    /// its tries or its inputs have been released.
    pub(super) fn requeue(
        &mut self,
        ticket: Ticket,
        mut group: Group,
        counts_as_try: bool,
        now: Millis,
    ) {
        let Some(pending) = self
            .pending
            .iter_mut()
            .find(|pending| pending.ticket == ticket)
        else {
            return;
        };
        group
            .pieces
            .retain(|piece| pending.results.is_missing(*piece));
        if group.pieces.is_empty() {
            return;
        }
        pending.tries += u32::from(counts_as_try);
        if pending.are_inputs_freed {
            self.complete(ticket, Err(Unmade::Gone));
        } else if pending.tries >= GROUP_TRIES_MAX {
            self.complete(ticket, Err(Unmade::Failed));
        } else {
            self.queue.requeue(ticket, group, now);
        }
    }
}

/// Returns the dispatch state of a service; `services` is sorted by name, and
/// an empty state is inserted if there is none.
pub(super) fn dispatch_of<'a>(
    services: &'a mut Vec<ServiceDispatch>,
    service: &name::Service,
) -> &'a mut ServiceDispatch {
    let found = services.binary_search_by(|dispatch| dispatch.service.cmp(service));
    let index = found.unwrap_or_else(|index| {
        let dispatch = ServiceDispatch {
            service: service.clone(),
            queue: BatchQueue::default(),
            pending: Vec::new(),
            is_first: false,
            drained: Vec::new(),
            is_usage_known: false,
            last_group_at: Millis::ZERO,
            last_query_at: Millis::ZERO,
        };
        services.insert(index, dispatch);
        index
    });
    &mut services[index]
}
