//! The choice of the next call: its target, its groups, and the results that make room
//! for it.

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::request::routing_table::BatchSpec;
use crate::stage::batch_queue::BatchCall;
use crate::stage::batch_queue::BatchQueue;
use crate::stage::batch_queue::CallPart;
use crate::stage::batch_queue::InFlightCall;
use crate::stage::batch_queue::OLDEST_FIRST_EVERY_CALLS;
use crate::stage::batch_queue::RECLAIM_HOLD;
use crate::stage::batch_queue::StageTarget;
use crate::stage::group::Group;
use crate::stage::locality::is_preferred_domain;
use crate::stage::locality::may_run_on;
use crate::stage::locality::required_bytes;
use crate::stage::pace::Pace;

/// A target that is free, and its memory.
#[derive(Clone, Copy)]
struct FreeTarget<'a> {
    target: &'a StageTarget,
    free_bytes: u64,
    /// What can be freed there for a call, since its readers have read it.
    reclaimable_bytes: u64,
    pace: Pace,
    is_slow: bool,
    /// The largest number of pieces in a call to it.
    max_pieces: usize,
    /// How many of the most urgent pieces are done sooner if they wait for faster targets.
    left_pieces: usize,
}

/// What all targets have in common for one choice.
#[derive(Clone, Copy)]
struct Choice<'a> {
    targets: &'a [StageTarget],
    spec: &'a BatchSpec,
    /// The pace of the fastest target that may be sent calls.
    fastest: Pace,
    now: Millis,
}

/// A call as it would be built: the indexes of waiting groups, and of how many pieces.
struct Selection {
    parts: Vec<(usize, usize)>,
    bytes: u64,
}

impl BatchQueue {
    /// Builds the next call, if a target is free and groups wait.
    ///
    /// A call that does not fit into the free memory of its target has results reclaimed
    /// there. The target is held for it until they are freed.
    pub fn next_call(
        &mut self,
        targets: &[StageTarget],
        spec: &BatchSpec,
        now: Millis,
    ) -> Option<BatchCall> {
        loop {
            let (free, selection) = self.choose(targets, spec, now)?;
            if selection.bytes <= free.free_bytes {
                return Some(self.build_call(free, &selection, spec, now));
            }
            let target = &free.target.name;
            let missing = selection.bytes - free.free_bytes;
            self.reclaimed += self.results.reclaim(target, missing, now);
            self.held.push((target.clone(), now + RECLAIM_HOLD));
        }
    }

