//! Limits on the memory that replies take.
//!
//! How long a reply is shows only as it is read, and a faulty target may send one
//! without end. Its memory is therefore reserved as it grows, from the share of its target,
//! and stays reserved until its bytes have been sent, which a client may delay.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use gooseberry_kernel::name;
use gooseberry_kernel::target::memory_share::MemoryShares;

/// The part of each reply for which no memory is reserved, in bytes. Usual replies are
/// smaller, so that they are passed on also while faulty ones take all memory.
const SMALL_REPLY_BYTES: u64 = 64 << 10;

/// The memory for replies.
#[derive(Clone, Debug)]
pub struct ReplyMemory(Arc<Mutex<MemoryShares>>);

impl ReplyMemory {
    /// Creates a limit of `bytes`.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(Mutex::new(MemoryShares::new(bytes))))
    }

    /// Returns a permit for a reply of a target of which nothing has been read.
    #[must_use]
    pub fn reply(&self, target: &name::Target) -> ReplyPermit {
        ReplyPermit {
            memory: self.clone(),
            target: target.clone(),
            held: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryShares> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory reserved for one reply, until this is dropped.
#[derive(Debug)]
pub struct ReplyPermit {
    memory: ReplyMemory,
    target: name::Target,
    /// The bytes that are reserved.
    held: u64,
}

impl ReplyPermit {
    /// Reserves memory for all `bytes` that are kept of the reply; returns whether there is
    /// enough.
    #[must_use]
    pub fn grow(&mut self, bytes: u64) -> bool {
        let missing = bytes
            .saturating_sub(SMALL_REPLY_BYTES)
            .saturating_sub(self.held);
        if missing == 0 {
            return true;
        }
        let is_taken = self.memory.lock().try_take(&self.target, missing);
        if is_taken {
            self.held += missing;
        }
        is_taken
    }

    /// Returns the bytes for which memory is reserved, which stays so until they are
    /// dropped. What is read next of the reply is reserved anew.
    #[must_use]
    pub fn attach(&mut self, bytes: Vec<u8>) -> Bytes {
        let next = self.memory.reply(&self.target);
        let permit = std::mem::replace(self, next);
        if permit.held == 0 {
            return bytes.into();
        }
        Bytes::from_owner(ReservedBytes {
            bytes,
            _permit: permit,
        })
    }
}

impl Drop for ReplyPermit {
    fn drop(&mut self) {
        if self.held > 0 {
            self.memory.lock().give_back(&self.target, self.held);
        }
    }
}

struct ReservedBytes {
    bytes: Vec<u8>,
    _permit: ReplyPermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
