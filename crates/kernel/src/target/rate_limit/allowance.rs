//! The requests that a daemon may send to a target with a rate limit.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::target::rate_limit::Rate;

/// One request, in millionths. A rate in thousandths of a request a second adds that
/// many millionths in a millisecond.
const REQUEST: i64 = 1_000_000;
/// The time whose requests may be saved up, but at least one request.
const SAVED_UP: Millis = Millis(1_000);

scalar! {
    /// Requests that are saved up at a rate, and less than none after some were booked
    /// for later.
    pub(super) struct Allowance {
        share: Rate,
        /// In millionths of a request.
        level: i64,
        /// When `level` was computed.
        at: Millis,
    }
}

impl Allowance {
    /// Creates an allowance of no requests.
    pub(super) fn empty_at(now: Millis) -> Self {
        Self {
            share: Rate(0),
            level: 0,
            at: now,
        }
    }

    /// Returns the allowance at a time, from which on it has this share.
    pub(super) fn with_share(self, share: Rate, now: Millis) -> Self {
        let level = self.level.saturating_add(amount(self.share, now - self.at));
        let level_max = amount(self.share, SAVED_UP).max(REQUEST);
        Self {
            share,
            level: level.min(level_max),
            at: now.max(self.at),
        }
    }

    /// Returns when one more request may be sent; [`Millis::NEVER`] without a share.
    pub(super) fn next_at(self, now: Millis) -> Millis {
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
    pub(super) fn spent(self) -> Self {
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
