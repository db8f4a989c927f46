//! The budget for sending a request to a second target.
//!
//! All daemons share one budget for each service. None of them knows what the
//! others send, so each keeps to a part: the ratio of its own traffic, and its
//! share of the fixed slack. The parts add up to no more than the whole, as
//! long as each daemon counts at least as many members as there are.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::name;

scalar! {
    /// The terms of the budget.
    pub struct RetryBudgetLimits {
        /// Repeats for each thousand requests.
        pub retries_per_thousand: u64,
        /// Repeats in a window that need no requests, over the whole fleet.
        pub slack_retries: u64,
        /// The length of the window.
        pub window: Millis,
    }
}

/// Into how many steps the window is divided.
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

/// What one daemon has sent of late, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    usages: Vec<ServiceUsage>,
}

impl RetryBudget {
    /// Starts with nothing sent.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self {
            limits,
            usages: Vec::new(),
        }
    }

    /// Notes a request for the service.
    pub fn record_request(&mut self, service: &name::Service, now: Millis) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one repeat from the daemon's part, if there is one left.
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
        // Steps are counted from 1, so that an unused step is an old one.
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
