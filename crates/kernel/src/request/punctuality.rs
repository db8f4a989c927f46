//! Whether an answer is on time for its client.
//!
//! A stream is late if its first event is, or if it pauses for too long between two
//! events. Most late streams are late by a pause, so the first event alone does not tell.

use std::fmt;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;

scalar! {
    /// Why an answer is late.
    pub enum Lateness {
        /// It is on time.
        No,
        /// Its first event came too late.
        First,
        /// A pause between two of its events was too long.
        Gap,
        /// Both its first event and a pause were too late.
        Both,
    }
}

value! {
    /// When the events of an answer were passed on.
    #[derive(Default)]
    pub struct Punctuality {
        first_at: Option<Millis>,
        /// When the last event was passed on, and the target that sent it.
        last: Option<(Millis, name::Target)>,
        longest_gap: Millis,
        gap_target: Option<name::Target>,
    }
}

impl Lateness {
    /// Returns the text for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::First => "first",
            Self::Gap => "gap",
            Self::Both => "both",
        }
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

impl Punctuality {
    /// Records an answer that is passed on as a whole; it replaces an earlier one.
    pub fn record_whole(&mut self, now: Millis) {
        *self = Self {
            first_at: Some(now),
            ..Self::default()
        };
    }

    /// Records events of a stream that this target sent and that are passed on now. A
    /// pause counts for the target that sent the event before it, also if the stream goes
    /// on at another one.
    pub fn record_event(&mut self, now: Millis, target: &name::Target) {
        self.first_at.get_or_insert(now);
        let last = self.last.replace((now, target.clone()));
        if let Some((last_at, last_target)) = last
            && now - last_at > self.longest_gap
        {
            self.longest_gap = now - last_at;
            self.gap_target = Some(last_target);
        }
    }

    /// Returns when the first event was passed on.
    #[must_use]
    pub fn first_at(&self) -> Option<Millis> {
        self.first_at
    }

    /// Returns when the last event was passed on.
    #[must_use]
    pub fn last_at(&self) -> Option<Millis> {
        self.last.as_ref().map(|(at, _)| *at)
    }

    /// Returns the longest pause between two events; zero with fewer than two.
    #[must_use]
    pub fn longest_gap(&self) -> Millis {
        self.longest_gap
    }

    /// Returns the target that was streaming when the longest pause began.
    #[must_use]
    pub fn gap_target(&self) -> Option<&name::Target> {
        self.gap_target.as_ref()
    }

    /// Decides whether the answer is late. Without an event it counts as passed on at
    /// `now`. Pauses do not matter if `gap_max` is zero.
    #[must_use]
    pub fn lateness(&self, now: Millis, on_time_by: Millis, gap_max: Millis) -> Lateness {
        let is_first_late = self.first_at.unwrap_or(now) > on_time_by;
        let is_gap_late = gap_max > Millis::ZERO && self.longest_gap > gap_max;
        match (is_first_late, is_gap_late) {
            (false, false) => Lateness::No,
            (true, false) => Lateness::First,
            (false, true) => Lateness::Gap,
            (true, true) => Lateness::Both,
        }
    }
}
