//! Rate of pieces by rank, over a sliding window.

use crate::clock::Millis;
use crate::request::routing_table::Rank;
use crate::stage::group::Group;

/// Length of a time bucket. All buckets together cover two seconds, which is
/// long compared with a call and short compared with a burst.
const BUCKET_LENGTH: Millis = Millis(250);
/// Number of buckets in the window.
const BUCKETS: usize = 8;
/// The window over which rates are averaged.
pub(super) const WINDOW: Millis = Millis(BUCKET_LENGTH.0 * BUCKETS as u64);
/// The newest piece counts as one part of this many in the moving mean of
/// result sizes.
const SIZE_WEIGHT_PARTS: u64 = 64;

/// Counts pieces by time bucket and rank, and averages the size of their
/// results.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PieceRate {
    /// Bucket number, and the number of pieces by rank level.
    pub(super) buckets: [(u64, [u64; Rank::LEVELS]); BUCKETS],
    pub(super) mean_bytes: u64,
}

impl PieceRate {
    /// Counts the pieces of a group, and adds the size of their results to the
    /// mean.
    pub(super) fn record(&mut self, group: &Group, now: Millis) {
        for _ in &group.pieces {
            let former = self.mean_bytes.saturating_mul(SIZE_WEIGHT_PARTS - 1);
            self.mean_bytes = former.saturating_add(group.result_bytes) / SIZE_WEIGHT_PARTS;
        }
        let bucket_number = now.0 / BUCKET_LENGTH.0 + 1;
        let bucket =
            &mut self.buckets[usize::try_from(bucket_number).unwrap_or_default() % BUCKETS];
        if bucket.0 != bucket_number {
            *bucket = (bucket_number, [0; Rank::LEVELS]);
        }
        bucket.1[group.rank.level()] += group.pieces.len() as u64;
    }

    /// Returns the pieces a second of all ranks below `level`, which are the
    /// more urgent ones.
    pub(super) fn rate_before(&self, level: usize, now: Millis) -> u64 {
        let bucket_number = now.0 / BUCKET_LENGTH.0 + 1;
        let in_window = self.buckets.iter();
        let in_window = in_window.filter(|bucket| bucket.0 + (BUCKETS as u64) > bucket_number);
        let pieces: u64 = in_window.flat_map(|bucket| &bucket.1[..level]).sum();
        pieces * 1000 / (BUCKET_LENGTH.0 * BUCKETS as u64)
    }
}
