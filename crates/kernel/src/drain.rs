//! Graceful shutdown.
//!
//! A daemon that is asked to stop takes no new requests of callers. It goes on
//! serving its peers, since the list still names it as an owner, until nothing
//! is in progress or half of its limit has passed. Then it closes: peers are
//! refused as well, and it exits once the rest has ended or its limit has
//! passed.

use crate::clock::Millis;
use crate::derive::scalar;

scalar! {
    /// How far a shutdown has come.
    pub enum Phase {
        /// The daemon serves.
        Serving,
        /// It takes nothing new and finishes what it has.
        Draining,
        /// It may exit; nothing was cut.
        Done,
        /// It must exit; what is in progress is cut.
        LimitReached,
    }

    /// What is still in progress.
    pub struct InProgress {
        /// Requests that callers wait for.
        pub requests: usize,
        /// Calls at targets, calls that wait for a place, and runs of keys.
        pub calls: usize,
    }
}

impl InProgress {
    fn is_idle(self) -> bool {
        self.requests == 0 && self.calls == 0
    }
}

/// The shutdown of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    deadline: Option<Millis>,
    closes_at: Millis,
    is_closed: bool,
}

impl Drain {
    /// Begins to shut down; a second call ends it at once.
    pub fn begin(&mut self, limit: Millis, now: Millis) {
        match self.deadline {
            None => {
                self.deadline = Some(now + limit);
                self.closes_at = now + Millis(limit.0 / 2);
            }
            Some(_) => self.deadline = Some(now),
        }
    }

    /// Tells whether a shutdown has begun.
    #[inline]
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Closes when it is due; from then on peers are refused.
    pub fn tick(&mut self, in_progress: InProgress, now: Millis) {
        let is_due = in_progress.is_idle() || now >= self.closes_at;
        self.is_closed |= self.has_begun() && is_due;
    }

    /// Tells whether peers are refused.
    #[inline]
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns how far the shutdown has come.
    #[must_use]
    pub fn phase(&self, in_progress: InProgress, now: Millis) -> Phase {
        match self.deadline {
            None => Phase::Serving,
            Some(_) if self.is_closed && in_progress.is_idle() => Phase::Done,
            Some(deadline) if now >= deadline => Phase::LimitReached,
            Some(_) => Phase::Draining,
        }
    }
}
