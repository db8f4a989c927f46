//! Adapts the limit on the calls in flight at a target, from cold to warm.
//!
//! A target about which nothing is known counts as cold. Its limit doubles
//! after every few answers in a row, or after each answer that reports "warm"
//! (slow start). It falls back to the cold limit at once when the target
//! reports that it is cold or when its process fails; afterwards only calls
//! sent since then count towards a higher limit. A limit above the cold one
//! requires recent answers: a target that does not answer may have turned cold
//! without reporting it. Above the limit at which latency last grew, the limit
//! rises by one call at a time. When latency has grown, half the limit is tried,
//! and kept if the target does nearly as much work under it.
//! `docs/design/limits.md` compares alternatives.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::settings::Pool;

scalar! {
    /// The state that a target reports about itself in a reply.
    pub enum ReportedState {
        /// The target is in cold start.
        Cold,
        /// The target is warm.
        Warm,
        /// The target is leaving and accepts no new calls.
        Leaving,
    }

    /// What a call showed about its target.
    pub enum TargetSignal {
        /// The target answered, and may have reported its state.
        Answered(Option<ReportedState>),
        /// The target refused the call without running it.
        Refused(Option<ReportedState>),
        /// The target accepted the call and failed on it, but its process lives.
        Failed(Option<ReportedState>),
        /// The reply belonged to another call.
        Foreign,
        /// The connection failed during the call, so the process may have died.
        Broken,
        /// No connection could be made, so the target did not get the call.
        Unreachable,
        /// The call was not sent, for a reason unrelated to the target.
        NotSent,
        /// The target did not answer in time.
        Slow,
    }

    /// A call that has ended, as an observation of its target.
    pub struct Observation {
        /// What the call showed about the target.
        pub signal: TargetSignal,
        /// When the call was sent.
        pub sent_at: Millis,
        /// The number of calls in flight, including this one, when it was sent
        /// or when it ended, whichever is greater.
        pub in_flight: usize,
    }

    /// The moving averages of a latency over a few and over many answers, in
    /// fixed point.
    #[derive(Default)]
    pub struct LatencyAverages {
        recent_fixed: u64,
        long_term_fixed: u64,
    }

    /// A trial of half the limit, made because latency has grown.
    struct Trial {
        /// The limit before the trial.
        former_limit: u16,
        /// The mean latency under the former limit, once measured, in fixed point.
        former_latency_fixed: Option<u64>,
        /// The sum of the latencies being measured, in fixed point.
        latency_sum_fixed: u64,
        /// The number of latencies in the sum.
        answers: u64,
    }

    /// The adaptive concurrency limit of one target.
    pub struct ConcurrencyLimit {
        limit: u16,
        /// The limit from which on it rises by one instead of doubling.
        slow_start_threshold: u16,
        /// The number of answers that count towards the next rise.
        answers: u16,
        /// Calls that were sent earlier do not change the limit, unless they show
        /// that the target is cold.
        evidence_from: Millis,
        /// When the target last answered.
        last_answer_at: Millis,
        latency: LatencyAverages,
        trial: Option<Trial>,
    }
}

/// How long an idle target keeps a limit above the cold one.
const IDLE_TTL: Millis = Millis(2000);
/// A busy target that has not answered for this many times its recent latency
/// gets the cold limit.
const SILENCE_LATENCIES: u64 = 4;
/// Added to that time, so that a brief delay at a fast target does not count.
const SILENCE_MARGIN: Millis = Millis(100);
/// Half the limit is tried when the recent latency exceeds this many times the
/// long-term one.
const LATENCY_GROWTH_FACTOR: u64 = 2;
/// Added to that bound, so that a brief delay at a fast target does not count.
const LATENCY_GROWTH_MARGIN: Millis = Millis(20);
/// The percentage of its former throughput that a target must reach under half
/// the limit for the lower limit to be kept.
const WORK_KEPT_PERCENT: u64 = 85;
/// The least number of answers that a trial measures.
const TRIAL_ANSWERS_MIN: u64 = 4;
/// The fixed-point units in a millisecond, in which latencies are averaged.
const FIXED_POINT_SCALE: u64 = 256;
/// Roughly how many answers the recent average covers.
const RECENT_ANSWERS: u64 = 8;
/// Roughly how many answers the long-term average covers.
const LONG_TERM_ANSWERS: u64 = 64;

impl TargetSignal {
    /// Returns the state that the target reported, if any.
    #[must_use]
    pub fn reported_state(self) -> Option<ReportedState> {
        match self {
            Self::Answered(report) | Self::Refused(report) | Self::Failed(report) => report,
            Self::Foreign | Self::Broken | Self::Unreachable | Self::NotSent | Self::Slow => None,
        }
    }

    /// Returns whether the call shows that the target is cold or has died.
    #[must_use]
    pub fn is_cold(self) -> bool {
        let is_gone = matches!(self, Self::Broken | Self::Unreachable);
        is_gone || self.reported_state() == Some(ReportedState::Cold)
    }
}

