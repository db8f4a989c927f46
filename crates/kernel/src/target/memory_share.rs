//! Shares of the memory for replies that each target may take.
//!
//! A faulty target may send replies without end, on many connections at once, and so may
//! several. Each target may take a fixed part of what is still free, which is the dynamic
//! threshold of switches with shared buffers: a target alone gets much, and each that takes
//! all it can leaves most of what was free to the others.

use crate::name;

/// Each target may take one part in this many of what is free after that, so that it leaves
/// four fifths of what was free. Replies are read in some milliseconds, so those of sound
/// targets need little at once.
const SHARE_DIVISOR: u64 = 4;

/// The memory for replies, in bytes.
#[derive(Clone, Debug)]
pub struct MemoryShares {
    free: u64,
    /// What each target has taken, sorted by name, without those that have taken nothing.
    taken: Vec<(name::Target, u64)>,
}

impl MemoryShares {
    /// Creates shares of this many bytes.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        Self {
            free: bytes,
            taken: Vec::new(),
        }
    }

    /// Takes memory for a reply of a target; returns false if its share does not allow it.
    #[must_use]
    pub fn try_take(&mut self, target: &name::Target, bytes: u64) -> bool {
        let found = self.find(target);
        let taken = found.map_or(0, |index| self.taken[index].1) + bytes;
        let Some(left) = self.free.checked_sub(bytes) else {
            return false;
        };
        if taken > left / SHARE_DIVISOR {
            return false;
        }
        self.free = left;
        match found {
            Ok(index) => self.taken[index].1 = taken,
            Err(index) => self.taken.insert(index, (target.clone(), taken)),
        }
        true
    }

    /// Gives memory back that was taken for a reply of a target.
    pub fn give_back(&mut self, target: &name::Target, bytes: u64) {
        let Ok(index) = self.find(target) else {
            return;
        };
        let taken = &mut self.taken[index].1;
        *taken = taken.saturating_sub(bytes);
        if *taken == 0 {
            self.taken.remove(index);
        }
        self.free += bytes;
    }

    fn find(&self, target: &name::Target) -> Result<usize, usize> {
        self.taken.binary_search_by(|(known, _)| known.cmp(target))
    }
}
