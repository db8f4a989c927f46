//! The time type of the kernel.
//!
//! Every time is a [`Millis`] on the monotonic clock of the process. Times of
//! different processes are never compared; messages carry durations instead,
//! such as the time that remains or an age.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::Mul;
use std::ops::Sub;
use std::str::FromStr;

use crate::derive::scalar;

scalar! {
    /// A number of milliseconds: a time on the monotonic clock, or a duration.
    ///
    /// Arithmetic saturates at [`Millis::ZERO`] and [`Millis::NEVER`], as times
    /// before the start of the process or beyond the range have no meaning.
    #[derive(Default)]
    pub struct Millis(pub u64);
}

impl Millis {
    /// The start of the clock, or a duration of zero.
    pub const ZERO: Self = Self(0);
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a duration of whole seconds.
    #[inline]
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// Returns the duration in seconds, rounded up, as `Retry-After` requires.
    #[inline]
    #[must_use]
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }
}

impl Add for Millis {
    type Output = Self;

    #[inline]
    fn add(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    #[inline]
    fn sub(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Mul<u64> for Millis {
    type Output = Self;

    #[inline]
    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
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
