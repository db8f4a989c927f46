//! How many pieces came in, or were sent, of late, by rank.

use crate::clock::Millis;
use crate::request::routing_table::Rank;
use crate::stage::group::Group;

/// The length of a step in which arrivals are counted: all of them are two
/// seconds, which is long against a call and short against a burst.
const STEP: Millis = Millis(250);
/// How many steps count.
const STEPS: usize = 8;
/// The span over which a rate is taken.
pub(super) const WINDOW: Millis = Millis(STEP.0 * STEPS as u64);
/// The weight of the newest piece in the mean size, as one part of so many.
const SIZES: u64 = 64;

/// Counts pieces in steps of a quarter of a second, and their mean size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrivals {
    pub(super) steps: [(u64, [u64; Rank::LEVELS]); STEPS],
    pub(super) bytes: u64,
}

impl Arrivals {
    /// Counts a group's pieces, and their size.
    pub(super) fn note(&mut self, group: &Group, now: Millis) {
        for _ in &group.pieces {
            self.bytes = (self.bytes * (SIZES - 1) + group.bytes) / SIZES;
        }
        let number = now.0 / STEP.0 + 1;
        let step = &mut self.steps[usize::try_from(number).unwrap_or_default() % STEPS];
        if step.0 != number {
            *step = (number, [0; Rank::LEVELS]);
        }
        step.1[group.rank.level()] += group.pieces.len() as u64;
    }

    /// Returns how many pieces of the levels before this one came in a second
    /// of late.
    pub(super) fn rate_before(&self, level: usize, now: Millis) -> u64 {
        let number = now.0 / STEP.0 + 1;
        let fresh = self.steps.iter();
        let fresh = fresh.filter(|step| step.0 + (STEPS as u64) > number);
        let pieces: u64 = fresh.flat_map(|step| &step.1[..level]).sum();
        pieces * 1000 / (STEP.0 * STEPS as u64)
    }
}
