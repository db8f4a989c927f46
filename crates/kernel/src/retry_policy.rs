//! Decides whether a failed attempt is retried, and after which backoff.
//!
//! A retry must be safe, must be possible before the deadline, and must fit
//! into the retry budget. The budget is a share of the traffic, so that retries
//! cannot multiply the load of a failing fleet.

use crate::answer::Failure;
use crate::answer::Kind;
use crate::answer::Outcome;
use crate::clock::Millis;
use crate::derive::scalar;

scalar! {
    /// Why an attempt is retried.
    pub enum Reason {
        /// The target failed, and the stage is idempotent.
        TargetFailed,
        /// The target's queue was full.
        QueueFull,
        /// The target may not be given work.
        NoTarget,
        /// The owner of the target could not be reached.
        NoOwner,
        /// The owner holds no lease on the target at the time.
        NoRight,
        /// The target did not answer in time, and the stage is idempotent.
        Slow,
    }

    /// Why an attempt is not retried.
    pub enum Denial {
        /// The failure is of a kind that is never retried.
        Final,
        /// The attempt may have run, and the stage is not idempotent.
        Unsafe,
        /// The stage has used up its attempts.
        Attempts,
        /// The retry budget of the daemon is used up.
        Budget,
        /// The deadline would pass before the retry.
        Time,
    }

    /// The attempts of a stage so far, and its limits on them.
    pub struct RetryState {
        /// Whether the stage may safely run more than once.
        pub is_idempotent: bool,
        /// The number of attempts that the settings allow for the stage.
        pub max_attempts: u16,
        /// The attempts made, without those that did not run because no owner of
        /// the target could be reached or none held the lease on it.
        pub counted_attempts: u16,
        /// All attempts made.
        pub total_attempts: u16,
    }
}

impl Reason {
    /// All reasons, in the order of declaration.
    pub const ALL: [Self; 6] = [
        Self::TargetFailed,
        Self::QueueFull,
        Self::NoTarget,
        Self::NoOwner,
        Self::NoRight,
        Self::Slow,
    ];

    /// Returns the label of the reason in metrics and logs.
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
    /// All denials, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::Final,
        Self::Unsafe,
        Self::Attempts,
        Self::Budget,
        Self::Time,
    ];

    /// Returns the label of the denial in metrics and logs.
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

/// How many times the baseline policy retries a stage.
pub const BASELINE_RETRIES: u16 = 2;
/// How many attempts beyond its maximum a stage may make if the last one did not
/// run.
const NOT_RUN_EXTRA_ATTEMPTS: u16 = 4;
/// How much a first attempt adds to the budget, in thousandths of a retry.
const DEPOSIT_THOUSANDTHS: u64 = 200;
/// The cost of a retry after an attempt that may have run, in thousandths.
const RETRY_COST_THOUSANDTHS: u64 = 1000;
/// The cost of a retry after an attempt that did not run, in thousandths.
const NOT_RUN_COST_THOUSANDTHS: u64 = 250;
/// The largest balance of the budget, in thousandths of a retry.
const BALANCE_MAX_THOUSANDTHS: u64 = 20_000;
/// The base of the exponential backoff, which doubles with each attempt.
const BACKOFF_BASE: Millis = Millis(10);
/// The longest backoff before a retry.
const BACKOFF_MAX: Millis = Millis(500);
/// How many times the backoff doubles at most.
const BACKOFF_DOUBLINGS_MAX: u16 = 6;

/// The retry budget of one daemon: a token bucket that first attempts refill.
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
    /// Adds the share of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance_thousandths =
            (self.balance_thousandths + DEPOSIT_THOUSANDTHS).min(BALANCE_MAX_THOUSANDTHS);
    }

    /// Pays for a retry if the balance allows it, and returns whether it did.
    ///
    /// The retry of an attempt that did not run for lack of an owner or of its
    /// lease is free, because the attempt cost no target anything.
    #[must_use]
    pub fn withdraw(&mut self, reason: Reason, outcome: Outcome) -> bool {
        let cost = match (outcome, reason) {
            (Outcome::NotRun, Reason::NoOwner | Reason::NoRight) => 0,
            (Outcome::NotRun, _) => NOT_RUN_COST_THOUSANDTHS,
            (Outcome::Run | Outcome::Unknown, _) => RETRY_COST_THOUSANDTHS,
        };
        let is_enough = self.balance_thousandths >= cost;
        if is_enough {
            self.balance_thousandths -= cost;
        }
        is_enough
    }
}

/// Returns why a failed attempt may be retried, without regard to budget and
/// deadline.
///
/// # Errors
/// Returns why it may not be retried.
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

/// Returns whether a stage may try targets again that it has tried before.
///
/// It may if the attempt did not run for lack of an owner or of its lease, since
/// an owner may soon be able to decide on it.
#[must_use]
pub fn may_reuse_targets(failure: &Failure) -> bool {
    let is_undecided = matches!(failure.kind, Kind::NoOwner | Kind::NoRight);
    is_undecided && failure.outcome == Outcome::NotRun
}

/// Returns the exponential backoff before a retry, randomized between half the
/// delay and the full delay.
#[must_use]
pub fn backoff(total_attempts: u16, random: u64) -> Millis {
    let doubled = BACKOFF_BASE.0 << u64::from(total_attempts.min(BACKOFF_DOUBLINGS_MAX));
    let longest = doubled.min(BACKOFF_MAX.0);
    Millis(longest / 2 + random % (longest / 2 + 1))
}
