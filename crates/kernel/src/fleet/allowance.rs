//! What one daemon may send of a limit that holds for the whole fleet.
//!
//! An allowance is empty at first and fills at the daemon's share of the limit. A
//! process that has just started cannot know what its former run has sent, nor a daemon
//! that takes a share over what the one before it has. With a whole share at the start,
//! a fleet that restarts in turn would send its limit twice.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::fleet::share::Rate;

/// One request, in millionths. A rate in thousandths of a request a second adds that
/// many millionths in a millisecond.
const REQUEST: i64 = 1_000_000;

scalar! {
    /// Requests that are saved up at a rate, and less than none after some were booked
    /// for later.
    pub struct Allowance {
        share: Rate,
        /// The time whose requests may be saved up, but at least one request.
        saved_up: Millis,
        /// In millionths of a request.
        level: i64,
        /// When `level` was computed.
        at: Millis,
    }
}

impl Allowance {
    /// Creates an allowance that has no requests and no share yet. Later it saves up
    /// the requests of the time `saved_up`, but at least one.
    #[must_use]
    pub fn empty_at(now: Millis, saved_up: Millis) -> Self {
        Self {
            share: Rate(0),
            saved_up,
            level: 0,
            at: now,
        }
    }

    /// Returns the allowance at a time, from which on it has this share.
    #[must_use]
    pub fn with_share(self, share: Rate, now: Millis) -> Self {
        let level = self.level.saturating_add(amount(self.share, now - self.at));
        let level_max = amount(share, self.saved_up).max(REQUEST);
        Self {
            share,
            level: level.min(level_max),
            at: now.max(self.at),
            ..self
        }
    }

    /// Returns when one more request may be sent; [`Millis::NEVER`] without a share.
    #[must_use]
    pub fn next_at(self, now: Millis) -> Millis {
        let missing = REQUEST.saturating_sub(self.level).max(0);
        let missing = u64::try_from(missing).unwrap_or(u64::MAX);
        if missing == 0 {
            return now;
        }
        match missing.div_ceil(self.share.0.max(1)) {
            _ if self.share == Rate(0) => Millis::NEVER,
            wait => self.at + Millis(wait),
        }
    }

    /// Returns the allowance without the next request.
    #[must_use]
    pub fn spent(self) -> Self {
        Self {
            level: self.level.saturating_sub(REQUEST),
            ..self
        }
    }
}

/// Returns how much a rate adds in a time, in millionths of a request.
fn amount(rate: Rate, span: Millis) -> i64 {
    i64::try_from(rate.0.saturating_mul(span.0)).unwrap_or(i64::MAX)
}
