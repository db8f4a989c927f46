//! How long clients have waited already, as the time that they still give
//! shows.
//!
//! A client that comes back after a refusal gives what is left of its time. Its
//! answer is due as much earlier, and it is served as one that is late if it has
//! waited for longer than the objective. But clients of one route differ in how
//! much time they give at first, so only what lies beyond that difference
//! certainly has passed.

use crate::clock::Millis;
use crate::name;

/// The part of the longest time by which the first times of clients differ, as
/// one part of so many. The logs of calm days show 0.15 on every route that has
/// stages.
const TIMEOUT_SPREAD_PARTS: u64 = 6;

/// The longest time that clients gave, by route, sorted.
#[derive(Clone, Debug, Default)]
pub struct PriorWaitEstimator {
    longest_timeouts: Vec<(name::Route, Millis)>,
}

impl PriorWaitEstimator {
    /// Returns how long a client that gives so much time has waited at least.
    ///
    /// A client that was refused comes back within a third of its time, so one
    /// that gives less than half of the longest is one of another kind.
    pub fn estimate(&mut self, route: &name::Route, timeout: Millis) -> Millis {
        let found = self
            .longest_timeouts
            .binary_search_by(|(known, _)| known.cmp(route));
        let index = found.unwrap_or_else(|index| {
            self.longest_timeouts
                .insert(index, (route.clone(), timeout));
            index
        });
        let longest = &mut self.longest_timeouts[index].1;
        *longest = timeout.max(*longest);
        if timeout.0 * 2 < longest.0 {
            return Millis::ZERO;
        }
        let shortest_first_timeout = *longest - Millis(longest.0 / TIMEOUT_SPREAD_PARTS);
        shortest_first_timeout - timeout
    }
}
