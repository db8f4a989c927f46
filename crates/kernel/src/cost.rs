//! Adds up the target time that each stage of a request has cost.

use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// The cost of one stage of one request so far.
    pub struct Cost {
        /// The stage.
        pub stage: id::Stage,
        /// The number of attempts made.
        pub attempts: u16,
        /// How long targets worked on the stage, over all attempts.
        pub target_time: Millis,
        /// The part of that time spent on attempts that failed.
        pub wasted_time: Millis,
    }
}

impl Cost {
    /// Creates the cost of a stage without attempts.
    #[must_use]
    pub fn new(stage: id::Stage) -> Self {
        Self {
            stage,
            attempts: 0,
            target_time: Millis::ZERO,
            wasted_time: Millis::ZERO,
        }
    }

    /// Adds an attempt; its time counts as wasted unless `is_useful`.
    pub fn add_attempt(&mut self, target_time: Millis, is_useful: bool) {
        self.attempts = self.attempts.saturating_add(1);
        self.target_time = self.target_time + target_time;
        if !is_useful {
            self.wasted_time = self.wasted_time + target_time;
        }
    }

    /// Counts all the target time as wasted, when the request as a whole failed.
    pub fn mark_wasted(&mut self) {
        self.wasted_time = self.target_time;
    }
}
