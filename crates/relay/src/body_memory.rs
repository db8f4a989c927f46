//! The memory that bodies of requests take.
//!
//! A body is kept until its request has ended, since it may have to be sent
//! again. Many large ones at once would take a small instance's memory, so a
//! request whose body would go beyond the bound is refused before it is read.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The unit in which memory is counted, in bytes.
const PERMIT_BYTES: u64 = 1024;

/// The memory for bodies.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Semaphore>);

/// The memory of one body; it is given back when this is dropped.
#[derive(Debug)]
pub struct BodyPermit(#[allow(dead_code, reason = "it is held, not read")] OwnedSemaphorePermit);

impl BodyMemory {
    /// Allows so many bytes at a time.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes / PERMIT_BYTES).unwrap_or(usize::MAX);
        Self(Arc::new(Semaphore::new(
            permits.min(Semaphore::MAX_PERMITS),
        )))
    }

    /// Takes memory for a body; `None` if there is not enough.
    #[must_use]
    pub fn acquire(&self, bytes: u64) -> Option<BodyPermit> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).ok()?;
        let permit = self.0.clone().try_acquire_many_owned(permits);
        permit.ok().map(BodyPermit)
    }
}
