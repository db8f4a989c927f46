//! Whether the request on a connection has been written whole.
//!
//! A target may answer before it has read a long request. If it closes the connection then, the
//! connection is reset by what follows of the request, and what has come of the reply may be a
//! part.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

#[derive(Debug, Default)]
struct State {
    /// How many bytes at least are still to be written.
    left: AtomicUsize,
    /// Whether nothing was written since the last flush.
    is_flushed: AtomicBool,
}

/// How much of a request has been written. It is shared by its clones.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestProgress(Arc<State>);

impl RequestProgress {
    /// Begins a request with a body of this size.
    pub(crate) fn begin(&self, body_bytes: usize) {
        self.0.left.store(body_bytes, Ordering::Relaxed);
        self.0.is_flushed.store(false, Ordering::Relaxed);
    }

    /// Records that bytes of the request were written.
    pub(crate) fn record_write(&self, bytes: usize) {
        let left_after = |left: usize| Some(left.saturating_sub(bytes));
        let left = &self.0.left;
        left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, left_after)
            .ok();
        self.0.is_flushed.store(false, Ordering::Relaxed);
    }

    /// Records that the buffers above the connection are empty.
    pub(crate) fn record_flush(&self) {
        self.0.is_flushed.store(true, Ordering::Relaxed);
    }

    /// Returns whether the request has been written whole.
    pub(crate) fn is_whole(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) == 0 && self.0.is_flushed.load(Ordering::Relaxed)
    }
}