    /// Chooses the target and the groups of the next call.
    fn choose<'a>(
        &self,
        targets: &'a [StageTarget],
        spec: &BatchSpec,
        now: Millis,
    ) -> Option<(FreeTarget<'a>, Selection)> {
        if self.waiting.is_empty() {
            return None;
        }
        let is_any_healthy = targets.iter().any(|candidate| !candidate.is_avoided);
        let may_get_calls = |target: &&StageTarget| {
            let is_replaced = is_any_healthy && target.is_avoided;
            !is_replaced && !self.is_paused(&target.name)
        };
        let usable = targets.iter().filter(may_get_calls);
        let paces = usable
            .clone()
            .map(|target| self.paces.pace(&target.name, now));
        let choice = Choice {
            targets,
            spec,
            fastest: paces.min().unwrap_or_default(),
            now,
        };
        let mut order = self.by_urgency(spec, now);
        if (self.calls_built + 1).is_multiple_of(OLDEST_FIRST_EVERY_CALLS) {
            order.sort_by_key(|index| self.waiting[*index].queued_at);
        }
        let is_free = |candidate: &&StageTarget| !self.is_unavailable(&candidate.name);
        let free = usable.filter(is_free);
        let free: Vec<FreeTarget> = free
            .map(|target| self.free_target(target, choice))
            .collect();
        let ahead = self.pieces_ahead(&order);
        // The results of the first group may not fit into the memory of any
        // target that it may run on. The other groups are then tried, so that
        // no target stays idle.
        for (position, first) in order.iter().enumerate() {
            let group = &self.waiting[*first].group;
            let suitable = free.iter().filter(|free| {
                let bytes = free.free_bytes.saturating_add(free.reclaimable_bytes);
                let has_memory = bytes >= required_bytes(group, spec);
                has_memory && is_suitable(group, ahead[position], free, choice)
            });
            let key = |free: &&FreeTarget| {
                (
                    is_preferred_domain(group, free.target),
                    free.free_bytes,
                    Reverse(free.target.name.clone()),
                )
            };
            let Some(free) = suitable.max_by_key(key).copied() else {
                continue;
            };
            let rest = order.iter().zip(&ahead);
            let rest = rest.filter(|(index, ahead)| {
                let group = &self.waiting[**index].group;
                *index != first && is_suitable(group, **ahead, &free, choice)
            });
            let rest = rest.map(|(index, _)| *index);
            let order = std::iter::once(*first).chain(rest);
            let bytes = free.free_bytes.saturating_add(free.reclaimable_bytes);
            return Some((free, self.select(order, bytes, free.max_pieces)));
        }
        None
    }

    fn free_target<'a>(&self, target: &'a StageTarget, choice: Choice<'_>) -> FreeTarget<'a> {
        let Choice { spec, now, .. } = choice;
        let pace = self.paces.pace(&target.name, now);
        let is_slow = pace.is_slow(choice.fastest);
        FreeTarget {
            target,
            free_bytes: self.free_bytes(target, spec, now),
            reclaimable_bytes: self.results.reclaimable_bytes(&target.name, now),
            pace,
            is_slow,
            max_pieces: pace.max_pieces(choice.fastest, max_pieces(spec)),
            left_pieces: if is_slow {
                self.left_pieces(pace, choice)
            } else {
                0
            },
        }
    }

    /// Returns how many of the most urgent pieces faster targets compute, with the calls that
    /// they have now, before a target with this pace has ended its next call.
    fn left_pieces(&self, pace: Pace, choice: Choice<'_>) -> usize {
        let Choice {
            spec, fastest, now, ..
        } = choice;
        let duration = |pace: Pace| {
            let pieces = pace.max_pieces(fastest, max_pieces(spec));
            let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
            pace.stretch(spec.call_duration(pieces))
        };
        let end = duration(pace);
        let of_target = |target: &StageTarget| {
            let theirs = self.paces.pace(&target.name, now);
            let free_bytes = self.free_bytes(target, spec, now)
                + self.results.reclaimable_bytes(&target.name, now);
            let is_usable = !target.is_avoided && !self.is_paused(&target.name);
            // A target without memory gets no call, however fast it is.
            if theirs >= pace || !is_usable || free_bytes < self.arrivals.mean_bytes {
                return 0;
            }
            let mut calls = self.in_flight.iter();
            let call = calls.find(|call| call.target == target.name);
            let wait = call.map_or(Millis::ZERO, |call| call.expected_end - now);
            let calls = (end - wait).0 / duration(theirs).0.max(1);
            let calls = usize::try_from(calls).unwrap_or(usize::MAX);
            calls.saturating_mul(theirs.max_pieces(fastest, max_pieces(spec)))
        };
        choice.targets.iter().map(of_target).sum()
    }

    /// Returns how many pieces are more urgent than those of each group in this order.
    fn pieces_ahead(&self, order: &[usize]) -> Vec<usize> {
        let mut ahead = 0;
        let before = |index: &usize| {
            let before = ahead;
            ahead += self.waiting[*index].group.pieces.len();
            before
        };
        order.iter().map(before).collect()
    }

    /// Selects groups for a call in this order, as far as their results fit into this
    /// memory.
    fn select(
        &self,
        order: impl Iterator<Item = usize>,
        mut free_bytes: u64,
        max_pieces: usize,
    ) -> Selection {
        let mut selection = Selection {
            parts: Vec::new(),
            bytes: 0,
        };
        let mut count = 0;
        for index in order {
            let group = &self.waiting[index].group;
            let fitting =
                usize::try_from(free_bytes / group.result_bytes.max(1)).unwrap_or(usize::MAX);
            let limit = fitting.min(max_pieces - count);
            // A group is split only if it would not fit into any call.
            let fits_whole = limit >= group.pieces.len();
            if limit == 0 || !(fits_whole || selection.parts.is_empty()) {
                continue;
            }
            let taken = limit.min(group.pieces.len());
            let size = group.result_bytes.saturating_mul(taken as u64);
            free_bytes = free_bytes.saturating_sub(size);
            selection.bytes = selection.bytes.saturating_add(size);
            selection.parts.push((index, taken));
            count += taken;
            if count >= max_pieces {
                break;
            }
        }
        selection
    }

    fn build_call(
        &mut self,
        free: FreeTarget<'_>,
        selection: &Selection,
        spec: &BatchSpec,
        now: Millis,
    ) -> BatchCall {
        let mut parts: Vec<CallPart> = Vec::new();
        let mut count = 0;
        for (index, taken) in &selection.parts {
            let waiting = &mut self.waiting[*index];
            let taken: Vec<u32> = waiting.group.pieces.drain(..*taken).collect();
            count += taken.len();
            let group = Group {
                pieces: taken,
                ..waiting.group.clone()
            };
            self.sent.record(&group, now);
            parts.push(CallPart {
                ticket: waiting.ticket,
                group,
            });
        }
        self.waiting
            .retain(|waiting| !waiting.group.pieces.is_empty());
        if self.waiting.is_empty() {
            self.empty_at = now;
        }
        self.calls_built += 1;
        let candidate = free.target;
        let expected = spec.call_duration(u32::try_from(count).unwrap_or(u32::MAX));
        let expected_end = now + free.pace.stretch(expected);
        self.in_flight.push(InFlightCall {
            target: candidate.name.clone(),
            bytes: selection.bytes,
            expected_end,
        });
        BatchCall {
            target: candidate.name.clone(),
            domain: candidate.domain.clone(),
            parts,
            pace: free.pace,
            expected_end,
            timeout: free.pace.timeout(expected),
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

/// Returns the largest number of pieces in a call to a target that is not slow.
fn max_pieces(spec: &BatchSpec) -> usize {
    usize::try_from(spec.max_pieces.max(1)).unwrap_or(usize::MAX)
}

/// Returns whether a group may be computed at a target, with this number of pieces that are
/// more urgent.
///
/// A slow target gets what would otherwise wait longer than it takes there, and what is of
/// use then. A group that fits only into a larger call is not split for it.
fn is_suitable(group: &Group, ahead: usize, free: &FreeTarget<'_>, choice: Choice<'_>) -> bool {
    let Choice { spec, now, .. } = choice;
    if !may_run_on(group, free.target, choice.targets, spec, now) {
        return false;
    }
    let count = group.pieces.len();
    let is_split_anyway = count > max_pieces(spec);
    let expected = spec.call_duration(u32::try_from(count).unwrap_or(u32::MAX));
    !free.is_slow
        || ahead >= free.left_pieces
            && (count <= free.max_pieces || is_split_anyway)
            && now + free.pace.stretch(expected) <= group.deadline
}
