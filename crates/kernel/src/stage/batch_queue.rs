//! Queue of one stage service, and the choice of its next call.
//!
//! A call to a target of such a service has a high fixed cost and a low cost
//! for each piece, and a target works on one call at a time. The pieces of all
//! daemons' requests therefore share one queue, and a call is built only when a
//! target is free, since a call that is sent can't be reordered any more.
//!
//! The pieces of one request at one stage form a [`Group`] and stay together
//! where possible, since they all read the same inputs. Groups that can still
//! be on time go first, ordered by rank and then by deadline. Late groups use
//! the spare capacity. At regular intervals a call takes the oldest groups
//! first, so that no rank starves. A group that can't be computed before its
//! deadline is dropped immediately.
//!
//! A request is refused at its first group if the group would not be on time
//! and the queue has no spare capacity to compute it late either. This happens
//! in a burst of twice the usual load, or at the usual load with two of five
//! targets gone. Later groups are not refused, since the earlier calls of their
//! request have already been spent.

mod call;
mod expiry;
mod target_memory;
mod wait_estimate;

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::name;
use crate::request::deadline_admission::RETRY_AFTER_BURST;
use crate::request::deadline_admission::retry_after;
use crate::request::routing_table::BatchSpec;
pub use crate::stage::batch_queue::call::BatchCall;
pub use crate::stage::batch_queue::call::CallPart;
pub use crate::stage::batch_queue::call::StageTarget;
pub use crate::stage::batch_queue::call::TargetReport;
pub use crate::stage::batch_queue::expiry::ExpiredGroup;
pub use crate::stage::batch_queue::expiry::ExpiryReason;
use crate::stage::group::Group;
use crate::stage::locality::is_preferred_domain;
use crate::stage::locality::may_run_on;
use crate::stage::locality::required_bytes;
use crate::stage::piece_rate::PieceRate;
use crate::stage::result_tracker::ResultTracker;

/// One in this number of calls takes the oldest groups first, whatever their
/// rank.
const OLDEST_FIRST_EVERY_CALLS: u64 = 8;
/// How long a target gets no call after it had no memory for results or no free
/// call slot; about as long as a call takes to end.
pub const TARGET_PAUSE: Millis = Millis(250);

scalar! {
    /// Identifies a group in its queue.
    pub struct Ticket(pub u64);
}

#[derive(Clone, Debug)]
struct WaitingGroup {
    ticket: Ticket,
    queued_at: Millis,
    group: Group,
}

#[derive(Clone, Debug)]
struct InFlightCall {
    target: name::Target,
    bytes: u64,
    expected_end: Millis,
}

/// The queue of one stage service at its dispatcher.
#[derive(Clone, Debug, Default)]
pub struct BatchQueue {
    waiting: Vec<WaitingGroup>,
    in_flight: Vec<InFlightCall>,
    /// Targets that get no call, and until when.
    paused: Vec<(name::Target, Millis)>,
    results: ResultTracker,
    /// Rate of the arriving pieces that were on time.
    arrivals: PieceRate,
    /// Rate of the pieces that were sent.
    sent: PieceRate,
    /// The last time at which the queue was empty.
    empty_at: Millis,
    last_ticket: u64,
    calls_built: u64,
}

impl BatchQueue {
    /// Decides whether a group is admitted. Only the first group of a request
    /// can be refused.
    ///
    /// # Errors
    /// Returns the time after which there may be capacity, if the group could
    /// neither be on time nor be computed late before its deadline.
    pub fn admit(
        &self,
        group: &Group,
        targets: usize,
        spec: &BatchSpec,
        now: Millis,
    ) -> Result<(), Millis> {
        if !group.is_first {
            return Ok(());
        }
        let call = spec.call_duration(u32::try_from(group.pieces.len()).unwrap_or(u32::MAX));
        let rank = group.rank.level();
        let wait = self.waits(targets, spec, now)[rank];
        let is_on_time = now + wait + call <= group.on_time_deadline;
        let needed_if_late = self.late_wait(targets, spec, now) + call + group.late_extra;
        if is_on_time || now + needed_if_late <= group.deadline {
            return Ok(());
        }
        Err(retry_after(now + wait + call - group.on_time_deadline))
    }

