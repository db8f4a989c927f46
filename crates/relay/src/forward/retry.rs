//! Asks the retry budget before a request is sent to another target.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::retry_budget::SEND_DELAY_MAX;

use crate::forward::Forwarder;

/// Whether the next send of a request counts in the retry budget.
#[derive(Clone, Copy, Debug)]
pub(super) enum Retry {
    /// It does not: it is the first one.
    None,
    /// The budget allowed it at this time.
    Allowed(Millis),
    /// The budget is asked just before it, and counts this reason.
    Pending(&'static str),
}

impl Forwarder {
    /// Returns whether one more target may run the request, and takes a retry
    /// from the budget if so.
    pub(super) fn may_run_again(&mut self, reason: &str) -> bool {
        self.possible_runs < self.job.route.max_attempts && self.may_send_again(reason)
    }

    /// Returns whether the request may be sent once more, and takes a retry from
    /// the budget if so.
    pub(super) fn may_send_again(&mut self, reason: &str) -> bool {
        let now = self.context.now();
        if now >= self.job.deadline {
            return false;
        }
        let is_allowed = self
            .context
            .state()
            .try_take_retry(&self.job.service.name, now);
        if is_allowed {
            self.retry = Retry::Allowed(now);
            self.context.metrics.retry(reason);
        } else {
            log::info!(request:% = self.job.head.attempt, reason; "the retry budget is used up");
        }
        is_allowed
    }

    /// Returns whether the request may be sent now. Counts it in the retry budget if that
    /// was left until now, and again if it is a retry that has waited.
    pub(super) fn may_still_retry(&mut self) -> bool {
        let now = self.context.now();
        let may_send = match self.retry {
            Retry::None => true,
            Retry::Allowed(at) => at + SEND_DELAY_MAX >= now || self.may_send_again("waited"),
            Retry::Pending(reason) => self.may_send_again(reason),
        };
        self.retry = Retry::None;
        may_send
    }
}
