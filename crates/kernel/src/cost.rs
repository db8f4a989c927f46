//! What each stage has cost.

use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// What one stage of one request has cost so far.
    pub struct Cost {
        /// The stage.
        pub stage: id::Stage,
        /// How many attempts were made.
        pub attempts: u16,
        /// How long targets worked on it, over all attempts.
        pub target_time: Millis,
        /// How much of that was of no use, since the attempt failed.
        pub wasted_time: Millis,
    }
}

impl Cost {
    /// Starts at nothing.
    #[must_use]
    pub fn new(stage: id::Stage) -> Self {
        Self {
            stage,
            attempts: 0,
            target_time: Millis::ZERO,
            wasted_time: Millis::ZERO,
        }
    }

    /// Adds an attempt.
    pub fn add_attempt(&mut self, target_time: Millis, is_useful: bool) {
        self.attempts = self.attempts.saturating_add(1);
        self.target_time = self.target_time + target_time;
        if !is_useful {
            self.wasted_time = self.wasted_time + target_time;
        }
    }

    /// Counts all of it as of no use, since the request failed.
    pub fn mark_wasted(&mut self) {
        self.wasted_time = self.target_time;
    }
}
