//! Graceful shutdown.
//!
//! A daemon that is asked to stop takes no new requests from clients. It keeps
//! serving its peers, since the list still names it as an owner, until nothing
//! is in progress or half of the time limit has passed. Then it closes: it also
//! refuses peers, and exits once nothing is in progress or the limit has passed.

use crate::clock::Millis;
use crate::derive::scalar;

scalar! {
    /// The phase of a shutdown.
    pub enum Phase {
        /// No shutdown has begun.
        Serving,
        /// The daemon takes no new requests and finishes those in progress.
        Draining,
        /// It may exit; all work has finished.
        Done,
        /// It must exit and abort the work that is still in progress.
        LimitReached,
    }

    /// The work that is still in progress.
    pub struct InProgress {
        /// Requests for which clients are waiting.
        pub requests: usize,
        /// Calls in flight at targets, queued calls, and running requests with
        /// an idempotency key.
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
    /// Begins the shutdown; a second call moves the deadline to now.
    pub fn begin(&mut self, limit: Millis, now: Millis) {
        match self.deadline {
            None => {
                self.deadline = Some(now + limit);
                self.closes_at = now + Millis(limit.0 / 2);
            }
            Some(_) => self.deadline = Some(now),
        }
    }

    /// Returns whether a shutdown has begun.
    #[inline]
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Closes the daemon when it is due; from then on it refuses peers.
    pub fn tick(&mut self, in_progress: InProgress, now: Millis) {
        let is_due = in_progress.is_idle() || now >= self.closes_at;
        self.is_closed |= self.has_begun() && is_due;
    }

    /// Returns whether peers are refused.
    #[inline]
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns the current phase.
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
