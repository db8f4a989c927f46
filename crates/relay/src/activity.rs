//! What happens on one connection of a client, for its time limits.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::table::Limits;
use gooseberry_runtime::clock::Clock;
use gooseberry_runtime::observed_stream::ByteObserver;

/// No byte of a next request has been read.
const NOTHING: u64 = 0;

/// What happens on one connection.
#[derive(Debug)]
pub(crate) struct Activity {
    clock: Clock,
    in_progress: AtomicUsize,
    /// When the last request ended, or the connection began.
    idle_since: AtomicU64,
    /// When the first bytes after that were read, plus one.
    head_since: AtomicU64,
}

/// What a connection's limits ask for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Look again after the span.
    Later(Millis),
    /// Its idle time is over.
    Idle,
    /// The head of a request takes too long.
    SlowHead,
}

impl Activity {
    pub(crate) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            in_progress: AtomicUsize::new(0),
            idle_since: AtomicU64::new(clock.now().0),
            head_since: AtomicU64::new(NOTHING),
        })
    }

    /// Notes a request, until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> Busy {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.head_since.store(NOTHING, Ordering::Relaxed);
        Busy(self.clone())
    }

    /// Decides what the limits ask for.
    pub(crate) fn due(&self, limits: Limits) -> Due {
        let now = self.clock.now();
        if self.in_progress.load(Ordering::Relaxed) > 0 {
            return Due::Later(limits.idle);
        }
        let head_since = self.head_since.load(Ordering::Relaxed);
        let (end, due) = match head_since {
            NOTHING => {
                let since = Millis(self.idle_since.load(Ordering::Relaxed));
                (since + limits.idle, Due::Idle)
            }
            since => (Millis(since - 1) + limits.head, Due::SlowHead),
        };
        if end <= now {
            due
        } else {
            Due::Later(end - now)
        }
    }

    fn note_bytes(&self) {
        if self.in_progress.load(Ordering::Relaxed) == 0 {
            let now = self.clock.now().0 + 1;
            let unset = (Ordering::Relaxed, Ordering::Relaxed);
            // Only the first bytes count, so a failed exchange is right.
            let _ = self
                .head_since
                .compare_exchange(NOTHING, now, unset.0, unset.1);
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Busy(Arc<Activity>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
        let now = self.0.clock.now().0;
        self.0.idle_since.store(now, Ordering::Relaxed);
    }
}

impl ByteObserver for Activity {
    fn on_read(&self, bytes: usize) {
        if bytes > 0 {
            self.note_bytes();
        }
    }

    fn on_write(&self, _: usize) {}
}
