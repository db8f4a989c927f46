//! Choice of the target that gets a request.
//!
//! Requests with the same prompt prefix go to the same engine, which then
//! processes the prefix only once. Every daemon finds that engine by rendezvous
//! hashing, without communication. If it is busy, the requests go to the next
//! engine in hash order. Requests without a shared prefix go to the target with
//! the lowest relative load, with a small preference for the daemon's own
//! failure domain.

use crate::derive::value;
use crate::hash;
use crate::name;

/// Share of an engine's slots in use, in percent, from which requests with an
/// affinity to it go to the next engine.
///
/// Processing the prefix again costs more than waiting in a half full batch.
const BUSY_PERCENT: u64 = 60;
/// Load that is added to a target in another failure domain, in thousandths of
/// its slots. A round trip between domains takes a few milliseconds.
const OTHER_DOMAIN_PENALTY_PERMILLE: u64 = 100;

value! {
    /// A target that may get the request.
    pub struct Candidate {
        /// The name of the target.
        pub target: name::Target,
        /// Number of requests that are expected to be at the target.
        pub load: u32,
        /// Number of requests that it works on at the same time.
        pub slots: u32,
        /// Whether recent calls to it have failed.
        pub is_avoided: bool,
        /// Whether it is in the daemon's own failure domain.
        pub is_same_domain: bool,
    }
}

impl Candidate {
    /// Returns the expected load in thousandths of the slots, with the penalty
    /// for another failure domain.
    fn relative_load(&self) -> u64 {
        let penalty = if self.is_same_domain {
            0
        } else {
            OTHER_DOMAIN_PENALTY_PERMILLE
        };
        u64::from(self.load) * 1000 / u64::from(self.slots.max(1)) + penalty
    }

    fn is_busy(&self) -> bool {
        u64::from(self.load) * 100 >= u64::from(self.slots) * BUSY_PERCENT
    }
}

/// Returns the index of the target that a request prefers, if that target is a candidate
/// and is not avoided.
#[must_use]
pub fn pick_preferred(candidates: &[Candidate], preferred: &name::Target) -> Option<usize> {
    let is_preferred =
        |candidate: &Candidate| candidate.target == *preferred && !candidate.is_avoided;
    candidates.iter().position(is_preferred)
}

/// Picks the target of a request; returns its index.
///
/// `affinity` is the hash of the shared prompt prefix, if there is one, and
/// `draw` breaks ties.
#[must_use]
pub fn pick(candidates: &[Candidate], affinity: Option<u64>, draw: u64) -> Option<usize> {
    let is_any_healthy = candidates.iter().any(|candidate| !candidate.is_avoided);
    let indexes = 0..candidates.len();
    let usable = indexes.filter(|index| !(is_any_healthy && candidates[*index].is_avoided));
    let weight =
        |index: usize, seed: u64| hash::mix(seed, hash::text(candidates[index].target.as_str()));
    match affinity {
        None => {
            usable.min_by_key(|index| (candidates[*index].relative_load(), weight(*index, draw)))
        }
        Some(affinity) => {
            let key = |index: &usize| (candidates[*index].is_busy(), !weight(*index, affinity));
            usable.min_by_key(key)
        }
    }
}
