//! How much a target bears, from cold start to warm.
//!
//! Unknown means cold. A target gains one place for every few answers in a
//! row, and falls back to its cold limit at once when it says that it is cold
//! or when its process fails.

use crate::derive::scalar;
use crate::settings::Pool;

scalar! {
    /// What a target says about itself in a reply or a report.
    pub enum Report {
        /// It is in cold start.
        Cold,
        /// It is warm.
        Warm,
        /// It is leaving and takes nothing new.
        Leaving,
    }

    /// What a call showed about a target.
    pub enum Sign {
        /// It answered; `None` if it says nothing about itself.
        Answered(Option<Report>),
        /// It refused the call without running it.
        Refused(Option<Report>),
        /// It took the call and failed on it, but its process lives.
        Failed(Option<Report>),
        /// Its connection failed during the call, so its process may have died.
        Broken,
        /// No connection could be made, so it was not given the call.
        Unreachable,
        /// It did not answer in time.
        Slow,
    }

    /// The current limit of one target.
    pub struct Warmth {
        limit: u16,
        answers: u16,
    }
}

impl Sign {
    /// Returns what the target said about itself, if it said anything.
    #[must_use]
    pub fn report(self) -> Option<Report> {
        match self {
            Self::Answered(report) | Self::Refused(report) | Self::Failed(report) => report,
            Self::Broken | Self::Unreachable | Self::Slow => None,
        }
    }
}

impl Warmth {
    /// Starts cold.
    #[must_use]
    pub fn new(pool: &Pool) -> Self {
        Self {
            limit: pool.cold_limit,
            answers: 0,
        }
    }

    /// Returns how many calls the target bears now.
    #[inline]
    #[must_use]
    pub fn limit(&self) -> u16 {
        self.limit
    }

    /// Tells whether the target is still at its cold limit.
    #[inline]
    #[must_use]
    pub fn is_cold(&self, pool: &Pool) -> bool {
        self.limit <= pool.cold_limit
    }

    /// Takes in what a call has shown.
    pub fn note(&mut self, sign: Sign, pool: &Pool) {
        match sign {
            Sign::Answered(Some(Report::Cold))
            | Sign::Refused(Some(Report::Cold))
            | Sign::Failed(Some(Report::Cold))
            | Sign::Broken
            | Sign::Unreachable => self.chill(pool),
            Sign::Answered(_) => self.warm(pool),
            Sign::Refused(_) | Sign::Failed(_) | Sign::Slow => self.answers = 0,
        }
        self.limit = self.limit.clamp(pool.cold_limit, pool.warm_limit);
    }

    fn chill(&mut self, pool: &Pool) {
        self.limit = pool.cold_limit;
        self.answers = 0;
    }

    fn warm(&mut self, pool: &Pool) {
        self.answers += 1;
        if self.answers >= pool.warm_after {
            self.answers = 0;
            self.limit = self.limit.saturating_mul(2);
        }
    }
}
