//! The requests that wait at one service, beside its queue.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::member::Process;
use gooseberry_kernel::name;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::queue::Queue;
use gooseberry_kernel::stage::queue::Ticket;
use gooseberry_wire::fleet::Unmade;
use tokio::sync::oneshot;

use crate::dispatcher::GroupOutput;
use crate::dispatcher::GroupResult;
use crate::dispatcher::ResultOwner;

/// How often the pieces of a group are tried.
const GROUP_TRIES_MAX: u32 = 3;

/// How often targets with results of another dispatcher are asked what they
/// keep: about as often as a call ends, and a report costs next to nothing.
const USAGE_QUERY_INTERVAL: Millis = Millis(250);

/// After how long without a group targets are asked again what they keep: a
/// dispatcher that others ask gets several groups a second.
const USAGE_KNOWN_FOR: Millis = Millis(1_000);

/// A group whose request waits here for its pieces.
#[derive(Debug)]
pub(super) struct PendingGroup {
    pub(super) ticket: Ticket,
    pub(super) wanted: Vec<u32>,
    pub(super) made: Vec<(u32, name::Handle)>,
    pub(super) tries: u32,
    pub(super) input_owners: Vec<ResultOwner>,
    /// The daemon that has the request.
    pub(super) requester: Process,
    pub(super) are_inputs_freed: bool,
    pub(super) reply: oneshot::Sender<GroupResult>,
}

#[derive(Debug)]
pub(super) struct ServiceDispatch {
    pub(super) service: name::Service,
    pub(super) queue: Queue,
    pub(super) pending: Vec<PendingGroup>,
    /// Whether this daemon was the first to be asked, when it last looked.
    is_first: bool,
    /// The targets that have ended a call of this daemon since it began to
    /// dispatch, sorted: what another one had sent before has ended, too.
    drained: Vec<name::Target>,
    /// Whether its targets' reports are not older than its last calls.
    is_usage_known: bool,
    /// When a group came in last.
    last_group_at: Millis,
    /// When targets were last asked what they keep beside the known results.
    last_query_at: Millis,
}

impl ServiceDispatch {
    /// Notes that a group came in. After a pause another daemon may have
    /// dispatched, so that the targets are asked what they keep.
    pub(super) fn record_group(&mut self, now: Millis) {
        self.is_usage_known &= self.last_group_at + USAGE_KNOWN_FOR > now;
        self.last_group_at = now;
    }

    /// Tells whether the targets are to be asked before the next call.
    pub(super) fn take_query_due(&mut self) -> bool {
        let is_query_due = !std::mem::replace(&mut self.is_usage_known, true);
        if is_query_due {
            self.drained.clear();
        }
        is_query_due
    }

    /// Notes whether this daemon is the first to be asked; returns whether it
    /// no longer is.
    pub(super) fn update_is_first(&mut self, is_first: bool) -> bool {
        let was_first = std::mem::replace(&mut self.is_first, is_first);
        if was_first != is_first {
            self.drained.clear();
        }
        was_first && !is_first
    }

    /// Notes that a target has ended a call.
    pub(super) fn record_call_end(&mut self, target: &name::Target) {
        self.queue.end(target);
        if let Err(index) = self.drained.binary_search(target) {
            self.drained.insert(index, target.clone());
        }
    }

    /// Tells whether the turn of a call comes as soon as it is at the target:
    /// no other daemon has calls there.
    pub(super) fn is_sole_dispatcher_at(&self, target: &name::Target) -> bool {
        self.is_first && self.drained.binary_search(target).is_ok()
    }

    /// Returns the daemons whose requests wait here or have results, each once.
    pub(super) fn requesters(&mut self) -> Vec<Process> {
        let mut requesters = self.queue.results().readers();
        requesters.extend(self.pending.iter().map(|pending| pending.requester));
        requesters.sort_unstable();
        requesters.dedup();
        requesters
    }

    /// Gives up what the requests of daemons had made or waited for; returns how
    /// many groups and results there were.
    pub(super) fn cancel_requesters(&mut self, requesters: &[Process]) -> (usize, usize) {
        let gone = self
            .pending
            .iter()
            .filter(|pending| requesters.contains(&pending.requester));
        let tickets: Vec<Ticket> = gone.map(|pending| pending.ticket).collect();
        for ticket in &tickets {
            self.complete(*ticket, Err(Unmade::Failed));
        }
        (tickets.len(), self.queue.results().free_of(requesters))
    }

    /// Gives back the groups that no target has worked on, for the daemon that
    /// is the first to be asked from now on.
    pub(super) fn hand_over(&mut self) -> usize {
        let queue = &self.queue;
        let is_untouched = |pending: &&PendingGroup| {
            let all = pending.wanted.len();
            pending.made.is_empty() && queue.holds(pending.ticket, all)
        };
        let untouched = self.pending.iter().filter(is_untouched);
        let tickets: Vec<Ticket> = untouched.map(|pending| pending.ticket).collect();
        for ticket in &tickets {
            self.complete(*ticket, Err(Unmade::Elsewhere));
        }
        tickets.len()
    }

    /// Returns the targets that are asked now what they keep: those that kept
    /// results which another daemon dispatched, and may have lost them since.
    pub(super) fn targets_to_query(&mut self, now: Millis) -> Vec<name::Target> {
        if self.last_query_at + USAGE_QUERY_INTERVAL > now {
            return Vec::new();
        }
        self.last_query_at = now;
        self.queue.results().unknown_keepers(now)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<PendingGroup> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.ticket == ticket)?;
        Some(self.pending.remove(index))
    }

    /// Ends a group; what was made of it in vain is given up.
    pub(super) fn complete(&mut self, ticket: Ticket, reply: GroupResult) {
        let Some(pending) = self.remove(ticket) else {
            return;
        };
        self.queue.cancel(ticket);
        if reply.is_err() {
            let made: Vec<name::Handle> =
                pending.made.into_iter().map(|(_, handle)| handle).collect();
            self.queue.results().free(&made);
        }
        // The request may have gone in this moment; its guard freed nothing
        // then, so the results age out.
        pending.reply.send(reply).ok();
    }

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
        pending.made.push((piece, handle));
        if pending.made.len() == pending.wanted.len() {
            let mut made = std::mem::take(&mut pending.made);
            made.sort_by_key(|(piece, _)| *piece);
            let handles: Vec<name::Handle> = made.into_iter().map(|(_, handle)| handle).collect();
            self.queue.results().hand_to(&handles, pending.requester);
            let output = GroupOutput {
                handles,
                domain: domain.clone(),
                are_inputs_freed: pending.are_inputs_freed,
            };
            self.complete(ticket, Ok(output));
        }
    }

    /// Queues pieces again, unless they were tried often enough.
    pub(super) fn requeue(
        &mut self,
        ticket: Ticket,
        group: Group,
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
        pending.tries += u32::from(counts_as_try);
        if pending.are_inputs_freed {
            self.complete(ticket, Err(Unmade::Gone));
        } else if pending.tries >= GROUP_TRIES_MAX {
            self.complete(ticket, Err(Unmade::Failed));
        } else {
            self.queue.push_back(ticket, group, now);
        }
    }
}

pub(super) fn dispatch_of<'a>(
    services: &'a mut Vec<ServiceDispatch>,
    service: &name::Service,
) -> &'a mut ServiceDispatch {
    let found = services.binary_search_by(|dispatch| dispatch.service.cmp(service));
    let index = found.unwrap_or_else(|index| {
        let dispatch = ServiceDispatch {
            service: service.clone(),
            queue: Queue::default(),
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
