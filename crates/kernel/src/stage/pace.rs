//! How long the calls at each target of a stage service take against the expected time.
//!
//! A target that has become slow gets calls only if nothing is done sooner elsewhere, and
//! smaller ones, so that less is lost with a call that is given up. One that became four
//! times slower got full calls of 60 pieces again and again, all of which were given up.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;

/// From how many percent of the pace of the fastest target on a target counts as slow. Healthy
/// targets differ by less, also if other work delays them for a part of a call.
const SLOW_PERCENT: u64 = 150;
/// The slowest pace that is learned, which bounds the timeouts that follow from it.
const PACE_MAX: u64 = 1_000;
/// In this time without a call the part of a pace above the expected one halves, so that a
/// target that has recovered gets calls again.
const HALF_LIFE: Millis = Millis(5_000);
/// The constant part of a call's timeout.
const TIMEOUT_SLACK: Millis = Millis(300);
/// The timeout of a call as a multiple of its expected duration by the settings, without the
/// constant part.
const TIMEOUT_FACTOR: u64 = 3;
/// The same as a multiple of the duration by the learned pace. It is smaller, since the pace
/// has been measured.
const LEARNED_TIMEOUT_FACTOR: u64 = 2;

scalar! {
    /// How long calls take at a target, in percent of the expected time; at least 100.
    pub struct Pace(pub u64);

    /// How a call ended, as far as it shows the pace of its target.
    pub enum Sample {
        /// It was answered after this time.
        Answered(Millis),
        /// It was given up after this time.
        GivenUp(Millis),
    }
}

value! {
    struct TargetPace {
        target: name::Target,
        pace: Pace,
        at: Millis,
    }

    /// The paces of targets that are not as fast as expected, sorted by target.
    #[derive(Default)]
    pub struct Paces {
        known: Vec<TargetPace>,
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self(100)
    }
}

impl std::fmt::Display for Pace {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}%", self.0)
    }
}

impl Pace {
    /// Returns how long something takes at this pace that is expected to take `expected`.
    #[must_use]
    pub fn stretch(self, expected: Millis) -> Millis {
        Millis(expected.0.saturating_mul(self.0).div_ceil(100))
    }

    /// Returns when a call is given up that is expected to take `expected`.
    #[must_use]
    pub fn timeout(self, expected: Millis) -> Millis {
        let usual = expected.0.saturating_mul(TIMEOUT_FACTOR);
        let learned = self
            .stretch(expected)
            .0
            .saturating_mul(LEARNED_TIMEOUT_FACTOR);
        Millis(usual.max(learned)) + TIMEOUT_SLACK
    }

    /// Returns whether a target with this pace is slow compared with the fastest one.
    #[must_use]
    pub fn is_slow(self, fastest: Self) -> bool {
        self.0 * 100 >= fastest.0 * SLOW_PERCENT
    }

    /// Returns the number of pieces in a call to a target with this pace that the fastest
    /// one would get `max_pieces` in a call.
    #[must_use]
    pub fn max_pieces(self, fastest: Self, max_pieces: usize) -> usize {
        if !self.is_slow(fastest) {
            return max_pieces;
        }
        let scale = |pace: Self| usize::try_from(pace.0.max(1)).unwrap_or(usize::MAX);
        (max_pieces * scale(fastest) / scale(self)).max(1)
    }
}

impl Paces {
    /// Learns from a call that was expected to take `expected` at the expected pace.
    ///
    /// A call that was given up would have taken longer than that. So would the next one,
    /// and its results would be lost, too: the pace follows at once.
    pub fn record(&mut self, target: &name::Target, expected: Millis, sample: Sample, now: Millis) {
        let measured = |took: Millis| (took.0 * 100 / expected.0.max(1)).clamp(100, PACE_MAX);
        let former = self.pace(target, now).0;
        let pace = Pace(match sample {
            Sample::Answered(took) => (former + measured(took)).div_ceil(2),
            Sample::GivenUp(took) => former.max(measured(took)),
        });
        let found = self
            .known
            .binary_search_by(|known| known.target.cmp(target));
        let entry = TargetPace {
            target: target.clone(),
            pace,
            at: now,
        };
        match found {
            Ok(index) => self.known[index] = entry,
            Err(index) => self.known.insert(index, entry),
        }
        self.known
            .retain(|known| known.pace_at(now) > Pace::default());
    }

    /// Returns the pace of a target.
    #[must_use]
    pub fn pace(&self, target: &name::Target, now: Millis) -> Pace {
        let found = self
            .known
            .binary_search_by(|known| known.target.cmp(target));
        found.map_or(Pace::default(), |index| self.known[index].pace_at(now))
    }
}

impl TargetPace {
    /// Returns the pace as far as it is still believed.
    fn pace_at(&self, now: Millis) -> Pace {
        let halvings = u32::try_from((now - self.at).0 / HALF_LIFE.0).unwrap_or(u32::MAX);
        let excess = self.pace.0.saturating_sub(Pace::default().0);
        Pace(Pace::default().0 + excess.checked_shr(halvings).unwrap_or(0))
    }
}