impl LatencyAverages {
    /// Records the latency of an answer.
    ///
    /// Answers of a busy target do not change the long-term average; otherwise
    /// it would follow a latency that grows slowly with the limit.
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

    /// Returns the recent average latency; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn recent(&self) -> Millis {
        Millis(self.recent_fixed / FIXED_POINT_SCALE)
    }

    /// Returns the long-term average latency; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn long_term(&self) -> Millis {
        Millis(self.long_term_fixed / FIXED_POINT_SCALE)
    }

    /// Returns whether the recent latency is far above the long-term one.
    #[must_use]
    pub fn has_grown(&self) -> bool {
        let bound = self.long_term_fixed * LATENCY_GROWTH_FACTOR
            + LATENCY_GROWTH_MARGIN.0 * FIXED_POINT_SCALE;
        self.recent_fixed > bound
    }
}

fn moving_average(old: u64, new: u64, answers: u64) -> u64 {
    (old * (answers - 1) + new) / answers
}

impl Trial {
    fn new(former_limit: u16, former_latency_fixed: Option<u64>) -> Self {
        Self {
            former_limit,
            former_latency_fixed,
            latency_sum_fixed: 0,
            answers: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Creates the limit of a target about which nothing is known: the cold limit.
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

    /// Returns how many calls the target may have in flight now.
    ///
    /// `oldest_sent_at` is when the oldest call in flight was sent. Without
    /// recent answers the cold limit applies.
    #[must_use]
    pub fn limit(&self, pool: &Pool, oldest_sent_at: Option<Millis>, now: Millis) -> u16 {
        if self.has_recent_answer(oldest_sent_at, now) {
            self.limit.clamp(pool.cold_limit, pool.warm_limit)
        } else {
            pool.cold_limit
        }
    }

    /// Returns the recent average latency; zero if nothing was measured.
    #[inline]
    #[must_use]
    pub fn latency(&self) -> Millis {
        self.latency.recent()
    }

    /// Returns how long a busy target may go without an answer before the cold
    /// limit applies.
    #[must_use]
    pub fn silence_limit(&self) -> Millis {
        Millis(self.latency.recent().0.saturating_mul(SILENCE_LATENCIES)) + SILENCE_MARGIN
    }

    /// Updates the limit by what a call showed.
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

    /// Applies a platform report that the target was cold at `reported_at`.
    ///
    /// Such reports lag behind, so one older than the last answer is ignored.
    pub fn record_cold_report(&mut self, reported_at: Millis, pool: &Pool, now: Millis) {
        if reported_at > self.last_answer_at {
            self.reset_to_cold(pool, now);
        }
    }

    /// Returns whether an answer is recent enough for the adapted limit to apply.
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

    /// Halves the limit. Calls that are in flight already cannot halve it again.
    fn halve(&mut self, pool: &Pool, now: Millis) {
        self.limit = (self.limit / 2).max(pool.cold_limit);
        self.slow_start_threshold = self.limit;
        self.evidence_from = now;
        self.answers = 0;
        self.trial = None;
    }

    /// Records an answer during a trial.
    ///
    /// The trial measures the mean latency first under the limit at which
    /// latency grew, then under half of it.
    fn record_trial_answer(&mut self, mut trial: Trial, latency: Millis, pool: &Pool, now: Millis) {
        trial.latency_sum_fixed += latency.0.saturating_mul(FIXED_POINT_SCALE);
        trial.answers += 1;
        self.trial = Some(trial);
        if trial.answers < u64::from(self.limit).max(TRIAL_ANSWERS_MIN) {
            return;
        }
        let mean_fixed = trial.latency_sum_fixed / trial.answers;
        match trial.former_latency_fixed {
            None => {
                self.halve(pool, now);
                self.trial = Some(Trial::new(trial.former_limit, Some(mean_fixed)));
            }
            Some(former_fixed) => self.end_trial(trial.former_limit, former_fixed, mean_fixed),
        }
    }

    /// Ends a trial with the latency that was measured under half the limit.
    ///
    /// If the target does nearly as much work as before, the calls were slowing
    /// each other down, and the lower limit is kept. Otherwise the work itself
    /// takes longer, which fewer calls cannot change, so the former limit is
    /// restored.
    ///
    /// The throughput under a limit is the limit divided by the latency. To avoid
    /// divisions, both throughputs are multiplied by both latencies.
    fn end_trial(
        &mut self,
        former_limit: u16,
        former_latency_fixed: u64,
        halved_latency_fixed: u64,
    ) {
        let halved_throughput = former_latency_fixed * u64::from(self.limit) * 100;
        let former_throughput = halved_latency_fixed * u64::from(former_limit) * WORK_KEPT_PERCENT;
        if former_throughput > halved_throughput {
            self.limit = former_limit;
            self.latency.long_term_fixed = halved_latency_fixed;
        }
        self.latency.recent_fixed = halved_latency_fixed;
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
