//! The requests that wait at one service, beside its queue.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership::Process;
use gooseberry_kernel::name;
use gooseberry_kernel::stage::batch_queue::BatchQueue;
use gooseberry_kernel::stage::batch_queue::Ticket;
use gooseberry_kernel::stage::group::Group;
use gooseberry_wire::fleet::Unmade;
use tokio::sync::oneshot;

use crate::dispatcher::Batch;
use crate::dispatcher::Keeper;
use crate::dispatcher::Reply;

/// How often the pieces of a group are tried.
const TRIES_MAX: u32 = 3;

/// How often targets with results of another dispatcher are asked what they
/// keep: about as often as a call ends, and a report costs next to nothing.
const ROOMS_EVERY: Millis = Millis(250);

/// After how long without a group targets are asked again what they keep: a
/// dispatcher that others ask gets several groups a second.
const KNOWN_FOR: Millis = Millis(1_000);

/// A group whose request waits here for its pieces.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) ticket: Ticket,
    pub(super) wanted: Vec<u32>,
    pub(super) made: Vec<(u32, name::Handle)>,
    pub(super) tries: u32,
    pub(super) keepers: Vec<Keeper>,
    /// The daemon that has the request.
    pub(super) asker: Process,
    pub(super) are_inputs_freed: bool,
    pub(super) reply: oneshot::Sender<Reply>,
}

#[derive(Debug)]
pub(super) struct Desk {
    pub(super) service: name::Service,
    pub(super) queue: BatchQueue,
    pub(super) open: Vec<Open>,
    /// Whether this daemon was the first to be asked, when it last looked.
    is_first: bool,
    /// The targets that have ended a call of this daemon since it began to
    /// dispatch, sorted: what another one had sent before has ended, too.
    proved: Vec<name::Target>,
    /// Whether its targets' reports are not older than its last calls.
    is_known: bool,
    /// When a group came in last.
    last: Millis,
    /// When targets were last asked what they keep beside the known results.
    asked: Millis,
}

impl Desk {
    /// Notes that a group came in. After a pause another daemon may have
    /// dispatched, so that the targets are asked what they keep.
    pub(super) fn note_group(&mut self, now: Millis) {
        self.is_known &= self.last + KNOWN_FOR > now;
        self.last = now;
    }

    /// Tells whether the targets are to be asked before the next call.
    pub(super) fn take_unknown(&mut self) -> bool {
        let is_unknown = !std::mem::replace(&mut self.is_known, true);
        if is_unknown {
            self.proved.clear();
        }
        is_unknown
    }

    /// Notes whether this daemon is the first to be asked; returns whether it
    /// no longer is.
    pub(super) fn note_first(&mut self, is_first: bool) -> bool {
        let was_first = std::mem::replace(&mut self.is_first, is_first);
        if was_first != is_first {
            self.proved.clear();
        }
        was_first && !is_first
    }

    /// Notes that a target has ended a call.
    pub(super) fn note_end(&mut self, target: &name::Target) {
        self.queue.finish_call(target);
        if let Err(index) = self.proved.binary_search(target) {
            self.proved.insert(index, target.clone());
        }
    }

    /// Tells whether the turn of a call comes as soon as it is at the target:
    /// no other daemon has calls there.
    pub(super) fn is_alone_at(&self, target: &name::Target) -> bool {
        self.is_first && self.proved.binary_search(target).is_ok()
    }

    /// Returns the daemons whose requests wait here or have results, each once.
    pub(super) fn askers(&mut self) -> Vec<Process> {
        let mut askers = self.queue.results().readers();
        askers.extend(self.open.iter().map(|open| open.asker));
        askers.sort_unstable();
        askers.dedup();
        askers
    }

    /// Gives up what the requests of daemons had made or waited for; returns how
    /// many groups and results there were.
    pub(super) fn forget(&mut self, askers: &[Process]) -> (usize, usize) {
        let gone = self.open.iter().filter(|open| askers.contains(&open.asker));
        let tickets: Vec<Ticket> = gone.map(|open| open.ticket).collect();
        for ticket in &tickets {
            self.close(*ticket, Err(Unmade::Failed));
        }
        (tickets.len(), self.queue.results().free_read_by(askers))
    }

