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

    /// A stage's own bounds on retries.
    pub struct Bounds {
        /// Whether a second run does no harm.
        pub is_idempotent: bool,
        /// How many attempts the stage may have.
        pub attempts: u16,
        /// How many it has had.
        pub made: u16,
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

/// How often the baseline tries a stage again.
pub const BASELINE_RETRIES: u16 = 2;
/// How many thousandths of a retry each first attempt earns.
const EARNED_MILLIS: u64 = 200;
/// What one retry costs, in thousandths.
const COST_MILLIS: u64 = 1000;
/// The most that can be saved up, in thousandths.
const SAVED_MAX_MILLIS: u64 = 20_000;
/// The pause before the first retry.
const FIRST_PAUSE: Millis = Millis(10);
/// The longest pause before a retry.
const LONGEST_PAUSE: Millis = Millis(500);

/// The retries that one daemon may still make.
#[derive(Clone, Debug)]
pub struct Budget {
    saved_millis: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved_millis: SAVED_MAX_MILLIS,
        }
    }
}

impl Budget {
    /// Notes a first attempt, which earns a part of a retry.
    pub fn earn(&mut self) {
        self.saved_millis = (self.saved_millis + EARNED_MILLIS).min(SAVED_MAX_MILLIS);
    }

    /// Spends a retry, and tells whether there was one left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let is_enough = self.saved_millis >= COST_MILLIS;
        if is_enough {
            self.saved_millis -= COST_MILLIS;
        }
        is_enough
    }
}

/// Returns why a failed attempt may be made again, or `None` if it may not.
#[must_use]
pub fn reason(failure: &Failure, bounds: Bounds) -> Option<Reason> {
    if bounds.made >= bounds.attempts.max(1) && failure.outcome != Outcome::NotRun {
        return None;
    }
    if failure.outcome != Outcome::NotRun && !bounds.is_idempotent {
        return None;
    }
    match failure.kind {
        Kind::TargetFailed => Some(Reason::TargetFailed),
        Kind::DeadlinePassed => Some(Reason::Slow),
        Kind::QueueFull => Some(Reason::QueueFull),
        Kind::NoTarget => Some(Reason::NoTarget),
        Kind::NoOwner => Some(Reason::NoOwner),
        Kind::NoRight => Some(Reason::NoRight),
        _ => None,
    }
}

/// Returns the pause before a retry: exponential, with full jitter.
#[must_use]
pub fn pause(made: u16, random: u64) -> Millis {
    let doubled = FIRST_PAUSE.0 << u64::from(made.min(6));
    let longest = doubled.min(LONGEST_PAUSE.0);
    Millis(longest / 2 + random % (longest / 2 + 1))
}
