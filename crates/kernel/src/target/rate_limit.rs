//! Rate limits that targets name in their answers.
//!
//! A target in need names how many requests a second it takes from all daemons
//! together. The limit holds for one run of the target, until an answer of that run no
//! longer has it. Daemons tell each other of limits, since in a large fleet most have
//! not called the target for a while.
//!
//! A few daemons share the rate among them, and the others send nothing, so that the
//! shares add up to the limit in a fleet of any size. Each spends its share from an
//! [`Allowance`] that is empty at first: a daemon that has just got its share cannot
//! know what others, or its own former process, have sent until now.

use crate::clock::Millis;
use crate::derive::value;
use crate::fleet::allowance::Allowance;
use crate::fleet::share;
pub use crate::fleet::share::Rate;
use crate::name;
use crate::request::routing_table::Target;

/// The longest time between two requests of a daemon that has a share: in a larger
/// fleet fewer daemons have one. Each of them may save up one request, so many small
/// shares would allow a burst far above the limit.
const SEND_INTERVAL_MAX: Millis = Millis(2_000);
/// The time whose requests a daemon may save up, if they are more than one.
const SAVED_UP: Millis = Millis(1_000);
/// The lowest rate that is kept to. With none at all, nobody would learn that the
/// limit has ended.
const RATE_MIN: Rate = Rate(100);
/// How long a limit that has ended, or whose target is not listed, is remembered. Until
/// then it outweighs older news from peers, and an entry that lapsed may come back.
const MEMORY: Millis = Millis(60_000);
/// How many limits a greeting carries at most.
const GREETING_LIMITS_MAX: usize = 4;

value! {
    /// What a daemon tells its peers of the limit of a target.
    pub struct Observation {
        /// The target.
        pub target: name::Target,
        /// When its run began, as its entry says.
        pub started: u64,
        /// The limit; `None` if there is none any more.
        pub rate: Option<Rate>,
        /// When an answer of the target last said so.
        pub seen_at: Millis,
    }
}

/// What an answer changes about the rate limit of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The target names a limit, or another one than before.
    Named(Rate),
    /// The target no longer names a limit.
    Ended,
}

/// When a daemon may send its next request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextSend {
    /// At any time: the target has no limit.
    Unlimited,
    /// At this time, which may have passed.
    At(Millis),
    /// Not while other daemons have the shares of the limit.
    Never,
}

/// What a request can get whose targets are all out of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Booking<T> {
    /// Some of the targets have no limit, and may have capacity soon.
    Unlimited,
    /// This target takes the request first, at this time.
    At(Millis, T),
    /// Other daemons have the shares of all limits.
    NoShare,
}

impl NextSend {
    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn is_due(self, now: Millis) -> bool {
        match self {
            Self::Unlimited => true,
            Self::At(at) => at <= now,
            Self::Never => false,
        }
    }
}

/// The rate limit of one run of a target, as last observed.
#[derive(Clone, Debug)]
struct Limit {
    observation: Observation,
    allowance: Allowance,
}

/// The rate limits of targets, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: Vec<Limit>,
    /// Index at which the next greeting continues.
    next_in_greeting: usize,
}

/// Returns the part of a target's rate, as [`RateLimits::rate`] returns it, that falls to
/// one daemon; `None` if other daemons share it.
///
/// `fleet_size` is the largest number of daemons that was recently seen.
#[must_use]
pub fn share(
    rate: Rate,
    target: &name::Target,
    me: &name::Member,
    members: &[name::Member],
    fleet_size: usize,
) -> Option<Rate> {
    let holders = rate
        .0
        .saturating_mul(SEND_INTERVAL_MAX.0)
        .div_ceil(1_000_000);
    let place = share::Place {
        key: target.as_str(),
        me,
        members,
        fleet_size,
    };
    share::of_rate(rate, holders, &place)
}

/// Returns what a request can get whose targets are all out of capacity.
pub fn booking<T>(targets: impl Iterator<Item = (NextSend, T)>) -> Booking<T> {
    let mut earliest = Booking::NoShare;
    for (next_send, target) in targets {
        earliest = match (next_send, earliest) {
            (NextSend::Unlimited, _) => return Booking::Unlimited,
            (NextSend::At(at), Booking::NoShare) => Booking::At(at, target),
            (NextSend::At(at), Booking::At(best, _)) if at < best => Booking::At(at, target),
            (_, earliest) => earliest,
        };
    }
    earliest
}

impl RateLimits {
    /// Records the limit that an answer of a target names, if any; returns what has
    /// changed.
    pub fn observe(&mut self, target: &Target, rate: Option<Rate>, now: Millis) -> Option<Change> {
        if rate.is_none() && self.find(&target.name).is_err() {
            return None;
        }
        self.apply(Observation {
            target: target.name.clone(),
            started: target.started,
            rate,
            seen_at: now,
        })
    }

