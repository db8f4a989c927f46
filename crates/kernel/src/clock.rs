//! The one clock type of the project.
//!
//! Every time in the kernel is a [`Millis`] on the monotonic clock of the
//! process that holds it. Times of two processes are never compared; a message
//! carries a remaining span instead.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::Sub;
use std::str::FromStr;

use crate::derive::scalar;

scalar! {
    /// A count of milliseconds: a moment on the monotonic clock, or a span.
    ///
    /// Arithmetic saturates, since a moment before the start of the process
    /// and a span of more than an eternity both mean "none".
    #[derive(Default)]
    pub struct Millis(pub u64);
}

impl Millis {
    /// The start of the clock, or an empty span.
    pub const ZERO: Self = Self(0);
    /// A moment that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Makes a span of whole seconds.
    #[inline]
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// Rounds the span up to whole seconds, as `Retry-After` needs it.
    #[inline]
    #[must_use]
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }
}

impl Add for Millis {
    type Output = Self;

    #[inline]
    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    #[inline]
    fn sub(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

impl FromStr for Millis {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
