//! When a connection of a client is closed: it may be idle, and the head of a request may
//! take, as long as the settings allow.
//!
//! Clients learn of new settings at another time than the daemons, and choose a connection
//! by how long it has been idle. So lower limits hold only for what begins after them, and
//! some seconds later.

use crate::clock::Millis;
use crate::request::routing_table::ClientLimits;

/// How long clients may go by former limits: longer than it takes until new settings are
/// known everywhere.
pub const FORMER_LIMITS_FOR: Millis = Millis(5_000);

/// The limits that clients may go by.
#[derive(Clone, Copy, Debug)]
pub struct RecentLimits {
    current: ClientLimits,
    /// The highest limits that were replaced, and until when clients may go by them.
    former: Option<(ClientLimits, Millis)>,
}

/// The result of checking a connection's timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutCheck {
    /// No timeout has passed; check again after this time.
    NotYet(Millis),
    /// The connection has been idle for too long.
    Idle,
    /// The head of a request is taking too long.
    SlowHead,
}

/// What a connection of a client has done last.
#[derive(Clone, Copy, Debug)]
pub struct ClientTimeouts {
    /// How many of its requests are in progress.
    in_progress: usize,
    /// Whether it has had a request.
    has_begun: bool,
    /// When the last byte of the last answer was sent, or the connection was accepted.
    idle_since: Millis,
    /// When the first bytes after that were read.
    head_since: Option<Millis>,
    /// The limits that its client could go by then.
    limits: ClientLimits,
}

impl RecentLimits {
    /// Creates the first limits.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            current: limits,
            former: None,
        }
    }

    /// Replaces the limits.
    pub fn replace(&mut self, limits: ClientLimits, now: Millis) {
        if limits != self.current {
            self.former = Some((self.at(now), now + FORMER_LIMITS_FOR));
            self.current = limits;
        }
    }

    /// Returns the highest limits that clients may go by.
    #[must_use]
    pub fn at(&self, now: Millis) -> ClientLimits {
        let former = self.former.filter(|(_, until)| now < *until);
        former.map_or(self.current, |(former, _)| self.current.max(former))
    }
}

impl ClientTimeouts {
    /// Begins with a connection that was accepted now.
    #[must_use]
    pub fn new(limits: ClientLimits, now: Millis) -> Self {
        Self {
            in_progress: 0,
            has_begun: false,
            idle_since: now,
            head_since: None,
            limits,
        }
    }

    /// Records that a request was read.
    pub fn begin(&mut self) {
        self.in_progress += 1;
        self.has_begun = true;
        self.head_since = None;
    }

    /// Records that the last byte of an answer was sent.
    pub fn end(&mut self, limits: ClientLimits, now: Millis) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.idle_since = now;
        self.limits = limits;
    }

    /// Records that bytes were read; only the first of a request count.
    pub fn record_bytes(&mut self, now: Millis) {
        if self.in_progress == 0 {
            self.head_since.get_or_insert(now);
        }
    }

    /// Returns whether it has had a request and no byte of another one has been read.
    #[must_use]
    pub fn is_between_requests(&self) -> bool {
        self.has_begun && self.in_progress == 0 && self.head_since.is_none()
    }

    /// Returns which timeout has passed, if any; none does while a request is in progress.
    #[must_use]
    pub fn check(&self, limits: ClientLimits, now: Millis) -> TimeoutCheck {
        let limits = limits.max(self.limits);
        if self.in_progress > 0 {
            return TimeoutCheck::NotYet(limits.idle_timeout);
        }
        let (end, timed_out) = match self.head_since {
            None => (self.idle_since + limits.idle_timeout, TimeoutCheck::Idle),
            Some(since) => (since + limits.header_timeout, TimeoutCheck::SlowHead),
        };
        if end <= now {
            timed_out
        } else {
            TimeoutCheck::NotYet(end - now)
        }
    }
}
