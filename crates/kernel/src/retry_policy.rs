//! When an attempt is made again.
//!
//! A retry needs a reason that makes it safe, time, and a place in the
//! budget. The budget is a share of the traffic, so that retries cannot
//! multiply the load of a fleet that is failing.

use crate::answer::Failure;
use crate::answer::Kind;
use crate::answer::Outcome;
use crate::clock::Millis;
use crate::derive::scalar;

scalar! {
    /// Why an attempt is made again.
    pub enum Reason {
        /// The target failed, and the stage is idempotent.
        TargetFailed,
        /// The target's queue was full.
        QueueFull,
        /// The target was found to be out.
        NoTarget,
        /// The owner of the target could not be reached.
        NoOwner,
        /// The owner's right rests.
        NoRight,
        /// The target did not answer in time, and the stage is idempotent.
        Slow,
    }

    /// Why an attempt is not made again.
    pub enum Denial {
        /// The way in which it failed is final.
        Final,
        /// It may have run, and the stage is not idempotent.
        Unsafe,
        /// The stage has had its attempts.
        Attempts,
        /// The daemon has made as many retries as its traffic allows.
        Budget,
        /// The deadline would pass first.
        Time,
    }

    /// A stage's own bounds on retries.
    pub struct RetryState {
        /// Whether a second run does no harm.
        pub is_idempotent: bool,
        /// How many attempts the stage may have.
        pub max_attempts: u16,
        /// How many it has had, without those that no owner decided.
        pub counted_attempts: u16,
        /// How often it was tried in any way.
        pub total_attempts: u16,
    }
}

impl Reason {
    /// Every reason.
    pub const ALL: [Self; 6] = [
        Self::TargetFailed,
        Self::QueueFull,
        Self::NoTarget,
        Self::NoOwner,
        Self::NoRight,
        Self::Slow,
    ];

    /// Returns the reason as it stands in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::TargetFailed => "target-failed",
            Self::QueueFull => "queue-full",
            Self::NoTarget => "no-target",
            Self::NoOwner => "no-owner",
            Self::NoRight => "no-right",
            Self::Slow => "slow",
        }
    }
}

impl Denial {
    /// Every denial.
    pub const ALL: [Self; 5] = [
        Self::Final,
        Self::Unsafe,
        Self::Attempts,
        Self::Budget,
        Self::Time,
    ];

    /// Returns the denial as it stands in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Final => "final",
            Self::Unsafe => "unsafe",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::Time => "time",
        }
    }
}

/// How often the baseline tries a stage again.
pub const BASELINE_RETRIES: u16 = 2;
/// How many attempts beyond its own a stage has while none of them ran.
const NOT_RUN_EXTRA_ATTEMPTS: u16 = 4;
/// How many thousandths of a retry each first attempt earns.
const DEPOSIT_THOUSANDTHS: u64 = 200;
/// What a retry costs that may give a target work twice, in thousandths.
const COST_THOUSANDTHS: u64 = 1000;
/// What a retry costs after an attempt that did not run, in thousandths.
const NOT_RUN_COST_THOUSANDTHS: u64 = 250;
/// The most that can be saved up, in thousandths.
const BALANCE_MAX_THOUSANDTHS: u64 = 20_000;
/// The pause before the first retry.
const BACKOFF_MIN: Millis = Millis(10);
/// The longest pause before a retry.
const BACKOFF_MAX: Millis = Millis(500);
/// How often the pause doubles at most.
const BACKOFF_DOUBLINGS_MAX: u16 = 6;

/// The retries that one daemon may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_thousandths: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_thousandths: BALANCE_MAX_THOUSANDTHS,
        }
    }
}

impl RetryBudget {
    /// Notes a first attempt, which earns a part of a retry.
    pub fn deposit(&mut self) {
        self.balance_thousandths =
            (self.balance_thousandths + DEPOSIT_THOUSANDTHS).min(BALANCE_MAX_THOUSANDTHS);
    }

    /// Spends a retry after the failure, and tells whether there was one left.
    ///
    /// An attempt that no owner decided cost no target anything, so the next
    /// one is free.
    #[must_use]
    pub fn withdraw(&mut self, reason: Reason, outcome: Outcome) -> bool {
        let cost = match (outcome, reason) {
            (Outcome::NotRun, Reason::NoOwner | Reason::NoRight) => 0,
            (Outcome::NotRun, _) => NOT_RUN_COST_THOUSANDTHS,
            (Outcome::Run | Outcome::Unknown, _) => COST_THOUSANDTHS,
        };
        let is_enough = self.balance_thousandths >= cost;
        if is_enough {
            self.balance_thousandths -= cost;
        }
        is_enough
    }
}

/// Returns why a failed attempt may be made again.
///
/// # Errors
/// Returns why it may not.
pub fn decide(failure: &Failure, retry_state: RetryState) -> Result<Reason, Denial> {
    let reason = match failure.kind {
        Kind::TargetFailed => Reason::TargetFailed,
        Kind::DeadlinePassed => Reason::Slow,
        Kind::QueueFull => Reason::QueueFull,
        Kind::NoTarget => Reason::NoTarget,
        Kind::NoOwner => Reason::NoOwner,
        Kind::NoRight => Reason::NoRight,
        _ => return Err(Denial::Final),
    };
    let is_not_run = failure.outcome == Outcome::NotRun;
    if !is_not_run && !retry_state.is_idempotent {
        return Err(Denial::Unsafe);
    }
    if may_reuse_targets(failure) {
        return Ok(reason);
    }
    let extra = if is_not_run {
        NOT_RUN_EXTRA_ATTEMPTS
    } else {
        0
    };
    if retry_state.counted_attempts >= retry_state.max_attempts.max(1) + extra {
        return Err(Denial::Attempts);
    }
    Ok(reason)
}

/// Tells whether a stage may go to targets again that it has tried, since no
/// owner decided about the attempt and soon one may.
#[must_use]
pub fn may_reuse_targets(failure: &Failure) -> bool {
    let is_undecided = matches!(failure.kind, Kind::NoOwner | Kind::NoRight);
    is_undecided && failure.outcome == Outcome::NotRun
}

/// Returns the pause before a retry: exponential, with jitter.
#[must_use]
pub fn backoff(total_attempts: u16, random: u64) -> Millis {
    let doubled = BACKOFF_MIN.0 << u64::from(total_attempts.min(BACKOFF_DOUBLINGS_MAX));
    let longest = doubled.min(BACKOFF_MAX.0);
    Millis(longest / 2 + random % (longest / 2 + 1))
}
