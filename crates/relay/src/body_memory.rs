//! A limit on the memory that request bodies take.
//!
//! A body is kept until its request has ended, since it may have to be sent
//! again. Many large ones at once would exhaust the memory of a small instance,
//! so a request whose body would exceed the limit is refused before the body is
//! read.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// How many bytes of memory one permit of the semaphore stands for.
const PERMIT_BYTES: u64 = 1024;

/// The memory for request bodies.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Semaphore>);

/// The memory reserved for one body, until this is dropped.
#[derive(Debug)]
pub struct BodyPermit {
    _permit: OwnedSemaphorePermit,
}

impl BodyMemory {
    /// Creates a limit of `bytes`, in whole permits.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes / PERMIT_BYTES).unwrap_or(usize::MAX);
        Self(Arc::new(Semaphore::new(
            permits.min(Semaphore::MAX_PERMITS),
        )))
    }

    /// Reserves memory for a body of `bytes`; `None` if there is not enough.
    #[must_use]
    pub fn acquire(&self, bytes: u64) -> Option<BodyPermit> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).ok()?;
        let permit = self.0.clone().try_acquire_many_owned(permits);
        permit.ok().map(|permit| BodyPermit { _permit: permit })
    }
}
