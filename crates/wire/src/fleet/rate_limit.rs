//! Rate limits of targets, as daemons tell each other of them.

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::target::rate_limit;
use serde::Deserialize;
use serde::Serialize;

/// The rate limit of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// The name of the target.
    pub target: CompactString,
    /// When its run began, as its entry says.
    pub started: u64,
    /// Requests that it takes from all daemons, in thousandths a second; `None` if it
    /// has no limit any more.
    pub per_second_thousandths: Option<u64>,
    /// How long ago an answer of the target said so, in milliseconds.
    pub age_ms: u64,
}

impl RateLimit {
    /// Encodes what a daemon has observed.
    #[must_use]
    pub fn new(observation: &rate_limit::Observation, now: Millis) -> Self {
        Self {
            target: observation.target.as_str().into(),
            started: observation.started,
            per_second_thousandths: observation.rate.map(|rate| rate.0),
            age_ms: (now - observation.seen_at).0,
        }
    }

    /// Decodes an observation; its age becomes a time on this process's clock.
    #[must_use]
    pub fn decode(self, now: Millis) -> rate_limit::Observation {
        rate_limit::Observation {
            target: name::Target::new(&self.target),
            started: self.started,
            rate: self.per_second_thousandths.map(rate_limit::Rate),
            seen_at: now - Millis(self.age_ms),
        }
    }
}
