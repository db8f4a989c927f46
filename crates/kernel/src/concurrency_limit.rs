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
    pub enum ReportedState {
        /// It is in cold start.
        Cold,
        /// It is warm.
        Warm,
        /// It is leaving and takes nothing new.
        Leaving,
    }

    /// What a call showed about a target.
    pub enum TargetSignal {
        /// It answered; `None` if it says nothing about itself.
        Answered(Option<ReportedState>),
        /// It refused the call without running it.
        Refused(Option<ReportedState>),
        /// It took the call and failed on it, but its process lives.
        Failed(Option<ReportedState>),
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
    pub struct Observation {
        /// What the call showed.
        pub signal: TargetSignal,
        /// When it was sent.
        pub sent_at: Millis,
        /// How many calls the target had, with this one, when it had more: at
        /// the send or at the end.
        pub in_flight: usize,
    }

    /// The latency of a target, averaged over a few and over many answers.
    #[derive(Default)]
    pub struct LatencyAverages {
        recent_fixed: u64,
        long_term_fixed: u64,
    }

    /// A halved limit that is being tried, since latency has grown.
    struct Trial {
        /// The limit before.
        limit: u16,
        /// The latency under it, once measured, in fractions of a millisecond.
        before_fixed: Option<u64>,
        /// The latencies measured now, added up in the same fractions.
        sum_fixed: u64,
        /// How many answers that is.
        answers: u64,
    }

    /// The current limit of one target.
    pub struct ConcurrencyLimit {
        limit: u16,
        /// Where doubling ends and the limit climbs by one.
        slow_start_threshold: u16,
        /// The answers that count towards the next climb.
        answers: u16,
        /// Calls that were sent earlier are no evidence for a climb.
        evidence_from: Millis,
        /// When the target last answered.
        last_answer_at: Millis,
        latency: LatencyAverages,
        trial: Option<Trial>,
    }
}

/// How long a limit above the cold one lasts on a target that is not asked.
const IDLE_TTL: Millis = Millis(2000);
/// How many usual latencies a busy target may be silent before its limit rests.
const SILENCE_LATENCIES: u64 = 4;
/// What is added to that, so that fast targets are not judged by a hiccup.
const SILENCE_MARGIN: Millis = Millis(100);
/// How many times the usual latency a target may take before its limit falls.
const LATENCY_GROWTH_FACTOR: u64 = 2;
/// What is added to that, for the same reason.
const LATENCY_GROWTH_MARGIN: Millis = Millis(20);
/// How much of its work a target must do under a halved limit for that to stay.
const WORK_KEPT_PERCENT: u64 = 85;
/// How many answers a trial takes at least.
const TRIAL_ANSWERS_MIN: u64 = 4;
/// How fine latencies are averaged: fractions of a millisecond.
const FIXED_POINT_SCALE: u64 = 256;
/// How many answers the recent average covers, about.
const RECENT_ANSWERS: u64 = 8;
/// How many answers the usual average covers, about.
const LONG_TERM_ANSWERS: u64 = 64;

impl TargetSignal {
    /// Returns what the target said about itself, if it said anything.
    #[must_use]
    pub fn reported_state(self) -> Option<ReportedState> {
        match self {
            Self::Answered(report) | Self::Refused(report) | Self::Failed(report) => report,
            Self::Foreign | Self::Broken | Self::Unreachable | Self::NotSent | Self::Slow => None,
        }
    }

    /// Tells whether the call shows that the target is cold or has died.
    #[must_use]
    pub fn is_cold(self) -> bool {
        let is_gone = matches!(self, Self::Broken | Self::Unreachable);
        is_gone || self.reported_state() == Some(ReportedState::Cold)
    }
}

impl LatencyAverages {
    /// Takes in the latency of an answer.
    ///
    /// Answers of a busy target do not change what is usual; otherwise what is
    /// usual would follow a latency that grows slowly with the limit.
    pub fn record(&mut self, latency: Millis, is_busy: bool) {
        let fixed = latency.0.saturating_mul(FIXED_POINT_SCALE);
        if self.long_term_fixed == 0 {
            *self = Self {
                recent_fixed: fixed,
                long_term_fixed: fixed,
            };
        }
        self.recent_fixed = moving_average(self.recent_fixed, fixed, RECENT_ANSWERS);
        if !is_busy {
            self.long_term_fixed = moving_average(self.long_term_fixed, fixed, LONG_TERM_ANSWERS);
        }
    }

    /// Returns the latency of late; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn recent(&self) -> Millis {
        Millis(self.recent_fixed / FIXED_POINT_SCALE)
    }

    /// Returns the latency over many answers; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn long_term(&self) -> Millis {
        Millis(self.long_term_fixed / FIXED_POINT_SCALE)
    }

    /// Tells whether answers take much longer than they usually did.
    #[must_use]
    pub fn has_grown(&self) -> bool {
        let longest = self.long_term_fixed * LATENCY_GROWTH_FACTOR
            + LATENCY_GROWTH_MARGIN.0 * FIXED_POINT_SCALE;
        self.recent_fixed > longest
    }
}

fn moving_average(old: u64, new: u64, answers: u64) -> u64 {
    (old * (answers - 1) + new) / answers
}

