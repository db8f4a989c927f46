//! Whether a request can still end in time: before its deadline, and before a daemon that is
//! shutting down.

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::deadline_admission::Forecast;
use gooseberry_kernel::request::durations::Span;

use crate::forward::Forwarder;
use crate::forward::SendOutcome;

impl Forwarder {
    /// Returns how long the request is expected to run, once it is sent.
    pub(super) fn forecast(&self) -> Forecast {
        // Only a request that has not run can be refused so that its client may send it again.
        if self.possible_runs > 0 || self.events.count() > 0 {
            return Forecast {
                duration: Millis::ZERO,
                deadline: self.job.deadline,
            };
        }
        let job = &self.job;
        self.context.forecast(&job.route, Span::Run, job.deadline)
    }

    /// Checks directly before a send that the request can end in time.
    pub(super) fn check_time_left(&mut self) -> Result<(), Failure> {
        let (shutdown, attempt) = (&self.context.shutdown, &self.job.head.attempt);
        shutdown
            .check_unsent(attempt, || self.forecast())
            .map_err(|failure| self.unknown_if_run(failure))?;
        self.job.progress.record_send();
        Ok(())
    }

    /// Records that no target has run the request, if this send was the first that might.
    pub(super) fn record_not_run(&mut self, outcome: &SendOutcome) {
        let is_not_run = matches!(
            outcome,
            SendOutcome::NotRun(_) | SendOutcome::InvalidRequest(_)
        );
        if is_not_run && self.possible_runs == 0 {
            self.job.progress.record_not_run();
        }
    }
}

/// Returns the failure of a request that a target may have run, but did not answer by the
/// deadline.
pub(super) fn deadline_passed() -> Failure {
    Failure::from(Kind::DeadlinePassed).with_unknown_outcome()
}
