//! How many pieces came in, or were sent, of late, by rank.

use crate::clock::Millis;
use crate::request::routing_table::Rank;
use crate::stage::group::Group;

/// The length of a step in which arrivals are counted: all of them are two
/// seconds, which is long against a call and short against a burst.
const BUCKET_LENGTH: Millis = Millis(250);
/// How many steps count.
const BUCKETS: usize = 8;
/// The span over which a rate is taken.
pub(super) const WINDOW: Millis = Millis(BUCKET_LENGTH.0 * BUCKETS as u64);
/// The weight of the newest piece in the mean size, as one part of so many.
const SIZE_WEIGHT_PARTS: u64 = 64;

/// Counts pieces in steps of a quarter of a second, and their mean size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PieceRate {
    pub(super) buckets: [(u64, [u64; Rank::LEVELS]); BUCKETS],
    pub(super) mean_bytes: u64,
}

impl PieceRate {
    /// Counts a group's pieces, and their size.
    pub(super) fn record(&mut self, group: &Group, now: Millis) {
        for _ in &group.pieces {
            self.mean_bytes = (self.mean_bytes * (SIZE_WEIGHT_PARTS - 1) + group.result_bytes)
                / SIZE_WEIGHT_PARTS;
        }
        let bucket_number = now.0 / BUCKET_LENGTH.0 + 1;
        let bucket =
            &mut self.buckets[usize::try_from(bucket_number).unwrap_or_default() % BUCKETS];
        if bucket.0 != bucket_number {
            *bucket = (bucket_number, [0; Rank::LEVELS]);
        }
        bucket.1[group.rank.level()] += group.pieces.len() as u64;
    }

    /// Returns how many pieces of the levels before this one came in a second
    /// of late.
    pub(super) fn rate_before(&self, level: usize, now: Millis) -> u64 {
        let bucket_number = now.0 / BUCKET_LENGTH.0 + 1;
        let in_window = self.buckets.iter();
        let in_window = in_window.filter(|bucket| bucket.0 + (BUCKETS as u64) > bucket_number);
        let pieces: u64 = in_window.flat_map(|bucket| &bucket.1[..level]).sum();
        pieces * 1000 / (BUCKET_LENGTH.0 * BUCKETS as u64)
    }
}