    /// Gives back the groups that no target has worked on, for the daemon that
    /// is the first to be asked from now on.
    pub(super) fn hand_over(&mut self) -> usize {
        let queue = &self.queue;
        let is_untouched = |open: &&Open| {
            let all = open.wanted.len();
            open.made.is_empty() && queue.has_waiting(open.ticket, all)
        };
        let untouched = self.open.iter().filter(is_untouched);
        let tickets: Vec<Ticket> = untouched.map(|open| open.ticket).collect();
        for ticket in &tickets {
            self.close(*ticket, Err(Unmade::Elsewhere));
        }
        tickets.len()
    }

    /// Returns the targets that are asked now what they keep: those that kept
    /// results which another daemon dispatched, and may have lost them since.
    pub(super) fn due_rooms(&mut self, now: Millis) -> Vec<name::Target> {
        if self.asked + ROOMS_EVERY > now {
            return Vec::new();
        }
        self.asked = now;
        self.queue.results().targets_with_untracked(now)
    }

    pub(super) fn take(&mut self, ticket: Ticket) -> Option<Open> {
        let index = self.open.iter().position(|open| open.ticket == ticket)?;
        Some(self.open.remove(index))
    }

    /// Ends a group; what was made of it in vain is given up.
    pub(super) fn close(&mut self, ticket: Ticket, reply: Reply) {
        let Some(open) = self.take(ticket) else {
            return;
        };
        self.queue.cancel(ticket);
        if reply.is_err() {
            let made: Vec<name::Handle> = open.made.into_iter().map(|(_, handle)| handle).collect();
            self.queue.results().free(&made);
        }
        // The request may have gone in this moment; its guard freed nothing
        // then, so the results age out.
        open.reply.send(reply).ok();
    }

    pub(super) fn note_made(
        &mut self,
        ticket: Ticket,
        piece: u32,
        handle: name::Handle,
        domain: &name::Domain,
    ) {
        let Some(open) = self.open.iter_mut().find(|open| open.ticket == ticket) else {
            self.queue.results().free(&[handle]);
            return;
        };
        open.made.push((piece, handle));
        if open.made.len() == open.wanted.len() {
            let mut made = std::mem::take(&mut open.made);
            made.sort_by_key(|(piece, _)| *piece);
            let handles: Vec<name::Handle> = made.into_iter().map(|(_, handle)| handle).collect();
            self.queue.results().set_reader(&handles, open.asker);
            let batch = Batch {
                handles,
                domain: domain.clone(),
                are_inputs_freed: open.are_inputs_freed,
            };
            self.close(ticket, Ok(batch));
        }
    }

    /// Queues pieces again, unless they were tried often enough.
    pub(super) fn again(&mut self, ticket: Ticket, group: Group, counts: bool, now: Millis) {
        let Some(open) = self.open.iter_mut().find(|open| open.ticket == ticket) else {
            return;
        };
        open.tries += u32::from(counts);
        if open.are_inputs_freed {
            self.close(ticket, Err(Unmade::Gone));
        } else if open.tries >= TRIES_MAX {
            self.close(ticket, Err(Unmade::Failed));
        } else {
            self.queue.requeue(ticket, group, now);
        }
    }
}

pub(super) fn desk<'a>(desks: &'a mut Vec<Desk>, service: &name::Service) -> &'a mut Desk {
    let found = desks.binary_search_by(|desk| desk.service.cmp(service));
    let index = found.unwrap_or_else(|index| {
        let desk = Desk {
            service: service.clone(),
            queue: BatchQueue::default(),
            open: Vec::new(),
            is_first: false,
            proved: Vec::new(),
            is_known: false,
            last: Millis::ZERO,
            asked: Millis::ZERO,
        };
        desks.insert(index, desk);
        index
    });
    &mut desks[index]
}
