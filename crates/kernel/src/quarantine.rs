//! Requests that crash the targets which run them.
//!
//! A call whose connection breaks makes its request a suspect in the pool of
//! the target. A suspect runs beside no other suspect, so that a request which
//! was only in the same batch as the faulty one is answered and cleared. After
//! a second crash it runs alone, so that a third one is its own and puts it
//! into quarantine. A suspect is named by
//! the digest of its workspace, body and pool, so that a caller's second try is
//! the same suspect, and an answer from another stage does not clear it.
//!
//! Suspects travel with the calls and with the greetings between peers. Both
//! counts of a suspect only grow until it is forgotten, so two views of it are
//! merged by taking the greater of each, in any order and any number of times.
//! `docs/design/quarantine.md` weighs the rules.

use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// A request under suspicion.
    pub struct Suspect {
        /// The digest of the workspace, the body and the pool.
        pub digest: id::Digest,
        /// How many targets broke while they ran it.
        pub crashes: u16,
        /// How many of these an answer has cleared it of.
        pub cleared: u16,
        /// How long ago the last of them broke.
        pub age: Millis,
    }
}

/// How many crashes put a request into quarantine.
pub const CRASHES_MAX: u16 = 3;
/// How long a suspect is remembered after its last crash.
pub const MEMORY: Millis = Millis(60_000);
/// How many suspects are kept.
pub const SUSPECTS_MAX: usize = 64;

#[derive(Clone, Debug)]
struct Known {
    digest: id::Digest,
    crashes: u16,
    cleared: u16,
    at: Millis,
}

impl Known {
    fn open_crashes(&self) -> u16 {
        self.crashes.saturating_sub(self.cleared)
    }
}

/// The suspects that one daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    known: Vec<Known>,
}

/// Names a request as a suspect in a pool.
#[must_use]
pub fn suspect(request: id::Digest, pool: &id::Pool) -> id::Digest {
    let mut text = request.0.to_vec();
    text.extend_from_slice(pool.as_str().as_bytes());
    id::Digest::of(&text)
}

impl Suspects {
    /// Notes that a target broke while it ran the request.
    pub fn note_crash(&mut self, digest: id::Digest, now: Millis) {
        let index = self.index(digest, now);
        let known = &mut self.known[index];
        known.crashes = known.crashes.saturating_add(1);
        known.at = now;
    }

    /// Notes that a target ran the request whole, which clears it.
    pub fn note_answer(&mut self, digest: id::Digest) {
        if let Ok(index) = self.find(&digest) {
            self.known[index].cleared = self.known[index].crashes;
        }
    }

    /// Returns the crashes of which the request was not cleared.
    #[must_use]
    pub fn crashes(&self, digest: &id::Digest, now: Millis) -> u16 {
        let found = self.find(digest).ok().map(|index| &self.known[index]);
        let fresh = found.filter(|known| known.at + MEMORY > now);
        fresh.map_or(0, Known::open_crashes)
    }

    /// Tells whether no request is under suspicion.
    #[inline]
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Tells whether the request is in quarantine.
    #[must_use]
    pub fn holds(&self, digest: &id::Digest, now: Millis) -> bool {
        self.crashes(digest, now) >= CRASHES_MAX
    }

    /// Takes in the crashes that another daemon told of with a call.
    pub fn learn(&mut self, digest: id::Digest, crashes: u16, now: Millis) {
        if crashes > self.crashes(&digest, now) {
            let index = self.index(digest, now);
            let known = &mut self.known[index];
            known.crashes = known.cleared.saturating_add(crashes);
            known.at = now;
        }
    }

    /// Takes in the suspects that a peer knows.
    pub fn merge(&mut self, suspects: &[Suspect], now: Millis) {
        for suspect in suspects {
            if suspect.age >= MEMORY {
                continue;
            }
            let at = now - suspect.age;
            let index = self.index(suspect.digest, at);
            let known = &mut self.known[index];
            // Only a new crash moves the moment: it would otherwise creep
            // forward by the way of each message, and never pass.
            if suspect.crashes > known.crashes {
                known.crashes = suspect.crashes;
                known.at = known.at.max(at);
            }
            known.cleared = known.cleared.max(suspect.cleared);
        }
    }

    /// Returns the suspects, for a peer.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        let as_told = |known: &Known| Suspect {
            digest: known.digest,
            crashes: known.crashes,
            cleared: known.cleared,
            age: now - known.at,
        };
        self.known.iter().map(as_told).collect()
    }

    /// Returns the newest suspects that are not cleared, so many at most.
    #[must_use]
    pub fn newest(&self, count: usize, now: Millis) -> Vec<Suspect> {
        let mut open = self.suspects(now);
        open.retain(|suspect| suspect.crashes > suspect.cleared);
        open.sort_by_key(|suspect| suspect.age);
        open.truncate(count);
        open
    }

    /// Forgets suspects that have been quiet for long enough.
    pub fn tick(&mut self, now: Millis) {
        self.known.retain(|known| known.at + MEMORY > now);
    }

    fn find(&self, digest: &id::Digest) -> Result<usize, usize> {
        self.known.binary_search_by(|one| one.digest.cmp(digest))
    }

    /// Finds a suspect, or adds it without any crash; when the list is full the
    /// one that has been quiet for longest makes room.
    fn index(&mut self, digest: id::Digest, at: Millis) -> usize {
        if self.find(&digest).is_err() && self.known.len() >= SUSPECTS_MAX {
            let oldest = self.known.iter().map(|known| known.at).min();
            let index = self.known.iter().position(|known| Some(known.at) == oldest);
            self.known.remove(index.unwrap_or_default());
        }
        self.find(&digest).unwrap_or_else(|index| {
            let known = Known {
                digest,
                crashes: 0,
                cleared: 0,
                at,
            };
            self.known.insert(index, known);
            index
        })
    }
}
