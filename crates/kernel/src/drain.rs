//! Graceful shutdown.
//!
//! A daemon that is asked to stop takes no new requests, says goodbye to its
//! peers once its owned work has ended, and exits when nothing is in progress
//! or when its limit has passed.

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
        Cut,
    }

    /// What is still in progress.
    pub struct Load {
        /// Requests that callers wait for.
        pub requests: usize,
        /// Calls at targets, and calls that wait for a place.
        pub calls: usize,
    }
}

/// The shutdown of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    ends_by: Option<Millis>,
}

impl Drain {
    /// Begins to shut down; a second call ends it at once.
    pub fn begin(&mut self, limit: Millis, now: Millis) {
        self.ends_by = match self.ends_by {
            None => Some(now + limit),
            Some(_) => Some(now),
        };
    }

    /// Tells whether a shutdown has begun.
    #[inline]
    #[must_use]
    pub fn is_begun(&self) -> bool {
        self.ends_by.is_some()
    }

    /// Returns how far the shutdown has come.
    #[must_use]
    pub fn phase(&self, load: Load, now: Millis) -> Phase {
        match self.ends_by {
            None => Phase::Serving,
            Some(_) if load.requests == 0 && load.calls == 0 => Phase::Done,
            Some(ends_by) if now >= ends_by => Phase::Cut,
            Some(_) => Phase::Draining,
        }
    }
}
