//! The queue of one stage service, and the choice of the next call.
//!
//! A call to a target of such a service costs much by itself and little for
//! each piece, and a target works on one call at a time. So the pieces of the
//! whole fleet meet in one queue, and a call is made up only when a target is
//! free: what has been sent can no longer be put behind something better.
//!
//! The pieces of one request at one stage are a [`Group`] and stay together
//! where they can, since they all read the same inputs. Groups that can still
//! help an answer to be on time go first, by rank and then by the time that
//! they have; groups that are late anyway use what is left over. One call in
//! several takes the oldest groups, so that no rank waits for ever. A group
//! that cannot end in time at all is given up at once.
//!
//! A request is refused at its first group rather than kept waiting in vain: if
//! the group would not be made in time to help an answer to be on time, and the
//! queue has no capacity left over to make it late either. The load that this
//! answers is a burst of twice the usual requests, or the usual ones with two
//! of five targets gone. Nothing that was begun is refused here: the calls for
//! it have been paid.

mod wait_estimate;

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;
use crate::request::deadline_admission::RETRY_AFTER_BURST;
use crate::request::deadline_admission::retry_after;
use crate::request::routing_table::BatchSpec;
use crate::stage::group::Group;
use crate::stage::locality::is_preferred_domain;
use crate::stage::locality::may_run_on;
use crate::stage::locality::required_bytes;
use crate::stage::piece_rate::PieceRate;
use crate::stage::result_tracker::ResultTracker;

/// One in so many calls takes the oldest groups, whatever their rank.
const OLDEST_FIRST_EVERY_CALLS: u64 = 8;
/// How long a target rests after it had no room or no place for a call; a call
/// takes about as long to end.
pub const TARGET_PAUSE: Millis = Millis(250);

scalar! {
    /// The number of a group in its queue.
    pub struct Ticket(pub u64);
}

value! {
    /// A group that was given up.
    pub struct ExpiredGroup {
        /// The group.
        pub ticket: Ticket,
        /// Its request.
        pub attempt: name::Attempt,
        /// Why it was given up.
        pub reason: ExpiryReason,
        /// How long what is late would have waited.
        pub late_wait: Millis,
    }

    /// Why a group was given up.
    pub enum ExpiryReason {
        /// It cannot be made in the time that it has.
        Late,
        /// Its inputs do not exist any more, and would have to be made again.
        Gone,
        /// Too much goes before it; there may be room after the span.
        Full(Millis),
    }

    /// A target that may get a call.
    pub struct StageTarget {
        /// Its name.
        pub name: name::Target,
        /// Its failure domain.
        pub domain: name::Domain,
        /// Whether calls to it have failed of late.
        pub is_avoided: bool,
    }

    /// What a target tells of itself.
    pub struct TargetReport {
        /// Its name.
        pub target: name::Target,
        /// How many bytes of results it keeps at least, with those of the call
        /// that it works on.
        pub kept_bytes: u64,
        /// Whether it has a call to work on.
        pub is_busy: bool,
    }

    /// A part of a group in a call.
    pub struct CallPart {
        /// The group.
        pub ticket: Ticket,
        /// The group with just the pieces that the call makes.
        pub group: Group,
    }

    /// A call that is to be sent now.
    pub struct BatchCall {
        /// The target that gets it.
        pub target: name::Target,
        /// Its failure domain.
        pub domain: name::Domain,
        /// What it makes, in this order.
        pub parts: Vec<CallPart>,
        /// When it should have ended.
        pub expected: Millis,
    }
}

#[derive(Clone, Debug)]
struct WaitingGroup {
    ticket: Ticket,
    since: Millis,
    group: Group,
}

#[derive(Clone, Debug)]
struct InFlightCall {
    target: name::Target,
    bytes: u64,
    until: Millis,
}

/// The queue of one stage service at its dispatcher.
#[derive(Clone, Debug, Default)]
pub struct BatchQueue {
    waiting: Vec<WaitingGroup>,
    in_flight: Vec<InFlightCall>,
    /// Targets that take no call for a moment, and until when.
    paused: Vec<(name::Target, Millis)>,
    results: ResultTracker,
    /// The pieces on time that came in of late.
    arrivals: PieceRate,
    /// The pieces that were sent of late.
    sent: PieceRate,
    /// When nothing waited last.
    empty_at: Millis,
    last_ticket: u64,
    calls_made: u64,
}

