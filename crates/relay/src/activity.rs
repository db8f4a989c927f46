//! What a connection of a client does: which of its requests are in progress, and when it
//! was last active.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use gooseberry_kernel::request::client_timeouts::ClientTimeouts;
use gooseberry_kernel::request::client_timeouts::TimeoutCheck;
use gooseberry_runtime::observed_stream::ByteObserver;

use crate::answer_record::Delivery;
use crate::context::Context;
use crate::http_server::ResponseBody;

/// The activity of one connection.
#[derive(Debug)]
pub(crate) struct Activity {
    context: Arc<Context>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    timeouts: ClientTimeouts,
    /// The requests whose last bytes wait to be sent.
    unsent: Vec<EndedRequest>,
}

/// A request whose response body has been read to its end, or was dropped before that. The
/// body reserves the memory of its bytes.
#[derive(Debug)]
struct EndedRequest {
    _body: Option<ResponseBody>,
    _count: CountGuard,
    /// Whether the body was read to its end.
    is_read: bool,
    delivery: Option<Delivery>,
}

impl Activity {
    pub(crate) fn new(context: Arc<Context>) -> Arc<Self> {
        let now = context.now();
        let limits = context.state().client_limits(now);
        Arc::new(Self {
            context,
            state: Mutex::new(State {
                timeouts: ClientTimeouts::new(limits, now),
                unsent: Vec::new(),
            }),
        })
    }

    /// Records that a request is in progress until its guard is dropped and the bytes of
    /// its response have been sent.
    pub(crate) fn begin(self: &Arc<Self>, count: CountGuard) -> RequestGuard {
        self.lock().timeouts.begin();
        RequestGuard {
            activity: self.clone(),
            body: None,
            is_read: false,
            delivery: None,
            count: Some(count),
        }
    }

    /// Returns whether it has had a request and no byte of another one has been read.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.lock().timeouts.is_between_requests()
    }

    /// Returns which timeout has passed, if any.
    pub(crate) fn check_timeouts(&self) -> TimeoutCheck {
        let now = self.context.now();
        let limits = self.context.state().client_limits(now);
        self.lock().timeouts.check(limits, now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ByteObserver for Activity {
    fn on_read(&self, bytes: usize) {
        if bytes > 0 {
            let now = self.context.now();
            self.lock().timeouts.record_bytes(now);
        }
    }

    fn on_write(&self, _: usize) {}

    fn on_flush(&self) {
        let mut unsent = std::mem::take(&mut self.lock().unsent);
        if unsent.is_empty() {
            return;
        }
        let now = self.context.now();
        let limits = self.context.state().client_limits(now);
        let mut state = self.lock();
        for ended in &mut unsent {
            state.timeouts.end(limits, now);
            if let Some(delivery) = ended.delivery.as_mut().filter(|_| ended.is_read) {
                delivery.complete();
            }
        }
        drop(state);
    }
}

/// Counts a request as in progress until it is dropped and the bytes of its response have
/// been sent.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    activity: Arc<Activity>,
    /// The body of its response, once there is one.
    pub(crate) body: Option<ResponseBody>,
    /// Whether its response body was read to its end, or has no bytes to send.
    pub(crate) is_read: bool,
    /// Logs if its answer ends early.
    pub(crate) delivery: Option<Delivery>,
    count: Option<CountGuard>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if let Some(count) = self.count.take() {
            self.activity.lock().unsent.push(EndedRequest {
                _body: self.body.take(),
                _count: count,
                is_read: self.is_read,
                delivery: self.delivery.take(),
            });
        }
    }
}

/// Raises a counter by one until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    pub(crate) fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
