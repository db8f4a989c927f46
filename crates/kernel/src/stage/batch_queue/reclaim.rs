//! Decides when the memory of retained results is needed.
//!
//! Retained results let a failed piece be retried without computing its inputs
//! again, but under load a target has memory for the results of less than two
//! calls. They are therefore kept only as long as the next call of their target
//! fits beside them.

use crate::clock::Millis;
use crate::name;
use crate::request::routing_table::BatchSpec;
use crate::stage::batch_queue::BatchQueue;
use crate::stage::locality::required_bytes;

/// How long before a call ends the memory for the next one is reclaimed: a free
/// is sent within 50 ms and answered within some milliseconds.
const RECLAIM_LEAD: Millis = Millis(150);

impl BatchQueue {
    /// Returns the results to be freed now, by target. Retained results are among
    /// them if the next call of their target might not fit beside them, or if
    /// their retention has ended.
    pub fn take_freed(
        &mut self,
        spec: &BatchSpec,
        now: Millis,
    ) -> Vec<(name::Target, Vec<name::Handle>)> {
        let next_call_bytes = self.next_call_bytes(spec);
        let mut short_of_memory = self.results.kept_by_target(now);
        short_of_memory.retain(|(target, kept_bytes)| {
            let call = self.in_flight.iter().find(|call| call.target == *target);
            let is_due = call.is_none_or(|call| call.expected_end <= now + RECLAIM_LEAD);
            let in_use = kept_bytes + call.map_or(0, |call| call.bytes);
            is_due && in_use + next_call_bytes > spec.result_capacity_bytes
        });
        let needs_memory = |target: &name::Target| {
            let found = short_of_memory.binary_search_by(|(short, _)| short.cmp(target));
            found.is_ok()
        };
        self.results.take_freed(needs_memory, now)
    }

    /// Returns an upper bound of the memory for the results of the next call, in
    /// bytes: a full call of the largest recent results, or the largest waiting
    /// group.
    fn next_call_bytes(&self, spec: &BatchSpec) -> u64 {
        let full_call_bytes = self.sent.peak_bytes * u64::from(spec.max_pieces);
        let waiting = self.waiting.iter();
        let waiting_bytes = waiting.map(|waiting| required_bytes(&waiting.group, spec));
        full_call_bytes.max(waiting_bytes.max().unwrap_or_default())
    }
}
