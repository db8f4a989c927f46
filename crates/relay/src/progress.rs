//! How far a request has got: whether it has been sent to a target, and for how long it runs.

use std::sync::Arc;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use http::StatusCode;

use crate::context::Context;

/// Measures how long a request runs, until it is dropped.
#[derive(Debug)]
pub struct Progress {
    context: Arc<Context>,
    route: name::Route,
    arrived: Millis,
    /// When the request was sent to the first target that may have run it.
    sent: Option<Millis>,
}

impl Progress {
    /// Creates the measurement of a request that has not been sent.
    #[must_use]
    pub fn new(context: &Arc<Context>, route: &name::Route, arrived: Millis) -> Self {
        Self {
            context: context.clone(),
            route: route.clone(),
            arrived,
            sent: None,
        }
    }

    /// Records that the request is sent to a target now.
    pub fn record_send(&mut self) {
        if self.sent.is_none() {
            let now = self.context.now();
            self.sent = Some(now);
            self.context.state().durations().begin(&self.route, now);
        }
    }

    /// Records that no target has run the request yet.
    pub fn record_not_run(&mut self) {
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
