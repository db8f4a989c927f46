//! The choice of the target that gets a request.
//!
//! Requests that share the start of their prompt go to the same engine, which
//! then reads the shared part once. Each daemon finds that engine by the same
//! hash, without asking anyone. A busy engine lets its requests go to the next
//! one by hash. Requests without a shared part go to the target with the least
//! expected work, with a small preference for the daemon's own domain.

use crate::derive::value;
use crate::hash;
use crate::name;

/// How much of its slots an engine may have in use, in percent, before
/// requests with an affinity to it go to the next one.
///
/// Reading a shared part again costs more than waiting in a half full batch.
const BUSY_PERCENT: u64 = 60;
/// By how much, in thousandths of its slots, a target in another domain counts
/// as busier; a round trip between domains takes a few milliseconds.
const OTHER_DOMAIN_PENALTY_PERMILLE: u64 = 100;

value! {
    /// A target that may get the request.
    pub struct Candidate {
        /// Its name.
        pub target: name::Target,
        /// How many requests are expected to be there.
        pub load: u32,
        /// How many it works on at a time.
        pub slots: u32,
        /// Whether calls to it have failed of late.
        pub is_avoided: bool,
        /// Whether it is in the daemon's own domain.
        pub is_same_domain: bool,
    }
}

impl Candidate {
    /// The expected work, in thousandths of the target's slots.
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

/// Picks the target of a request, by its index.
///
/// `affinity` names the shared start of the prompt; `draw` breaks ties.
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
