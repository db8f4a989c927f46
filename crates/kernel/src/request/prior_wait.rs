//! Estimates how long a retrying client has already waited.
//!
//! A client that retries after a refusal sends the rest of its timeout. Its
//! answer is due earlier by the time that the client has waited, and is late
//! from the start if the client has waited for longer than the latency
//! objective. The timeouts of first requests on one route differ too, so only
//! a difference beyond that spread is known to be waiting time.

use crate::clock::Millis;
use crate::name;

/// The timeout of a first request is shorter than the longest one on its route
/// by at most the longest divided by this number. On routes with stages they
/// differ by up to 0.15 of the longest, which one sixth covers.
const TIMEOUT_SPREAD_PARTS: u64 = 6;

/// The longest timeout that clients have sent, by route, sorted by route.
#[derive(Clone, Debug, Default)]
pub struct PriorWaitEstimator {
    longest_timeouts: Vec<(name::Route, Millis)>,
}

impl PriorWaitEstimator {
    /// Returns the least time for which a client with this timeout has waited,
    /// and updates the longest timeout of the route.
    ///
    /// Clients retry within a third of their timeout, so a timeout below half
    /// of the longest one belongs to a different kind of client and not to a
    /// retry.
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
        if timeout * 2 < *longest {
            return Millis::ZERO;
        }
        let shortest_first_timeout = *longest - Millis(longest.0 / TIMEOUT_SPREAD_PARTS);
        shortest_first_timeout - timeout
    }
}
