//! How long groups wait in a queue, as far as that can be told.

use crate::clock::Millis;
use crate::request::routing_table::BatchSpec;
use crate::request::routing_table::Rank;
use crate::stage::arrivals::WINDOW;
use crate::stage::queue::OLDEST_EVERY;
use crate::stage::queue::Queue;

/// The part of what targets can make that they are taken to make at least.
const SHOWN_PART: u64 = 4;
/// For how long pieces are on their way through an earlier stage.
const ON_ITS_WAY: Millis = Millis(500);

impl Queue {
    /// Returns how long a new group of each rank waits for so many targets.
    #[must_use]
    pub fn waits(&self, targets: usize, pieces: &BatchSpec, now: Millis) -> [Millis; Rank::LEVELS] {
        let mut ahead = [0; Rank::LEVELS];
        for waiting in &self.waiting {
            let group = &waiting.group;
            let is_late = now > group.on_time;
            let level = group.rank.level();
            let level = if is_late { Rank::LEVELS - 1 } else { level };
            ahead[level] += group.pieces.len() as u64;
        }
        let rate = self.rate(targets, pieces, now);
        let first = self.first_free(targets, now);
        let mut before = 0;
        let mut waits = [Millis::ZERO; Rank::LEVELS];
        for (level, wait) in waits.iter_mut().enumerate() {
            before += ahead[level];
            // What is more urgent and comes in meanwhile goes first as well.
            let taken = self.arrivals.rate_before(level, now);
            let left = rate.saturating_sub(taken).max(rate / OLDEST_EVERY).max(1);
            // What is on its way through earlier stages makes the wait longer
            // by the time that it arrives.
            let coming = self.arrivals.rate_before(level + 1, now);
            let growth = coming.saturating_sub(rate) * ON_ITS_WAY.0 / rate;
            *wait = first + Millis(before * 1000 / left + growth);
        }
        waits
    }

    /// Returns how long a group that is late already waits, if requests go on
    /// coming in as they do.
    #[must_use]
    pub fn late_wait(&self, targets: usize, pieces: &BatchSpec, now: Millis) -> Millis {
        let all = u64::try_from(self.pieces()).unwrap_or(u64::MAX);
        let rate = self.rate(targets, pieces, now);
        let taken = self.arrivals.rate_before(Rank::LEVELS, now);
        let left = rate.saturating_sub(taken).max(rate / 20).max(1);
        self.first_free(targets, now) + Millis(all * 1000 / left)
    }

    /// Returns how many pieces a second the targets make.
    ///
    /// As long as something waits, what they have made of late shows it. Else
    /// it follows from the time of their calls and their room for results,
    /// which both leave out what calls lose between them.
    fn rate(&self, targets: usize, pieces: &BatchSpec, now: Millis) -> u64 {
        let targets = u64::try_from(targets.max(1)).unwrap_or(u64::MAX);
        let turn = pieces.call_duration(pieces.max_pieces / 2) + self.results.hold();
        let bytes = self.arrivals.bytes.max(1);
        let by_room = targets * pieces.result_capacity_bytes / bytes * 1000 / turn.0.max(1);
        let possible = (targets * pieces.pieces_per_second()).min(by_room).max(1);
        if self.empty_at + WINDOW > now {
            return possible;
        }
        let shown = self.sent.rate_before(Rank::LEVELS, now);
        shown.clamp((possible / SHOWN_PART).max(1), possible)
    }

    /// Returns when the first target falls free, if none is free now.
    fn first_free(&self, targets: usize, now: Millis) -> Millis {
        let soonest = self.busy.iter().map(|busy| busy.until - now).min();
        let is_full = self.busy.len() >= targets;
        soonest.filter(|_| is_full).unwrap_or_default()
    }
}
