//! Limits on the memory that request bodies and replies take.
//!
//! A body is kept until its request has ended, since it may have to be sent
//! again. Many large ones at once would exhaust the memory of a small instance,
//! so a request whose body would exceed the limit is refused before the body is
//! read.
//!
//! How long a reply is shows only as it is read, and a faulty target may send one
//! without end. Its memory is therefore reserved as it grows.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// The part of each reply for which no memory is reserved, in bytes. Usual replies are
/// smaller, so that they are passed on also while faulty ones take all memory.
const SMALL_REPLY_BYTES: u64 = 64 << 10;
/// How many bytes of memory one permit of the semaphore stands for.
const PERMIT_BYTES: u64 = 1024;

/// The memory for request bodies, or for replies.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Semaphore>);

/// The memory reserved for one body, until this is dropped.
#[derive(Debug)]
pub struct BodyPermit(OwnedSemaphorePermit);

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
        permit.ok().map(BodyPermit)
    }

    /// Returns a permit for a reply of which nothing has been read.
    #[must_use]
    pub fn reply(&self) -> ReplyPermit {
        ReplyPermit {
            memory: self.clone(),
            held: None,
        }
    }
}

/// The memory reserved for one reply, until this is dropped.
#[derive(Debug)]
pub struct ReplyPermit {
    memory: BodyMemory,
    held: Option<OwnedSemaphorePermit>,
}

impl ReplyPermit {
    /// Reserves memory for all `bytes` that have been read of the reply; returns
    /// whether there is enough.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        let held = self
            .held
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits) as u64;
        let needed = bytes
            .saturating_sub(SMALL_REPLY_BYTES)
            .div_ceil(PERMIT_BYTES);
        let missing = needed.saturating_sub(held);
        if missing == 0 {
            return true;
        }
        let Some(BodyPermit(permit)) = self.memory.acquire(missing * PERMIT_BYTES) else {
            return false;
        };
        match &mut self.held {
            Some(held) => held.merge(permit),
            None => self.held = Some(permit),
        }
        true
    }
}
