//! A limit on the bytes that are read from a connection.
//!
//! A faulty target may send a head or framing without end, or interim heads without end,
//! each of which is valid by itself. Reading them would take a processor for as long as the
//! request may wait.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// How many more bytes may be read from a connection. It is shared by its clones.
#[derive(Clone, Debug)]
pub(crate) struct ReadLimit(Arc<AtomicUsize>);

impl ReadLimit {
    /// Creates a limit that allows any number of bytes.
    pub(crate) fn none() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Allows this number of bytes from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Checks that more may be read.
    ///
    /// # Errors
    /// Returns the error with which the connection fails if no more may be read.
    pub(crate) fn check(&self) -> io::Result<()> {
        if self.0.load(Ordering::Relaxed) == 0 {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the reply's head or framing is too long",
            ));
        }
        Ok(())
    }

    /// Records that bytes were read.
    pub(crate) fn record_read(&self, bytes: usize) {
        let left_after = |left: usize| (left < usize::MAX).then(|| left.saturating_sub(bytes));
        // It fails if any number of bytes is allowed.
        let updated = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, left_after);
        updated.ok();
    }
}
