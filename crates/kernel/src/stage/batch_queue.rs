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
mod choice;
mod wait_estimate;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::name;
use crate::request::deadline_admission::RETRY_AFTER_BURST;
use crate::request::deadline_admission::retry_after;
use crate::request::routing_table::BatchSpec;
pub use crate::stage::batch_queue::call::BatchCall;
pub use crate::stage::batch_queue::call::CallPart;
pub use crate::stage::batch_queue::call::ExpiredGroup;
pub use crate::stage::batch_queue::call::ExpiryReason;
pub use crate::stage::batch_queue::call::StageTarget;
pub use crate::stage::batch_queue::call::TargetReport;
use crate::stage::group::Group;
use crate::stage::pace::Paces;
use crate::stage::pace::Sample;
use crate::stage::piece_rate::PieceRate;
use crate::stage::result_tracker::ResultTracker;

/// One in this number of calls takes the oldest groups first, whatever their
/// rank.
const OLDEST_FIRST_EVERY_CALLS: u64 = 8;
/// How long a target gets no call after it had no memory for results or no free
/// call slot; about as long as a call takes to end.
pub const TARGET_PAUSE: Millis = Millis(250);
/// How long a target is held free for a call whose memory is being freed there. Freeing
/// takes some milliseconds; a target that does not answer is not held any longer.
const RECLAIM_HOLD: Millis = Millis(200);

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
    /// Targets at which results are freed for the next call, and until when they are held.
    held: Vec<(name::Target, Millis)>,
    /// Number of results that were reclaimed since it was last asked for.
    reclaimed: usize,
    results: ResultTracker,
    paces: Paces,
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
    /// same ticket.
    pub fn requeue(&mut self, ticket: Ticket, group: Group, now: Millis) {
        let found = self
            .waiting
            .iter_mut()
            .find(|waiting| waiting.ticket == ticket);
        if let Some(waiting) = found {
            waiting.group.pieces.extend(group.pieces);
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
        self.held.retain(|(_, until)| *until > now);
        expired
    }

    /// Records that the call in flight at a target has ended.
    pub fn finish_call(&mut self, target: &name::Target) {
        self.in_flight.retain(|call| call.target != *target);
    }

    /// Learns the pace of a target from a call to it, of which it computed this number of
    /// pieces.
    pub fn record_pace(
        &mut self,
        target: &name::Target,
        computed: usize,
        sample: Sample,
        spec: &BatchSpec,
        now: Millis,
    ) {
        let computed = u32::try_from(computed).unwrap_or(u32::MAX);
        if computed > 0 {
            let expected = spec.call_duration(computed);
            self.paces.record(target, expected, sample, now);
        }
    }

    /// Sends no call to a target for [`TARGET_PAUSE`], since it had no memory
    /// for results or no free call slot.
    pub fn pause_target(&mut self, target: &name::Target, now: Millis) {
        self.paused.push((target.clone(), now + TARGET_PAUSE));
    }

    /// Applies the state that a target reports. Results of other dispatchers
    /// expire after `ttl`.
    ///
    /// If the target works on a call of another dispatcher, it is paused: a
    /// call of this queue would wait there, and would be built earlier and
    /// smaller than necessary.
    pub fn apply_report(&mut self, report: &TargetReport, ttl: Millis, now: Millis) {
        let target = &report.target;
        let bytes = report
            .kept_bytes
            .saturating_sub(self.in_flight_bytes(target));
        self.results.record_reported_bytes(target, bytes, ttl, now);
        if report.is_busy && !self.in_flight.iter().any(|call| call.target == *target) {
            self.pause_target(target, now);
        }
    }

    /// Returns whether exactly this number of pieces of a group waits.
    #[must_use]
    pub fn has_waiting(&self, ticket: Ticket, pieces: usize) -> bool {
        let found = self.waiting.iter().find(|waiting| waiting.ticket == ticket);
        found.is_some_and(|waiting| waiting.group.pieces.len() == pieces)
    }

    /// Records that the free of some results of a target has ended.
    pub fn finish_free(&mut self, target: &name::Target, handles: &[name::Handle], now: Millis) {
        self.results.remove_freed(handles, now);
        self.held.retain(|(held, _)| held != target);
    }

    /// Returns the number of results that were reclaimed for calls since the last time; they
    /// are freed at their targets at once, since calls wait for their memory.
    pub fn take_reclaimed(&mut self) -> usize {
        std::mem::take(&mut self.reclaimed)
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

    fn is_unavailable(&self, target: &name::Target) -> bool {
        self.is_paused(target) || self.in_flight.iter().any(|call| call.target == *target)
    }

    /// Returns whether a target gets no call for some time, or is held for one.
    fn is_paused(&self, target: &name::Target) -> bool {
        let mut paused = self.paused.iter().chain(&self.held);
        paused.any(|(paused, _)| paused == target)
    }

    fn free_bytes(&self, candidate: &StageTarget, spec: &BatchSpec, now: Millis) -> u64 {
        let kept = self.results.kept_bytes(&candidate.name, now);
        let in_use = kept.saturating_add(self.in_flight_bytes(&candidate.name));
        spec.result_capacity_bytes.saturating_sub(in_use)
    }

    /// Returns the size of the results of the calls in flight at a target.
    fn in_flight_bytes(&self, target: &name::Target) -> u64 {
        let in_flight = self.in_flight.iter().filter(|call| call.target == *target);
        in_flight.fold(0, |sum, call| call.bytes.saturating_add(sum))
    }
}