    /// Adds a group to the queue.
    pub fn push(&mut self, group: Group, now: Millis) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        if group.on_time_deadline > now {
            self.arrivals.record(&group, now);
        }
        self.waiting.push(WaitingGroup {
            ticket,
            queued_at: now,
            group,
        });
        ticket
    }

    /// Puts pieces that a call didn't compute back into the queue, under the
    /// same ticket. Those that wait already do so once.
    pub fn requeue(&mut self, ticket: Ticket, group: Group, now: Millis) {
        let found = self
            .waiting
            .iter_mut()
            .find(|waiting| waiting.ticket == ticket);
        if let Some(waiting) = found {
            let pieces = &mut waiting.group.pieces;
            pieces.extend(group.pieces);
            pieces.sort_unstable();
            pieces.dedup();
            return;
        }
        self.waiting.push(WaitingGroup {
            ticket,
            queued_at: now,
            group,
        });
    }

    /// Removes a group whose request has ended.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Removes and returns the groups that can't be computed in time. Also ends
    /// pauses of targets and drops expired results.
    pub fn expire(&mut self, targets: usize, spec: &BatchSpec, now: Millis) -> Vec<ExpiredGroup> {
        let late_wait = self.late_wait(targets, spec, now);
        let reason = |waiting: &WaitingGroup| {
            let group = &waiting.group;
            let call = spec.call_duration(1);
            if now + call > group.deadline {
                Some(ExpiryReason::Late)
            } else if now >= group.inputs_expire_at {
                Some(ExpiryReason::Gone)
            } else if now + call > group.on_time_deadline
                && now + late_wait > group.deadline.min(group.inputs_expire_at)
            {
                Some(ExpiryReason::Full(RETRY_AFTER_BURST))
            } else {
                None
            }
        };
        let mut expired = Vec::new();
        self.waiting.retain(|waiting| {
            let reason = reason(waiting);
            expired.extend(reason.clone().map(|reason| ExpiredGroup {
                ticket: waiting.ticket,
                attempt: waiting.group.attempt.clone(),
                reason,
                late_wait,
            }));
            reason.is_none()
        });
        self.results.remove_expired(now);
        self.paused.retain(|(_, until)| *until > now);
        expired
    }

    /// Builds the next call, if a target is free and groups wait.
    pub fn next_call(
        &mut self,
        targets: &[StageTarget],
        spec: &BatchSpec,
        now: Millis,
    ) -> Option<BatchCall> {
        if self.waiting.is_empty() {
            return None;
        }
        let is_free = |candidate: &&StageTarget| !self.is_unavailable(&candidate.name);
        let with_free_bytes = |candidate| (candidate, self.free_bytes(candidate, spec, now));
        let free: Vec<(&StageTarget, u64)> = targets
            .iter()
            .filter(is_free)
            .map(with_free_bytes)
            .collect();
        let is_any_healthy = targets.iter().any(|candidate| !candidate.is_avoided);
        let mut order = self.by_urgency(spec, now);
        if (self.calls_built + 1).is_multiple_of(OLDEST_FIRST_EVERY_CALLS) {
            order.sort_by_key(|index| self.waiting[*index].queued_at);
        }
        // The results of the first group may not fit into the memory of any
        // target that it may run on. The other groups are then tried, so that
        // no target stays idle.
        for first in &order {
            let group = &self.waiting[*first].group;
            let suitable = free.iter().filter(|(candidate, free_bytes)| {
                let is_healthy = !(is_any_healthy && candidate.is_avoided);
                let has_memory = *free_bytes >= required_bytes(group, spec);
                is_healthy && has_memory && may_run_on(group, candidate, targets, spec, now)
            });
            let key = |(candidate, free_bytes): &&(&StageTarget, u64)| {
                let is_preferred_domain = is_preferred_domain(group, candidate);
                (
                    is_preferred_domain,
                    *free_bytes,
                    Reverse(candidate.name.clone()),
                )
            };
            let Some((candidate, free_bytes)) = suitable.max_by_key(key).copied() else {
                continue;
            };
            let may_run_on = |group: &Group| may_run_on(group, candidate, targets, spec, now);
            let order = order
                .iter()
                .copied()
                .filter(|index| may_run_on(&self.waiting[*index].group));
            let order: Vec<usize> = order.collect();
            return Some(self.build_call(candidate, *first, &order, free_bytes, spec, now));
        }
        None
    }

    /// Records that the call in flight at a target has ended.
    pub fn finish_call(&mut self, target: &name::Target) {
        self.in_flight.retain(|call| call.target != *target);
    }

    /// Sends no call to a target for [`TARGET_PAUSE`], since it had no memory
    /// for results or no free call slot.
    pub fn pause_target(&mut self, target: &name::Target, now: Millis) {
        self.paused.push((target.clone(), now + TARGET_PAUSE));
    }

    /// Removes a waiting piece of a group; returns false if that piece does not wait.
    pub fn withdraw(&mut self, ticket: Ticket, piece: u32) -> bool {
        let mut waiting = self.waiting.iter_mut();
        let Some(waiting) = waiting.find(|waiting| waiting.ticket == ticket) else {
            return false;
        };
        let pieces = &mut waiting.group.pieces;
        let Some(index) = pieces.iter().position(|waiting| *waiting == piece) else {
            return false;
        };
        pieces.remove(index);
        if pieces.is_empty() {
            self.cancel(ticket);
        }
        true
    }

    /// Returns how many pieces of a group wait.
    #[must_use]
    pub fn waiting_pieces_of(&self, ticket: Ticket) -> usize {
        let found = self.waiting.iter().find(|waiting| waiting.ticket == ticket);
        found.map_or(0, |waiting| waiting.group.pieces.len())
    }

    /// Returns the tracker of the results that targets keep.
    pub fn results(&mut self) -> &mut ResultTracker {
        &mut self.results
    }

    /// Returns the number of waiting pieces.
    #[must_use]
    pub fn waiting_pieces(&self) -> usize {
        self.waiting
            .iter()
            .map(|waiting| waiting.group.pieces.len())
            .sum()
    }

    fn build_call(
        &mut self,
        candidate: &StageTarget,
        first: usize,
        order: &[usize],
        mut free_bytes: u64,
        spec: &BatchSpec,
        now: Millis,
    ) -> BatchCall {
        let max_pieces = usize::try_from(spec.max_pieces.max(1)).unwrap_or(usize::MAX);
        let mut parts: Vec<CallPart> = Vec::new();
        let (mut count, mut bytes) = (0, 0);
        let rest = order.iter().filter(|index| **index != first);
        for index in std::iter::once(&first).chain(rest) {
            let waiting = &mut self.waiting[*index];
            let group = &mut waiting.group;
            let fitting =
                usize::try_from(free_bytes / group.result_bytes.max(1)).unwrap_or(usize::MAX);
            let limit = fitting.min(max_pieces - count);
            // A group is split only if it would not fit into any call.
            let fits_whole = limit >= group.pieces.len();
            if limit == 0 || !(fits_whole || parts.is_empty()) {
                continue;
            }
            let taken: Vec<u32> = group
                .pieces
                .drain(..limit.min(group.pieces.len()))
                .collect();
            let size = group.result_bytes.saturating_mul(taken.len() as u64);
            free_bytes = free_bytes.saturating_sub(size);
            bytes = size.saturating_add(bytes);
            count += taken.len();
            let part = Group {
                pieces: taken,
                ..group.clone()
            };
            parts.push(CallPart {
                ticket: waiting.ticket,
                group: part,
            });
            if count >= max_pieces {
                break;
            }
        }
        for part in &parts {
            self.sent.record(&part.group, now);
        }
        self.waiting
            .retain(|waiting| !waiting.group.pieces.is_empty());
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        self.calls_built += 1;
        let expected_end = now + spec.call_duration(u32::try_from(count).unwrap_or(u32::MAX));
        self.in_flight.push(InFlightCall {
            target: candidate.name.clone(),
            bytes,
            expected_end,
        });
        BatchCall {
            target: candidate.name.clone(),
            domain: candidate.domain.clone(),
            parts,
            expected_end,
        }
    }

    /// Returns the indexes of the waiting groups, most urgent first.
    fn by_urgency(&self, spec: &BatchSpec, now: Millis) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|index| {
            let group = &self.waiting[*index].group;
            let count = u32::try_from(group.pieces.len()).unwrap_or(u32::MAX);
            let is_late = now + spec.call_duration(count) > group.on_time_deadline;
            let end = if is_late {
                group.deadline.min(group.inputs_expire_at)
            } else {
                group.on_time_deadline
            };
            (is_late, group.rank, end)
        });
        order
    }
}