    /// Merges what a peer has observed; returns what has changed. What is known of the
    /// listed run, which started at `listed`, goes before what is known of others: an entry
    /// of another writer may have stated any start.
    pub fn merge(&mut self, observation: Observation, listed: Option<u64>) -> Option<Change> {
        let rank = |observation: &Observation| {
            let is_listed = Some(observation.started) == listed;
            (is_listed, observation.started, observation.seen_at)
        };
        if let Ok(index) = self.find(&observation.target)
            && rank(&self.limits[index].observation) >= rank(&observation)
        {
            return None;
        }
        self.apply(observation)
    }

    /// Returns some of the limits for a greeting. Each call continues where the last
    /// one ended.
    pub fn for_greeting(&mut self) -> Vec<Observation> {
        let count = self.limits.len();
        let start = self.next_in_greeting.checked_rem(count).unwrap_or(0);
        let selected = self.limits.iter().cycle().skip(start);
        let selected = selected.take(count.min(GREETING_LIMITS_MAX));
        let observations: Vec<_> = selected.map(|limit| limit.observation.clone()).collect();
        self.next_in_greeting = start + observations.len();
        observations
    }

    /// Returns the limit of this run of a target, or a low one if that is lower still.
    #[must_use]
    pub fn rate(&self, target: &Target) -> Option<Rate> {
        let rate = self.limit(target)?.observation.rate?;
        Some(rate.max(RATE_MIN))
    }

    /// Returns when this daemon, with this share of the limit, may send its next
    /// request to a target.
    #[must_use]
    pub fn next_send(&self, target: &Target, share: Option<Rate>, now: Millis) -> NextSend {
        match (self.limit(target), share) {
            (None, _) => NextSend::Unlimited,
            (Some(limit), _) if limit.observation.rate.is_none() => NextSend::Unlimited,
            (Some(_), None) => NextSend::Never,
            (Some(limit), Some(share)) => {
                NextSend::At(limit.allowance.with_share(share, now).next_at(now))
            }
        }
    }

    /// Counts a request to a target, which may be sent at the time that
    /// [`Self::next_send`] returns. Later requests may be sent later.
    pub fn spend(&mut self, target: &Target, share: Option<Rate>, now: Millis) {
        let found = self.find(&target.name).ok();
        if let (Some(index), Some(share)) = (found, share) {
            let allowance = &mut self.limits[index].allowance;
            *allowance = allowance.with_share(share, now).spent();
        }
    }

    /// Returns the targets with a limit.
    pub fn limited(&self) -> impl Iterator<Item = &name::Target> {
        let in_force = self.limits.iter();
        let in_force = in_force.filter(|limit| limit.observation.rate.is_some());
        in_force.map(|limit| &limit.observation.target)
    }

    /// Sets the share of this daemon in the limit of a target, which changes with the
    /// members of the fleet.
    pub fn set_share(&mut self, target: &name::Target, share: Option<Rate>, now: Millis) {
        if let Ok(index) = self.find(target) {
            let allowance = &mut self.limits[index].allowance;
            *allowance = allowance.with_share(share.unwrap_or(Rate(0)), now);
        }
    }

    /// Forgets the limits that have ended, and those of targets that are no longer
    /// listed.
    pub fn expire(&mut self, is_listed: impl Fn(&name::Target) -> bool, now: Millis) {
        self.limits.retain(|limit| {
            let observation = &limit.observation;
            let is_in_force = observation.rate.is_some() && is_listed(&observation.target);
            is_in_force || observation.seen_at + MEMORY > now
        });
    }

    fn apply(&mut self, observation: Observation) -> Option<Change> {
        let rate = observation.rate;
        let index = match self.find(&observation.target) {
            Ok(index) => index,
            Err(index) => {
                let limit = Limit {
                    observation: Observation {
                        rate: None,
                        ..observation.clone()
                    },
                    allowance: Allowance::empty_at(observation.seen_at, SAVED_UP),
                };
                self.limits.insert(index, limit);
                index
            }
        };
        let limit = &mut self.limits[index];
        let is_same_run = limit.observation.started == observation.started;
        let former = limit.observation.rate.filter(|_| is_same_run);
        if former.is_none() {
            limit.allowance = Allowance::empty_at(observation.seen_at, SAVED_UP);
        }
        limit.observation = observation;
        (former != rate).then(|| rate.map_or(Change::Ended, Change::Named))
    }

    /// Returns the limit of this run of a target.
    fn limit(&self, target: &Target) -> Option<&Limit> {
        let index = self.find(&target.name).ok()?;
        Some(&self.limits[index]).filter(|limit| limit.observation.started == target.started)
    }

    fn find(&self, target: &name::Target) -> Result<usize, usize> {
        self.limits
            .binary_search_by(|limit| limit.observation.target.cmp(target))
    }
}
