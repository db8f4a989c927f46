//! Which targets can take a call, and how much memory they have for its results.

use crate::clock::Millis;
use crate::name;
use crate::request::routing_table::BatchSpec;
use crate::stage::batch_queue::BatchQueue;
use crate::stage::batch_queue::StageTarget;
use crate::stage::batch_queue::TargetReport;

impl BatchQueue {
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

    pub(super) fn is_unavailable(&self, target: &name::Target) -> bool {
        let is_paused = self.paused.iter().any(|(paused, _)| paused == target);
        is_paused || self.in_flight.iter().any(|call| call.target == *target)
    }

    pub(super) fn free_bytes(&self, candidate: &StageTarget, spec: &BatchSpec, now: Millis) -> u64 {
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