impl BatchQueue {
    /// Decides whether a request's first group is taken in; `Err` holds the
    /// span after which there may be room.
    ///
    /// # Errors
    /// Returns the span if the group would wait in vain.
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
        let late = self.late_wait(targets, spec, now) + call + group.late_extra;
        if is_on_time || now + late <= group.deadline {
            return Ok(());
        }
        Err(retry_after(now + wait + call - group.on_time_deadline))
    }

    /// Takes in a group.
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
            since: now,
            group,
        });
        ticket
    }

    /// Takes back pieces that a call did not make, behind the same ticket.
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
            since: now,
            group,
        });
    }

    /// Removes a group whose request is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Removes the groups that cannot be made in time, and returns them.
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

    /// Makes up the next call, if a target is free and something waits.
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
        let with_room = |candidate| (candidate, self.free_bytes(candidate, spec, now));
        let free: Vec<(&StageTarget, u64)> =
            targets.iter().filter(is_free).map(with_room).collect();
        let is_any_healthy = targets.iter().any(|candidate| !candidate.is_avoided);
        let mut order = self.by_urgency(spec, now);
        if (self.calls_made + 1).is_multiple_of(OLDEST_FIRST_EVERY_CALLS) {
            order.sort_by_key(|index| self.waiting[*index].since);
        }
        // Large results may not fit where the first group wants to go, so the
        // others are tried before the target stays idle.
        for first in &order {
            let group = &self.waiting[*first].group;
            let fits = free.iter().filter(|(candidate, free_bytes)| {
                let is_healthy = !(is_any_healthy && candidate.is_avoided);
                let has_room = *free_bytes >= required_bytes(group, spec);
                is_healthy && has_room && may_run_on(group, candidate, targets, spec, now)
            });
            let key = |(candidate, free_bytes): &&(&StageTarget, u64)| {
                let is_preferred_domain = is_preferred_domain(group, candidate);
                (
                    is_preferred_domain,
                    *free_bytes,
                    Reverse(candidate.name.clone()),
                )
            };
            let Some((candidate, free_bytes)) = fits.max_by_key(key).copied() else {
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

    /// Notes that a target is done with its call.
    pub fn finish_call(&mut self, target: &name::Target) {
        self.in_flight.retain(|call| call.target != *target);
    }

    /// Gives a target no call for a moment: it had no room, or no place.
    pub fn pause_target(&mut self, target: &name::Target, now: Millis) {
        self.paused.push((target.clone(), now + TARGET_PAUSE));
    }

    /// Notes what a target tells of itself; what it keeps for others ages out
    /// within the span.
    ///
    /// A call of another dispatcher keeps it from getting one of this queue for
    /// a moment: it would wait there, and take few pieces with it.
    pub fn apply_report(&mut self, report: &TargetReport, span: Millis, now: Millis) {
        let target = &report.target;
        let bytes = report
            .kept_bytes
            .saturating_sub(self.in_flight_bytes(target));
        self.results.record_reported_bytes(target, bytes, span, now);
        if report.is_busy && !self.in_flight.iter().any(|call| call.target == *target) {
            self.pause_target(target, now);
        }
    }

    /// Tells whether so many pieces of a group wait.
    #[must_use]
    pub fn has_waiting(&self, ticket: Ticket, pieces: usize) -> bool {
        let found = self.waiting.iter().find(|waiting| waiting.ticket == ticket);
        found.is_some_and(|waiting| waiting.group.pieces.len() == pieces)
    }

    /// Returns the account of results.
    pub fn results(&mut self) -> &mut ResultTracker {
        &mut self.results
    }

    /// Returns how many pieces wait.
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
        let batch = usize::try_from(spec.max_pieces.max(1)).unwrap_or(usize::MAX);
        let mut parts: Vec<CallPart> = Vec::new();
        let (mut count, mut bytes) = (0, 0);
        let rest = order.iter().filter(|index| **index != first);
        for index in std::iter::once(&first).chain(rest) {
            let waiting = &mut self.waiting[*index];
            let group = &mut waiting.group;
            let fitting =
                usize::try_from(free_bytes / group.result_bytes.max(1)).unwrap_or(usize::MAX);
            let limit = fitting.min(batch - count);
            // A group is parted only if it would not fit into any call.
            let fits_whole = limit >= group.pieces.len();
            if limit == 0 || !(fits_whole || parts.is_empty()) {
                continue;
            }
            let taken: Vec<u32> = group
                .pieces
                .drain(..limit.min(group.pieces.len()))
                .collect();
            let size = group.result_bytes * taken.len() as u64;
            free_bytes -= size;
            bytes += size;
            count += taken.len();
            let part = Group {
                pieces: taken,
                ..group.clone()
            };
            parts.push(CallPart {
                ticket: waiting.ticket,
                group: part,
            });
            if count >= batch {
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
        self.calls_made += 1;
        let expected = now + spec.call_duration(u32::try_from(count).unwrap_or(u32::MAX));
        self.in_flight.push(InFlightCall {
            target: candidate.name.clone(),
            bytes,
            until: expected,
        });
        BatchCall {
            target: candidate.name.clone(),
            domain: candidate.domain.clone(),
            parts,
            expected,
        }
    }

    /// Returns the waiting groups, best first.
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

    fn is_unavailable(&self, target: &name::Target) -> bool {
        let is_paused = self.paused.iter().any(|(paused, _)| paused == target);
        is_paused || self.in_flight.iter().any(|call| call.target == *target)
    }

    fn free_bytes(&self, candidate: &StageTarget, spec: &BatchSpec, now: Millis) -> u64 {
        let kept = self.results.kept_bytes(&candidate.name, now);
        let taken = kept + self.in_flight_bytes(&candidate.name);
        spec.result_capacity_bytes.saturating_sub(taken)
    }

    /// Returns how many bytes the call at a target will take there.
    fn in_flight_bytes(&self, target: &name::Target) -> u64 {
        let in_flight = self.in_flight.iter().filter(|call| call.target == *target);
        in_flight.map(|call| call.bytes).sum()
    }
}
