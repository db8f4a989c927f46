//! Quarantines requests that crash the targets which run them.
//!
//! When the connection of a call breaks, its request becomes a suspect in the
//! pool of the target. A suspect never runs together with another suspect, so
//! that a request which was merely in the same batch as the faulty one gets an
//! answer and is cleared. After a second crash it runs alone, so that a third
//! crash is certainly caused by it and puts it into quarantine. A suspect is
//! identified by the digest of its workspace, body and pool: a client's retry
//! is the same suspect, and an answer from another stage does not clear it.
//!
//! Daemons exchange suspects with calls and heartbeats. Both counts of a
//! suspect only grow until it expires, so two views of it are merged by taking
//! the maximum of each count, in any order and any number of times.
//! `docs/design/quarantine.md` compares alternatives.

use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// A request that may have crashed targets, as daemons exchange it.
    pub struct Suspect {
        /// The digest of the workspace, the body and the pool.
        pub digest: id::Digest,
        /// How many targets crashed while running it.
        pub crashes: u16,
        /// How many of these crashes a later answer has cleared.
        pub cleared: u16,
        /// How long ago the last crash happened.
        pub age: Millis,
    }
}

/// How many uncleared crashes put a request into quarantine.
pub const QUARANTINE_CRASHES: u16 = 3;
/// How long after its last crash a suspect expires.
pub const SUSPECT_TTL: Millis = Millis(60_000);
/// How many suspects are kept.
pub const SUSPECTS_MAX: usize = 64;

#[derive(Clone, Debug)]
struct SuspectRecord {
    digest: id::Digest,
    crashes: u16,
    cleared: u16,
    last_crash_at: Millis,
}

impl SuspectRecord {
    fn uncleared_crashes(&self) -> u16 {
        self.crashes.saturating_sub(self.cleared)
    }
}

/// The suspects that one daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: Vec<SuspectRecord>,
}

/// Returns the digest that identifies a request as a suspect in a pool.
#[must_use]
pub fn suspect_digest(request: id::Digest, pool: &id::Pool) -> id::Digest {
    let mut bytes = request.0.to_vec();
    bytes.extend_from_slice(pool.as_str().as_bytes());
    id::Digest::of(&bytes)
}

impl Suspects {
    /// Records that a target crashed while running the request.
    pub fn record_crash(&mut self, digest: id::Digest, now: Millis) {
        let index = self.index(digest, now);
        let record = &mut self.records[index];
        record.crashes = record.crashes.saturating_add(1);
        record.last_crash_at = now;
    }

    /// Records that a target answered the request, which clears its crashes.
    pub fn record_answer(&mut self, digest: id::Digest) {
        if let Ok(index) = self.find(&digest) {
            self.records[index].cleared = self.records[index].crashes;
        }
    }

    /// Returns the number of the request's uncleared crashes.
    #[must_use]
    pub fn crashes(&self, digest: &id::Digest, now: Millis) -> u16 {
        let found = self.find(digest).ok().map(|index| &self.records[index]);
        let fresh = found.filter(|record| record.last_crash_at + SUSPECT_TTL > now);
        fresh.map_or(0, SuspectRecord::uncleared_crashes)
    }

    /// Returns whether there are no suspects.
    #[inline]
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether the request is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self, digest: &id::Digest, now: Millis) -> bool {
        self.crashes(digest, now) >= QUARANTINE_CRASHES
    }

    /// Merges the number of uncleared crashes that another daemon sent with a
    /// call.
    pub fn merge_crashes(&mut self, digest: id::Digest, crashes: u16, now: Millis) {
        if crashes > self.crashes(&digest, now) {
            let index = self.index(digest, now);
            let record = &mut self.records[index];
            record.crashes = record.cleared.saturating_add(crashes);
            record.last_crash_at = now;
        }
    }

    /// Merges the suspects that a peer sent.
    pub fn merge(&mut self, suspects: &[Suspect], now: Millis) {
        for suspect in suspects {
            if suspect.age >= SUSPECT_TTL {
                continue;
            }
            let crashed_at = now - suspect.age;
            let index = self.index(suspect.digest, crashed_at);
            let record = &mut self.records[index];
            // Only a new crash updates the time. Otherwise each message would
            // shift it forward by its transit time, and the suspect would never
            // expire.
            if suspect.crashes > record.crashes {
                record.crashes = suspect.crashes;
                record.last_crash_at = record.last_crash_at.max(crashed_at);
            }
            record.cleared = record.cleared.max(suspect.cleared);
        }
    }

    /// Returns all suspects, to be sent to a peer.
    #[must_use]
    pub fn snapshot(&self, now: Millis) -> Vec<Suspect> {
        let to_suspect = |record: &SuspectRecord| Suspect {
            digest: record.digest,
            crashes: record.crashes,
            cleared: record.cleared,
            age: now - record.last_crash_at,
        };
        self.records.iter().map(to_suspect).collect()
    }

    /// Returns the newest uncleared suspects, at most `count` of them.
    #[must_use]
    pub fn newest_uncleared(&self, count: usize, now: Millis) -> Vec<Suspect> {
        let mut uncleared = self.snapshot(now);
        uncleared.retain(|suspect| suspect.crashes > suspect.cleared);
        uncleared.sort_by_key(|suspect| suspect.age);
        uncleared.truncate(count);
        uncleared
    }

    /// Drops the expired suspects.
    pub fn expire(&mut self, now: Millis) {
        self.records
            .retain(|record| record.last_crash_at + SUSPECT_TTL > now);
    }

    fn find(&self, digest: &id::Digest) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.digest.cmp(digest))
    }

    /// Returns the index of a suspect, adding it without crashes if it is new.
    ///
    /// If the table is full, the suspect with the oldest crash is evicted.
    fn index(&mut self, digest: id::Digest, crashed_at: Millis) -> usize {
        if self.find(&digest).is_err() && self.records.len() >= SUSPECTS_MAX {
            let oldest = self.records.iter().map(|record| record.last_crash_at).min();
            let index = self
                .records
                .iter()
                .position(|record| Some(record.last_crash_at) == oldest);
            self.records.remove(index.unwrap_or_default());
        }
        self.find(&digest).unwrap_or_else(|index| {
            let record = SuspectRecord {
                digest,
                crashes: 0,
                cleared: 0,
                last_crash_at: crashed_at,
            };
            self.records.insert(index, record);
            index
        })
    }
}
