//! Division of limits of the whole fleet among its daemons.
//!
//! Every daemon computes its own part from the members that it knows, without
//! agreement.

use std::fmt;
use std::str::FromStr;

use crate::derive::scalar;
use crate::hash;
use crate::name;

scalar! {
    /// A rate, in thousandths of a request a second.
    pub struct Rate(pub u64);
}

/// A daemon's place among those that share a limit.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// What the limit is about; each limit has another order of daemons.
    pub key: &'a str,
    /// The daemon.
    pub me: &'a name::Member,
    /// The daemons that it knows to be live, itself included.
    pub members: &'a [name::Member],
    /// The largest number of daemons that was recently seen: one that is away may
    /// still send.
    pub fleet_size: usize,
}

impl Place<'_> {
    /// Returns how many daemons come before this one, by rendezvous hashing.
    #[must_use]
    pub fn position(&self) -> usize {
        let weight =
            |member: &name::Member| hash::mix(hash::text(self.key), hash::text(member.as_str()));
        let own_weight = weight(self.me);
        let ahead = self.members.iter();
        ahead.filter(|member| weight(member) > own_weight).count()
    }

    /// Returns the largest number of daemons that was recently seen.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.fleet_size.max(self.members.len()).max(1)
    }
}

/// Returns a daemon's part of a rate that this number of daemons share, or all of them
/// if they are fewer; `None` if the daemon is not one of them.
#[must_use]
pub fn of_rate(rate: Rate, holders: u64, place: &Place<'_>) -> Option<Rate> {
    let fleet_size = u64::try_from(place.fleet_size()).unwrap_or(u64::MAX);
    let holders = holders.clamp(1, fleet_size);
    let position = u64::try_from(place.position()).unwrap_or(u64::MAX);
    (position < holders).then(|| Rate(rate.0 / holders))
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
