//! The timeouts of a client connection: how long it may be idle, and how long
//! the head of a request may take.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::routing_table::ClientLimits;
use gooseberry_runtime::clock::Clock;
use gooseberry_runtime::observed_stream::ByteObserver;

/// The value of `head_since` while no byte of the next request has been read.
const NO_BYTES: u64 = 0;

/// When a connection was last active. All times are in milliseconds.
#[derive(Debug)]
pub(crate) struct Activity {
    clock: Clock,
    /// How many of its requests are in progress.
    in_progress: AtomicUsize,
    /// Whether it has had a request.
    has_begun: AtomicBool,
    /// When the last request ended, or the connection was accepted.
    idle_since: AtomicU64,
    /// When the first bytes after that were read, plus one so that time 0 is not
    /// taken for [`NO_BYTES`]; [`NO_BYTES`] if none were read.
    head_since: AtomicU64,
}

/// The result of checking a connection's timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimeoutCheck {
    /// No timeout has passed; check again after this time.
    NotYet(Millis),
    /// The connection has been idle for too long.
    Idle,
    /// The head of a request is taking too long.
    SlowHead,
}

impl Activity {
    pub(crate) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            in_progress: AtomicUsize::new(0),
            has_begun: AtomicBool::new(false),
            idle_since: AtomicU64::new(clock.now().0),
            head_since: AtomicU64::new(NO_BYTES),
        })
    }

    /// Records that a request is in progress until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> RequestGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.has_begun.store(true, Ordering::Relaxed);
        self.head_since.store(NO_BYTES, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Returns whether it has had a request and no byte of another one has been read.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
            && self.in_progress.load(Ordering::Relaxed) == 0
            && self.head_since.load(Ordering::Relaxed) == NO_BYTES
    }

    /// Returns which timeout has passed, if any; none does while a request is in
    /// progress.
    pub(crate) fn check_timeouts(&self, limits: ClientLimits) -> TimeoutCheck {
        let now = self.clock.now();
        if self.in_progress.load(Ordering::Relaxed) > 0 {
            return TimeoutCheck::NotYet(limits.idle_timeout);
        }
        let head_since = self.head_since.load(Ordering::Relaxed);
        let (end, timed_out) = match head_since {
            NO_BYTES => {
                let since = Millis(self.idle_since.load(Ordering::Relaxed));
                (since + limits.idle_timeout, TimeoutCheck::Idle)
            }
            since => (
                Millis(since - 1) + limits.header_timeout,
                TimeoutCheck::SlowHead,
            ),
        };
        if end <= now {
            timed_out
        } else {
            TimeoutCheck::NotYet(end - now)
        }
    }

    /// Records that bytes were read, if they are the first of the next request.
    fn record_first_bytes(&self) {
        if self.in_progress.load(Ordering::Relaxed) == 0 {
            let now = self.clock.now().0 + 1;
            let ordering = (Ordering::Relaxed, Ordering::Relaxed);
            // Only the first bytes count, so the exchange may fail.
            let _ = self
                .head_since
                .compare_exchange(NO_BYTES, now, ordering.0, ordering.1);
        }
    }
}

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<Activity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
        let now = self.0.clock.now().0;
        self.0.idle_since.store(now, Ordering::Relaxed);
    }
}

impl ByteObserver for Activity {
    fn on_read(&self, bytes: usize) {
        if bytes > 0 {
            self.record_first_bytes();
        }
    }

    fn on_write(&self, _: usize) {}
}
