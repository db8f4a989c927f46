//! How far a request has got: whether a target may have run it, and for how long.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission::RETRY_AFTER_MIN;
use http::StatusCode;

use crate::context::Context;

/// Whether a target may have run a request that has no answer yet.
#[derive(Clone, Debug, Default)]
pub struct SentMark(Arc<AtomicBool>);

impl SentMark {
    /// Records that the request is sent, or that no target has run it after all.
    pub fn set(&self, may_have_run: bool) {
        self.0.store(may_have_run, Ordering::Relaxed);
    }

    /// Returns whether a target may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns the failure of a request that has no answer when the daemon ends. It is sent to
    /// no target any more.
    #[must_use]
    pub fn failure_at_end(&self) -> Failure {
        let failure = Failure::from(Kind::ShuttingDown);
        if self.may_have_run() {
            failure.with_unknown_outcome()
        } else {
            failure.with_retry_after(RETRY_AFTER_MIN)
        }
    }
}

/// Measures how long a request runs, until it is dropped.
#[derive(Debug)]
pub struct Progress {
    context: Arc<Context>,
    route: name::Route,
    arrived: Millis,
    /// When the request was sent to the first target that may have run it.
    sent: Option<Millis>,
    mark: SentMark,
}

impl Progress {
    /// Creates the measurement of a request that has not been sent.
    #[must_use]
    pub fn new(
        context: &Arc<Context>,
        route: &name::Route,
        arrived: Millis,
        mark: SentMark,
    ) -> Self {
        Self {
            context: context.clone(),
            route: route.clone(),
            arrived,
            sent: None,
            mark,
        }
    }

    /// Records that the request is sent to a target now.
    pub fn record_send(&mut self) {
        self.mark.set(true);
        if self.sent.is_none() {
            let now = self.context.now();
            self.sent = Some(now);
            self.context.state().durations().begin(&self.route, now);
        }
    }

    /// Records that no target has run the request yet.
    pub fn record_not_run(&mut self) {
        self.mark.set(false);
        self.end(None);
    }

    /// Records that the whole answer has come.
    pub fn record_answer(&mut self, status: StatusCode) {
        self.end(status.is_success().then_some(self.arrived));
    }

    fn end(&mut self, arrived: Option<Millis>) {
        if let Some(sent) = self.sent.take() {
            let now = self.context.now();
            let mut state = self.context.state();
            state.durations().end(&self.route, sent, arrived, now);
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.end(None);
    }
}