impl Trial {
    fn new(limit: u16, before_fixed: Option<u64>) -> Self {
        Self {
            limit,
            before_fixed,
            sum_fixed: 0,
            answers: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Starts cold.
    #[must_use]
    pub fn new(pool: &Pool) -> Self {
        Self {
            limit: pool.cold_limit,
            slow_start_threshold: pool.warm_limit,
            answers: 0,
            evidence_from: Millis::ZERO,
            last_answer_at: Millis::ZERO,
            latency: LatencyAverages::default(),
            trial: None,
        }
    }

    /// Returns how many calls the target bears now.
    ///
    /// `oldest_sent_at` is when the oldest call in flight was sent.
    #[must_use]
    pub fn limit(&self, pool: &Pool, oldest_sent_at: Option<Millis>, now: Millis) -> u16 {
        if self.has_recent_answer(oldest_sent_at, now) {
            self.limit.clamp(pool.cold_limit, pool.warm_limit)
        } else {
            pool.cold_limit
        }
    }

    /// Returns the latency of late; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn latency(&self) -> Millis {
        self.latency.recent()
    }

    /// Returns how long a busy target may be silent before its limit rests.
    #[must_use]
    pub fn silence_limit(&self) -> Millis {
        Millis(self.latency.recent().0.saturating_mul(SILENCE_LATENCIES)) + SILENCE_MARGIN
    }

    /// Takes in what a call has shown.
    pub fn record(&mut self, observation: Observation, pool: &Pool, now: Millis) {
        let is_busy = observation.in_flight * 2 > usize::from(self.limit);
        if let TargetSignal::Answered(_) = observation.signal {
            self.latency.record(now - observation.sent_at, is_busy);
        }
        if observation.signal.is_cold() {
            return self.reset_to_cold(pool, now);
        }
        if observation.sent_at < self.evidence_from {
            return;
        }
        match observation.signal {
            TargetSignal::Answered(report) => {
                self.last_answer_at = now;
                if let Some(trial) = self.trial {
                    self.record_trial_answer(trial, now - observation.sent_at, pool, now);
                } else if is_busy && self.limit > pool.cold_limit && self.latency.has_grown() {
                    self.trial = Some(Trial::new(self.limit, None));
                } else {
                    self.raise(is_busy, report == Some(ReportedState::Warm), pool);
                }
            }
            TargetSignal::Slow | TargetSignal::Refused(_) => self.halve(pool, now),
            TargetSignal::Failed(_)
            | TargetSignal::Foreign
            | TargetSignal::Broken
            | TargetSignal::Unreachable => self.answers = 0,
            TargetSignal::NotSent => {}
        }
    }

    /// Takes in a report that the target was cold at the moment.
    ///
    /// Reports lag, so one that was made before the last answer says nothing.
    pub fn record_cold_report(&mut self, reported_at: Millis, pool: &Pool, now: Millis) {
        if reported_at > self.last_answer_at {
            self.reset_to_cold(pool, now);
        }
    }

    /// Tells whether answers have come lately enough for the limit to hold.
    fn has_recent_answer(&self, oldest_sent_at: Option<Millis>, now: Millis) -> bool {
        if now - self.last_answer_at > IDLE_TTL.max(self.silence_limit()) {
            return false;
        }
        let since = self.last_answer_at.max(oldest_sent_at.unwrap_or(now));
        now - since <= self.silence_limit()
    }

    fn reset_to_cold(&mut self, pool: &Pool, now: Millis) {
        if self.limit > pool.cold_limit {
            self.evidence_from = now;
        }
        self.limit = pool.cold_limit;
        self.slow_start_threshold = pool.warm_limit;
        self.answers = 0;
        self.trial = None;
    }

    /// Halves the limit, once for the calls that were in flight together.
    fn halve(&mut self, pool: &Pool, now: Millis) {
        self.limit = (self.limit / 2).max(pool.cold_limit);
        self.slow_start_threshold = self.limit;
        self.evidence_from = now;
        self.answers = 0;
        self.trial = None;
    }

    /// Takes in an answer of a trial: some are measured under the limit at
    /// which latency grew, and as many as that under half of it.
    fn record_trial_answer(&mut self, mut trial: Trial, latency: Millis, pool: &Pool, now: Millis) {
        trial.sum_fixed += latency.0.saturating_mul(FIXED_POINT_SCALE);
        trial.answers += 1;
        self.trial = Some(trial);
        if trial.answers < u64::from(self.limit).max(TRIAL_ANSWERS_MIN) {
            return;
        }
        let mean_fixed = trial.sum_fixed / trial.answers;
        match trial.before_fixed {
            None => {
                self.halve(pool, now);
                self.trial = Some(Trial::new(trial.limit, Some(mean_fixed)));
            }
            Some(before_fixed) => self.end_trial(trial.limit, before_fixed, mean_fixed),
        }
    }

    /// Ends a trial with the latency that was measured under half the limit.
    ///
    /// If the target does nearly as much work as before, the calls were in each
    /// other's way and the lower limit stays. Otherwise its work takes longer
    /// now, which fewer calls do not cure, so the former limit is restored.
    fn end_trial(&mut self, limit: u16, before_fixed: u64, after_fixed: u64) {
        let done_before = before_fixed * u64::from(self.limit) * 100;
        let done_after = after_fixed * u64::from(limit) * WORK_KEPT_PERCENT;
        if done_after > done_before {
            self.limit = limit;
            self.latency.long_term_fixed = after_fixed;
        }
        self.latency.recent_fixed = after_fixed;
        self.trial = None;
    }

    fn raise(&mut self, is_busy: bool, is_reported_warm: bool, pool: &Pool) {
        let is_below_threshold = self.limit < self.slow_start_threshold;
        if !is_below_threshold && !is_busy {
            return;
        }
        self.answers += 1;
        let needed = match (is_below_threshold, is_reported_warm) {
            (true, true) => 1,
            (true, false) => pool.warm_after,
            (false, _) => self.limit,
        };
        if self.answers < needed {
            return;
        }
        self.answers = 0;
        self.limit = if is_below_threshold {
            self.limit.saturating_mul(2).min(self.slow_start_threshold)
        } else {
            self.limit.saturating_add(1)
        };
        self.limit = self.limit.clamp(pool.cold_limit, pool.warm_limit);
    }
}
