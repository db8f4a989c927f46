//! How much a target bears, from cold start to warm.
//!
//! Unknown means cold. A target's limit doubles for every few answers in a
//! row, or for each answer that says "warm", and falls back to the cold limit
//! at once when the target says that it is cold or when its process fails.
//! Only calls that were sent after such a fall are evidence of its end. A limit
//! above the cold one also rests on recent answers: while none comes, the
//! target may have turned cold without a word. Above the point at which
//! latency last grew the limit climbs by one place at a time.
//! `docs/design/limits.md` weighs the rules.

use crate::clock::Millis;
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
        /// It answered with the reply to another call.
        Foreign,
        /// Its connection failed during the call, so its process may have died.
        Broken,
        /// No connection could be made, so it was not given the call.
        Unreachable,
        /// It did not answer in time.
        Slow,
    }

    /// A call that has ended, as evidence about its target.
    pub struct Evidence {
        /// What the call showed.
        pub sign: Sign,
        /// When it was sent.
        pub sent_at: Millis,
        /// How many calls the target had, with this one.
        pub in_flight: usize,
    }

    /// The latency of a target, averaged over a few and over many answers.
    #[derive(Default)]
    pub struct Pace {
        recent_fine: u64,
        usual_fine: u64,
    }

    /// The current limit of one target.
    pub struct Warmth {
        limit: u16,
        /// Where doubling ends and the limit climbs by one.
        threshold: u16,
        /// The answers that count towards the next climb.
        answers: u16,
        /// Calls that were sent earlier are no evidence for a climb.
        counts_from: Millis,
        /// When the target last answered.
        heard_at: Millis,
        pace: Pace,
    }
}

/// How long a limit above the cold one lasts on a target that is not asked.
const IDLE_MEMORY: Millis = Millis(2000);
/// How many usual latencies a busy target may be silent before its limit rests.
const SILENT_LATENCIES: u64 = 4;
/// What is added to that, so that fast targets are not judged by a hiccup.
const SILENT_MARGIN: Millis = Millis(100);
/// How many times the usual latency a target may take before its limit falls.
const GROWTH_MAX: u64 = 2;
/// What is added to that, for the same reason.
const GROWTH_MARGIN: Millis = Millis(20);
/// How fine latencies are averaged: fractions of a millisecond.
const FINE: u64 = 256;
/// How many answers the recent average covers, about.
const RECENT_ANSWERS: u64 = 8;
/// How many answers the usual average covers, about.
const USUAL_ANSWERS: u64 = 256;

impl Sign {
    /// Returns what the target said about itself, if it said anything.
    #[must_use]
    pub fn report(self) -> Option<Report> {
        match self {
            Self::Answered(report) | Self::Refused(report) | Self::Failed(report) => report,
            Self::Foreign | Self::Broken | Self::Unreachable | Self::Slow => None,
        }
    }

    /// Tells whether the call shows that the target is cold or has died.
    #[must_use]
    pub fn is_cold(self) -> bool {
        let is_gone = matches!(self, Self::Broken | Self::Unreachable);
        is_gone || self.report() == Some(Report::Cold)
    }
}

impl Pace {
    /// Takes in the latency of an answer.
    pub fn note(&mut self, latency: Millis) {
        let fine = latency.0.saturating_mul(FINE);
        if self.usual_fine == 0 {
            *self = Self {
                recent_fine: fine,
                usual_fine: fine,
            };
        }
        self.recent_fine = blend(self.recent_fine, fine, RECENT_ANSWERS);
        self.usual_fine = blend(self.usual_fine, fine, USUAL_ANSWERS);
    }

    /// Returns the latency of late; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn recent(&self) -> Millis {
        Millis(self.recent_fine / FINE)
    }

    /// Returns the latency over many answers; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn usual(&self) -> Millis {
        Millis(self.usual_fine / FINE)
    }

    /// Tells whether answers take much longer than they usually did.
    #[must_use]
    pub fn has_grown(&self) -> bool {
        let most = self.usual_fine * GROWTH_MAX + GROWTH_MARGIN.0 * FINE;
        self.recent_fine > most
    }
}

