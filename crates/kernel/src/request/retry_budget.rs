//! Budget for sending requests to a second target.
//!
//! All daemons share one budget for each service. A daemon doesn't know what
//! the others send, so each uses only its share: the ratio of its own requests,
//! and an equal part of the fixed slack. The shares sum to at most the fleet's
//! budget as long as each daemon counts no fewer members than there are.

use crate::clock::Millis;
use crate::derive::scalar;
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

/// Number of time buckets in the window. One more is kept, since the oldest is
/// only partly within the window.
const BUCKETS: usize = 10;

#[derive(Clone, Copy, Debug, Default)]
struct TimeBucket {
    number: u64,
    requests: u64,
    retries: u64,
}

#[derive(Clone, Debug)]
struct ServiceUsage {
    service: name::Service,
    buckets: [TimeBucket; BUCKETS + 1],
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
    /// `members` is the number of daemons that share the budget.
    pub fn try_spend(&mut self, service: &name::Service, members: usize, now: Millis) -> bool {
        let members = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
        let oldest = self.bucket_number(now).saturating_sub(BUCKETS as u64);
        let limits = self.limits;
        let usage = self.usage(service);
        let in_window = usage
            .buckets
            .iter()
            .filter(|bucket| bucket.number >= oldest);
        let (mut requests, mut retries) = (0, 0);
        for bucket in in_window {
            requests += bucket.requests;
            retries += bucket.retries;
        }
        let allowed =
            requests * limits.retries_per_thousand / 1000 + limits.slack_retries / members;
        if retries >= allowed {
            return false;
        }
        self.bucket(service, now).retries += 1;
        true
    }

    fn bucket_number(&self, now: Millis) -> u64 {
        // Numbers start above the window, so that an unused bucket (number 0)
        // is always outside it.
        let length = (self.limits.window.0 / BUCKETS as u64).max(1);
        now.0 / length + BUCKETS as u64 + 2
    }

    fn usage(&mut self, service: &name::Service) -> &mut ServiceUsage {
        let found = self
            .usages
            .binary_search_by(|usage| usage.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let usage = ServiceUsage {
                service: service.clone(),
                buckets: Default::default(),
            };
            self.usages.insert(index, usage);
            index
        });
        &mut self.usages[index]
    }

    fn bucket(&mut self, service: &name::Service, now: Millis) -> &mut TimeBucket {
        let number = self.bucket_number(now);
        let slot = usize::try_from(number % (BUCKETS as u64 + 1)).unwrap_or_default();
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
