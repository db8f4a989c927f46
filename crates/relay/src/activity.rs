//! What a connection of a client does: which of its requests are in progress, and when it
//! was last active.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gooseberry_kernel::request::client_timeouts::ClientTimeouts;
use gooseberry_kernel::request::client_timeouts::TimeoutCheck;
use gooseberry_runtime::observed_stream::ByteObserver;

use crate::context::Context;

/// The activity of one connection.
#[derive(Debug)]
pub(crate) struct Activity {
    context: Arc<Context>,
    timeouts: Mutex<ClientTimeouts>,
}

impl Activity {
    pub(crate) fn new(context: Arc<Context>) -> Arc<Self> {
        let now = context.now();
        let limits = context.state().client_limits(now);
        Arc::new(Self {
            context,
            timeouts: Mutex::new(ClientTimeouts::new(limits, now)),
        })
    }

    /// Records that a request is in progress until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> RequestGuard {
        self.lock().begin();
        RequestGuard(self.clone())
    }

    /// Returns whether it has had a request and no byte of another one has been read.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.lock().is_between_requests()
    }

    /// Returns which timeout has passed, if any.
    pub(crate) fn check_timeouts(&self) -> TimeoutCheck {
        let now = self.context.now();
        let limits = self.context.state().client_limits(now);
        self.lock().check(limits, now)
    }

    fn lock(&self) -> MutexGuard<'_, ClientTimeouts> {
        self.timeouts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ByteObserver for Activity {
    fn on_read(&self, bytes: usize) {
        if bytes > 0 {
            let now = self.context.now();
            self.lock().record_bytes(now);
        }
    }

    fn on_write(&self, _: usize) {}
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<Activity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.0.context.now();
        let limits = self.0.context.state().client_limits(now);
        self.0.lock().end(limits, now);
    }
}
