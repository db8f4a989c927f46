//! Estimates of the time that groups wait in a queue.

use crate::clock::Millis;
use crate::request::routing_table::BatchSpec;
use crate::request::routing_table::Rank;
use crate::stage::batch_queue::BatchQueue;
use crate::stage::batch_queue::OLDEST_FIRST_EVERY_CALLS;
use crate::stage::piece_rate::WINDOW;

/// The estimated throughput is at least what the targets can compute divided by
/// this number.
const MIN_THROUGHPUT_PARTS: u64 = 4;
/// How long pieces take to pass through an earlier stage.
const UPSTREAM_TRANSIT: Millis = Millis(500);

impl BatchQueue {
    /// Returns the expected wait of a new group of each rank, with this number
    /// of targets.
    #[must_use]
    pub fn waits(&self, targets: usize, spec: &BatchSpec, now: Millis) -> [Millis; Rank::LEVELS] {
        let mut waiting_by_level = [0; Rank::LEVELS];
        for waiting in &self.waiting {
            let group = &waiting.group;
            let is_late = now > group.on_time_deadline;
            let level = group.rank.level();
            let level = if is_late { Rank::LEVELS - 1 } else { level };
            waiting_by_level[level] += group.pieces.len() as u64;
        }
        let throughput = self.throughput(targets, spec, now);
        let until_free = self.time_until_free(targets, now);
        let mut pieces_ahead = 0;
        let mut waits = [Millis::ZERO; Rank::LEVELS];
        for (level, wait) in waits.iter_mut().enumerate() {
            pieces_ahead += waiting_by_level[level];
            // More urgent pieces that arrive in the meantime go first too.
            let arriving = self.arrivals.rate_before(level, now);
            let spare = throughput
                .saturating_sub(arriving)
                .max(throughput / OLDEST_FIRST_EVERY_CALLS)
                .max(1);
            // Pieces that are still in earlier stages make the queue longer
            // too, if they arrive faster than the targets compute them.
            let incoming = self.arrivals.rate_before(level + 1, now);
            let growth = incoming.saturating_sub(throughput) * UPSTREAM_TRANSIT.0 / throughput;
            *wait = until_free + Millis(pieces_ahead * 1000 / spare + growth);
        }
        waits
    }

    /// Returns the expected wait of a group that is already late, if requests
    /// keep arriving at the current rate.
    #[must_use]
    pub fn late_wait(&self, targets: usize, spec: &BatchSpec, now: Millis) -> Millis {
        let waiting = u64::try_from(self.waiting_pieces()).unwrap_or(u64::MAX);
        let throughput = self.throughput(targets, spec, now);
        let arriving = self.arrivals.rate_before(Rank::LEVELS, now);
        let spare = throughput
            .saturating_sub(arriving)
            .max(throughput / 20)
            .max(1);
        self.time_until_free(targets, now) + Millis(waiting * 1000 / spare)
    }

    /// Returns the number of pieces a second that the targets compute.
    ///
    /// If the queue was never empty in the window, this is the measured rate.
    /// Otherwise it follows from the duration of calls and the memory for
    /// results, neither of which accounts for the gaps between calls.
    fn throughput(&self, targets: usize, spec: &BatchSpec, now: Millis) -> u64 {
        let targets = u64::try_from(targets.max(1)).unwrap_or(u64::MAX);
        let cycle = spec.call_duration(spec.max_pieces / 2) + self.results.mean_lifetime();
        let bytes = self.arrivals.mean_bytes.max(1);
        let results = targets.saturating_mul(spec.result_capacity_bytes) / bytes;
        let capacity_throughput = results.saturating_mul(1000) / cycle.0.max(1);
        let max_throughput = targets
            .saturating_mul(spec.pieces_per_second())
            .min(capacity_throughput)
            .max(1);
        if self.empty_at + WINDOW > now {
            return max_throughput;
        }
        let measured = self.sent.rate_before(Rank::LEVELS, now);
        measured.clamp(
            (max_throughput / MIN_THROUGHPUT_PARTS).max(1),
            max_throughput,
        )
    }

    /// Returns the time until the first target is free; zero if one is free
    /// now.
    fn time_until_free(&self, targets: usize, now: Millis) -> Millis {
        let earliest_end = self
            .in_flight
            .iter()
            .map(|call| call.expected_end - now)
            .min();
        let is_full = self.in_flight.len() >= targets;
        earliest_end.filter(|_| is_full).unwrap_or_default()
    }
}
