//! Rate limits that targets name in their answers.
//!
//! A target in need names how many requests a second it takes from all daemons
//! together. The limit holds for one run of the target, until an answer of that run no
//! longer has it.

use std::fmt;
use std::str::FromStr;

use crate::derive::scalar;
use crate::name;
use crate::request::routing_table::Target;

scalar! {
    /// A rate, in thousandths of a request a second.
    pub struct Rate(pub u64);
}

/// What an answer changes about the rate limit of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target names a limit, or another one than before.
    Named(Rate),
    /// The target no longer names a limit.
    Ended,
}

/// The rate limit of one run of a target, as last observed.
#[derive(Clone, Debug)]
struct Limit {
    target: name::Target,
    /// When the run began, as the target's entry says.
    started: u64,
    rate: Option<Rate>,
}

/// The rate limits of targets, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: Vec<Limit>,
}

impl RateLimits {
    /// Records the limit that an answer of a target names, if any; returns what has
    /// changed.
    pub fn observe(&mut self, target: &Target, rate: Option<Rate>) -> Option<Change> {
        let limit = self.limit_mut(target);
        if limit.rate == rate {
            return None;
        }
        limit.rate = rate;
        Some(rate.map_or(Change::Ended, Change::Named))
    }

    /// Drops the targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&name::Target) -> bool) {
        self.limits.retain(|limit| is_listed(&limit.target));
    }

    /// Returns the limit of this run of a target, which replaces that of another one.
    fn limit_mut(&mut self, target: &Target) -> &mut Limit {
        let fresh = || Limit {
            target: target.name.clone(),
            started: target.started,
            rate: None,
        };
        let found = self
            .limits
            .binary_search_by(|limit| limit.target.cmp(&target.name));
        let index = found.unwrap_or_else(|index| {
            self.limits.insert(index, fresh());
            index
        });
        if self.limits[index].started != target.started {
            self.limits[index] = fresh();
        }
        &mut self.limits[index]
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{:03}", self.0 / 1000, self.0 % 1000)
    }
}

impl FromStr for Rate {
    type Err = RateError;

    /// Parses a decimal number of requests a second; digits beyond thousandths are
    /// dropped.
    fn from_str(text: &str) -> Result<Self, RateError> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let is_number = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
        if whole.len() + fraction.len() == 0 || !is_number(whole) || !is_number(fraction) {
            return Err(RateError);
        }
        let whole: u64 = format!("0{whole}").parse().unwrap_or(u64::MAX);
        let thousandths: String = fraction.chars().chain("000".chars()).take(3).collect();
        let thousandths: u64 = thousandths.parse().map_err(|_| RateError)?;
        Ok(Self(whole.saturating_mul(1000).saturating_add(thousandths)))
    }
}

/// A text is not a number of requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateError;

impl fmt::Display for RateError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("not a decimal number of requests a second")
    }
}

impl std::error::Error for RateError {}