fn blend(old: u64, new: u64, answers: u64) -> u64 {
    (old * (answers - 1) + new) / answers
}

impl Warmth {
    /// Starts cold.
    #[must_use]
    pub fn new(pool: &Pool) -> Self {
        Self {
            limit: pool.cold_limit,
            threshold: pool.warm_limit,
            answers: 0,
            counts_from: Millis::ZERO,
            heard_at: Millis::ZERO,
            pace: Pace::default(),
        }
    }

    /// Returns how many calls the target bears now.
    ///
    /// `oldest` is when the oldest call in flight was sent.
    #[must_use]
    pub fn limit(&self, pool: &Pool, oldest: Option<Millis>, now: Millis) -> u16 {
        if self.is_heard(oldest, now) {
            self.limit.clamp(pool.cold_limit, pool.warm_limit)
        } else {
            pool.cold_limit
        }
    }

    /// Returns the latency of late; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn latency(&self) -> Millis {
        self.pace.recent()
    }

    /// Returns how long a busy target may be silent before its limit rests.
    #[must_use]
    pub fn patience(&self) -> Millis {
        Millis(self.pace.recent().0.saturating_mul(SILENT_LATENCIES)) + SILENT_MARGIN
    }

    /// Takes in what a call has shown.
    pub fn note(&mut self, evidence: Evidence, pool: &Pool, now: Millis) {
        if let Sign::Answered(_) = evidence.sign {
            self.pace.note(now - evidence.sent_at);
        }
        if evidence.sign.is_cold() {
            return self.chill(pool, now);
        }
        if evidence.sent_at < self.counts_from {
            return;
        }
        match evidence.sign {
            Sign::Answered(_) if self.pace.has_grown() => self.shrink(pool, now),
            Sign::Answered(report) => {
                self.heard_at = now;
                self.climb(evidence, report == Some(Report::Warm), pool);
            }
            Sign::Slow | Sign::Refused(_) => self.shrink(pool, now),
            Sign::Failed(_) | Sign::Foreign | Sign::Broken | Sign::Unreachable => self.answers = 0,
        }
    }

    /// Tells whether answers have come lately enough for the limit to hold.
    fn is_heard(&self, oldest: Option<Millis>, now: Millis) -> bool {
        if now - self.heard_at > IDLE_MEMORY.max(self.patience()) {
            return false;
        }
        let since = self.heard_at.max(oldest.unwrap_or(now));
        now - since <= self.patience()
    }

    fn chill(&mut self, pool: &Pool, now: Millis) {
        if self.limit > pool.cold_limit {
            self.counts_from = now;
        }
        self.limit = pool.cold_limit;
        self.threshold = pool.warm_limit;
        self.answers = 0;
    }

    /// Halves the limit, once for the calls that were in flight together.
    fn shrink(&mut self, pool: &Pool, now: Millis) {
        self.limit = (self.limit / 2).max(pool.cold_limit);
        self.threshold = self.limit;
        self.counts_from = now;
        self.answers = 0;
    }

    fn climb(&mut self, evidence: Evidence, says_warm: bool, pool: &Pool) {
        let is_fast = self.limit < self.threshold;
        let is_used = evidence.in_flight * 2 > usize::from(self.limit);
        if !is_fast && !is_used {
            return;
        }
        self.answers += 1;
        let needed = match (is_fast, says_warm) {
            (true, true) => 1,
            (true, false) => pool.warm_after,
            (false, _) => self.limit,
        };
        if self.answers < needed {
            return;
        }
        self.answers = 0;
        self.limit = if is_fast {
            self.limit.saturating_mul(2).min(self.threshold)
        } else {
            self.limit.saturating_add(1)
        };
        self.limit = self.limit.clamp(pool.cold_limit, pool.warm_limit);
    }
}
