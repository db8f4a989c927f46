//! How much a target bears, from cold start to warm.
//!
//! Unknown means cold. A target's limit doubles for every few answers in a
//! row, or for each answer that says "warm", and falls back to the cold limit
//! at once when the target says that it is cold or when its process fails.
//! Only calls that were sent after such a fall are evidence of its end. A limit
//! above the cold one also rests on recent answers: while none comes, the
//! target may have turned cold without a word. Above the point at which
//! latency last grew the limit climbs by one place at a time. When latency has
//! grown, half the limit is tried and kept if as much work is done.
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
        /// The call was not sent, for a reason that is not the target's.
        NotSent,
        /// It did not answer in time.
        Slow,
    }

    /// A call that has ended, as evidence about its target.
    pub struct Evidence {
        /// What the call showed.
        pub sign: Sign,
        /// When it was sent.
        pub sent_at: Millis,
        /// How many calls the target had, with this one, when it had more: at
        /// the send or at the end.
        pub in_flight: usize,
    }

    /// The latency of a target, averaged over a few and over many answers.
    #[derive(Default)]
    pub struct Pace {
        recent_fine: u64,
        usual_fine: u64,
    }

    /// A halved limit that is being tried, since latency has grown.
    struct Trial {
        /// The limit before.
        limit: u16,
        /// The latency under it, once measured, in fractions of a millisecond.
        before_fine: Option<u64>,
        /// The latencies measured now, added up in the same fractions.
        sum_fine: u64,
        /// How many answers that is.
        answers: u64,
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
        trial: Option<Trial>,
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
/// How much of its work a target must do under a halved limit for that to stay.
const WORK_KEPT_PERCENT: u64 = 85;
/// How many answers a trial takes at least.
const TRIAL_ANSWERS_MIN: u64 = 4;
/// How fine latencies are averaged: fractions of a millisecond.
const FINE: u64 = 256;
/// How many answers the recent average covers, about.
const RECENT_ANSWERS: u64 = 8;
/// How many answers the usual average covers, about.
const USUAL_ANSWERS: u64 = 64;

impl Sign {
    /// Returns what the target said about itself, if it said anything.
    #[must_use]
    pub fn report(self) -> Option<Report> {
        match self {
            Self::Answered(report) | Self::Refused(report) | Self::Failed(report) => report,
            Self::Foreign | Self::Broken | Self::Unreachable | Self::NotSent | Self::Slow => None,
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
    ///
    /// Answers of a busy target do not change what is usual; otherwise what is
    /// usual would follow a latency that grows slowly with the limit.
    pub fn note(&mut self, latency: Millis, is_busy: bool) {
        let fine = latency.0.saturating_mul(FINE);
        if self.usual_fine == 0 {
            *self = Self {
                recent_fine: fine,
                usual_fine: fine,
            };
        }
        self.recent_fine = blend(self.recent_fine, fine, RECENT_ANSWERS);
        if !is_busy {
            self.usual_fine = blend(self.usual_fine, fine, USUAL_ANSWERS);
        }
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

impl Trial {
    fn new(limit: u16, before_fine: Option<u64>) -> Self {
        Self {
            limit,
            before_fine,
            sum_fine: 0,
            answers: 0,
        }
    }
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
            trial: None,
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
        let is_used = evidence.in_flight * 2 > usize::from(self.limit);
        if let Sign::Answered(_) = evidence.sign {
            self.pace.note(now - evidence.sent_at, is_used);
        }
        if evidence.sign.is_cold() {
            return self.chill(pool, now);
        }
        if evidence.sent_at < self.counts_from {
            return;
        }
        match evidence.sign {
            Sign::Answered(report) => {
                self.heard_at = now;
                if let Some(trial) = self.trial {
                    self.judge(trial, now - evidence.sent_at, pool, now);
                } else if is_used && self.limit > pool.cold_limit && self.pace.has_grown() {
                    self.trial = Some(Trial::new(self.limit, None));
                } else {
                    self.climb(is_used, report == Some(Report::Warm), pool);
                }
            }
            Sign::Slow | Sign::Refused(_) => self.shrink(pool, now),
            Sign::Failed(_) | Sign::Foreign | Sign::Broken | Sign::Unreachable => self.answers = 0,
            Sign::NotSent => {}
        }
    }

    /// Takes in a report that the target was cold at the moment.
    ///
    /// Reports lag, so one that was made before the last answer says nothing.
    pub fn note_report(&mut self, at: Millis, pool: &Pool, now: Millis) {
        if at > self.heard_at {
            self.chill(pool, now);
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
        self.trial = None;
    }

    /// Halves the limit, once for the calls that were in flight together.
    fn shrink(&mut self, pool: &Pool, now: Millis) {
        self.limit = (self.limit / 2).max(pool.cold_limit);
        self.threshold = self.limit;
        self.counts_from = now;
        self.answers = 0;
        self.trial = None;
    }

    /// Takes in an answer of a trial: some are measured under the limit at
    /// which latency grew, and as many as that under half of it.
    fn judge(&mut self, mut trial: Trial, latency: Millis, pool: &Pool, now: Millis) {
        trial.sum_fine += latency.0.saturating_mul(FINE);
        trial.answers += 1;
        self.trial = Some(trial);
        if trial.answers < u64::from(self.limit).max(TRIAL_ANSWERS_MIN) {
            return;
        }
        let mean_fine = trial.sum_fine / trial.answers;
        match trial.before_fine {
            None => {
                self.shrink(pool, now);
                self.trial = Some(Trial::new(trial.limit, Some(mean_fine)));
            }
            Some(before_fine) => self.end_trial(trial.limit, before_fine, mean_fine),
        }
    }

    /// Ends a trial with the latency that was measured under half the limit.
    ///
    /// If the target does nearly as much work as before, the calls were in each
    /// other's way and the lower limit stays. Otherwise its work takes longer
    /// now, which fewer calls do not cure, so the former limit is restored.
    fn end_trial(&mut self, limit: u16, before_fine: u64, after_fine: u64) {
        let done_before = before_fine * u64::from(self.limit) * 100;
        let done_after = after_fine * u64::from(limit) * WORK_KEPT_PERCENT;
        if done_after > done_before {
            self.limit = limit;
            self.pace.usual_fine = after_fine;
        }
        self.pace.recent_fine = after_fine;
        self.trial = None;
    }

    fn climb(&mut self, is_used: bool, says_warm: bool, pool: &Pool) {
        let is_fast = self.limit < self.threshold;
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
