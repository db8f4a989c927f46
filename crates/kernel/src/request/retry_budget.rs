//! Budget for sending requests to a second target.
//!
//! All daemons share one budget for each service. A daemon doesn't know what
//! the others send, so each uses only its share: the ratio of its own requests,
//! and a part of the fixed slack. The shares sum to at most the fleet's
//! budget as long as each daemon counts no fewer members than there are.
//!
//! A daemon saves up its part of nearly half of the slack, which takes one window: in
//! any window it then spends what it had saved up and as much again. It has saved up
//! nothing when it starts, as its former run may have spent its part just before.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::fleet::allowance::Allowance;
use crate::fleet::share;
use crate::fleet::share::Rate;
use crate::name;

scalar! {
    /// The limits of the budget, for the whole fleet.
    pub struct RetryBudgetLimits {
        /// Retries allowed per thousand requests in the window.
        pub retries_per_thousand: u64,
        /// Additional retries in a window, which are allowed for any number of
        /// requests and shared by all daemons.
        pub slack_retries: u64,
        /// Length of the sliding window.
        pub window: Millis,
    }
}

/// How long after it was allowed a retry may be sent without being counted again.
///
/// A retry may wait for a target. Were it counted only when it is allowed, the retries
/// of several windows could be sent in one, when a target becomes available.
pub const SEND_DELAY_MAX: Millis = Millis(500);

/// Number of time buckets in the window. The retries of two more buckets count, but not
/// their requests: one is only partly within the window, and those of the other may
/// have reached their targets up to [`SEND_DELAY_MAX`] later.
const BUCKETS: usize = 10;
const KEPT_BUCKETS: usize = BUCKETS + 2;

#[derive(Clone, Copy, Debug, Default)]
struct TimeBucket {
    number: u64,
    requests: u64,
    /// Those that the ratio allowed, without those of the slack.
    retries: u64,
}

/// What a retry is taken from.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The ratio of the daemon's requests.
    Ratio,
    /// What it has saved up of the slack.
    Slack(Allowance),
}

#[derive(Clone, Debug)]
struct ServiceUsage {
    service: name::Service,
    buckets: [TimeBucket; KEPT_BUCKETS],
    /// What this daemon has saved up of the slack; `None` until its part is known.
    slack: Option<Allowance>,
}

impl ServiceUsage {
    /// Saves up slack until now. With the first part that is known, it does so since the
    /// start of the process.
    fn update_slack(&mut self, share: Rate, window: Millis, now: Millis) -> Allowance {
        let start = Millis::ZERO;
        let known = self.slack;
        let slack =
            known.unwrap_or_else(|| Allowance::empty_at(start, window).with_share(share, start));
        *self.slack.insert(slack.with_share(share, now))
    }
}

/// Returns a daemon's part of the rate at which the fleet saves up slack for a service;
/// zero if other daemons share it.
#[must_use]
pub fn slack_share(limits: &RetryBudgetLimits, place: &share::Place<'_>) -> Rate {
    // Half of what is used; an eleventh is left for retries that are sent a little
    // later than they are counted.
    let saved_up = limits.slack_retries * 5 / 11;
    let rate = saved_up.saturating_mul(1_000_000) / limits.window.0.max(1);
    // A part of less than one retry would never be spent.
    share::of_rate(Rate(rate), saved_up, place).unwrap_or(Rate(0))
}

/// Requests and retries that one daemon has sent in the window, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    usages: Vec<ServiceUsage>,
}

impl RetryBudget {
    /// Creates a budget without requests or retries.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self {
            limits,
            usages: Vec::new(),
        }
    }

    /// Counts a first request to the service.
    pub fn record_request(&mut self, service: &name::Service, now: Millis) {
        self.bucket(service, now).requests += 1;
    }

    /// Counts a retry to the service if this daemon's share allows one; returns
    /// whether it does.
    ///
    /// `slack_share` is its part of the slack, from [`slack_share`]; `None` as long as it
    /// does not know the fleet.
    pub fn try_spend(
        &mut self,
        service: &name::Service,
        slack_share: Option<Rate>,
        now: Millis,
    ) -> bool {
        match self.source(service, slack_share, now) {
            Some(Source::Ratio) => self.bucket(service, now).retries += 1,
            Some(Source::Slack(slack)) => self.usage(service).slack = Some(slack.spent()),
            None => return false,
        }
        true
    }

    /// Returns whether a retry to the service would be allowed now; counts nothing. The
    /// parameters are those of [`RetryBudget::try_spend`].
    pub fn has_left(
        &mut self,
        service: &name::Service,
        slack_share: Option<Rate>,
        now: Millis,
    ) -> bool {
        self.source(service, slack_share, now).is_some()
    }

    /// Returns what a retry would be taken from.
    fn source(
        &mut self,
        service: &name::Service,
        slack_share: Option<Rate>,
        now: Millis,
    ) -> Option<Source> {
        let newest = self.bucket_number(now);
        let oldest = newest.saturating_sub(KEPT_BUCKETS as u64 - 1);
        let oldest_of_requests = newest.saturating_sub(BUCKETS as u64 - 1);
        let limits = self.limits;
        let usage = self.usage(service);
        let slack = slack_share.map(|share| usage.update_slack(share, limits.window, now));
        let in_window = usage
            .buckets
            .iter()
            .filter(|bucket| bucket.number >= oldest);
        let (mut requests, mut retries) = (0, 0);
        for bucket in in_window {
            retries += bucket.retries;
            if bucket.number >= oldest_of_requests {
                requests += bucket.requests;
            }
        }
        if retries < requests * limits.retries_per_thousand / 1000 {
            return Some(Source::Ratio);
        }
        let slack = slack.filter(|slack| slack.next_at(now) <= now);
        slack.map(Source::Slack)
    }

    /// Returns the services for which requests were counted.
    pub fn services(&self) -> impl Iterator<Item = &name::Service> {
        self.usages.iter().map(|usage| &usage.service)
    }

    /// Saves up slack for a service. This daemon's part changes with the members of the
    /// fleet.
    pub fn set_slack_share(&mut self, service: &name::Service, share: Rate, now: Millis) {
        let window = self.limits.window;
        self.usage(service).update_slack(share, window, now);
    }

    /// Returns the limits of the budget.
    #[must_use]
    pub fn limits(&self) -> &RetryBudgetLimits {
        &self.limits
    }

    fn bucket_number(&self, now: Millis) -> u64 {
        // Numbers start above the window, so that an unused bucket (number 0)
        // is always outside it.
        let length = (self.limits.window.0 / BUCKETS as u64).max(1);
        now.0 / length + KEPT_BUCKETS as u64 + 1
    }

    fn usage(&mut self, service: &name::Service) -> &mut ServiceUsage {
        let found = self
            .usages
            .binary_search_by(|usage| usage.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let usage = ServiceUsage {
                service: service.clone(),
                buckets: Default::default(),
                slack: None,
            };
            self.usages.insert(index, usage);
            index
        });
        &mut self.usages[index]
    }

    fn bucket(&mut self, service: &name::Service, now: Millis) -> &mut TimeBucket {
        let number = self.bucket_number(now);
        let slot = usize::try_from(number % KEPT_BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.usage(service).buckets[slot];
        if bucket.number != number {
            *bucket = TimeBucket {
                number,
                ..TimeBucket::default()
            };
        }
        bucket
    }
}
