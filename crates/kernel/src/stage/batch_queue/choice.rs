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

/// A target that is free, and its memory.
#[derive(Clone, Copy)]
struct FreeTarget<'a> {
    target: &'a StageTarget,
    free_bytes: u64,
    /// What can be freed there for a call, since its readers have read it.
    reclaimable_bytes: u64,
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
                return Some(self.build_call(free.target, &selection, spec, now));
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
        let is_free = |candidate: &&StageTarget| !self.is_unavailable(&candidate.name);
        let with_memory = |target: &'a StageTarget| FreeTarget {
            target,
            free_bytes: self.free_bytes(target, spec, now),
            reclaimable_bytes: self.results.reclaimable_bytes(&target.name, now),
        };
        let free: Vec<FreeTarget> = targets.iter().filter(is_free).map(with_memory).collect();
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
            let suitable = free.iter().filter(|free| {
                let is_healthy = !(is_any_healthy && free.target.is_avoided);
                let bytes = free.free_bytes + free.reclaimable_bytes;
                let has_memory = bytes >= required_bytes(group, spec);
                is_healthy && has_memory && may_run_on(group, free.target, targets, spec, now)
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
            let rest = order.iter().copied().filter(|index| index != first);
            let may_run_on = |index: &usize| {
                let group = &self.waiting[*index].group;
                may_run_on(group, free.target, targets, spec, now)
            };
            let order = std::iter::once(*first).chain(rest.filter(may_run_on));
            let bytes = free.free_bytes + free.reclaimable_bytes;
            return Some((free, self.select(order, bytes, spec)));
        }
        None
    }

    /// Selects groups for a call in this order, as far as their results fit into this
    /// memory.
    fn select(
        &self,
        order: impl Iterator<Item = usize>,
        mut free_bytes: u64,
        spec: &BatchSpec,
    ) -> Selection {
        let max_pieces = usize::try_from(spec.max_pieces.max(1)).unwrap_or(usize::MAX);
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
            let size = group.result_bytes * taken as u64;
            free_bytes -= size;
            selection.bytes += size;
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
        candidate: &StageTarget,
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
        let expected_end = now + spec.call_duration(u32::try_from(count).unwrap_or(u32::MAX));
        self.in_flight.push(InFlightCall {
            target: candidate.name.clone(),
            bytes: selection.bytes,
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
