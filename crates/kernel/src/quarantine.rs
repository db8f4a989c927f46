//! Requests that crash the targets which run them.
//!
//! A call whose connection breaks makes its request a suspect. The request is
//! named by the digest of its workspace and body, so that a caller's second
//! try is the same suspect. Suspects travel with the greetings between peers,
//! so the whole fleet knows them within seconds.

use crate::clock::Millis;
use crate::derive::value;
use crate::id;

value! {
    /// A request under suspicion.
    pub struct Suspect {
        /// The digest of the workspace and the body.
        pub digest: id::Digest,
        /// How many targets broke while they ran it.
        pub crashes: u16,
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
    at: Millis,
}

/// The suspects that one daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Ward {
    known: Vec<Known>,
}

impl Ward {
    /// Notes that a target broke while it ran the request.
    pub fn note_crash(&mut self, digest: id::Digest, now: Millis) {
        match self.find(&digest) {
            Ok(index) => {
                let known = &mut self.known[index];
                known.crashes = known.crashes.saturating_add(1);
                known.at = now;
            }
            Err(index) => self.insert(index, digest, 1, now),
        }
    }

    /// Notes that a target ran the request whole, which clears it.
    pub fn note_answer(&mut self, digest: id::Digest) {
        if let Ok(index) = self.find(&digest) {
            self.known.remove(index);
        }
    }

    /// Tells whether the request is in quarantine.
    #[must_use]
    pub fn holds(&self, digest: &id::Digest, now: Millis) -> bool {
        let found = self.find(digest).ok().map(|index| &self.known[index]);
        found.is_some_and(|known| known.crashes >= CRASHES_MAX && known.at + MEMORY > now)
    }

    /// Takes in the suspects that a peer knows.
    pub fn merge(&mut self, suspects: &[Suspect], now: Millis) {
        for suspect in suspects {
            let at = now - suspect.age;
            match self.find(&suspect.digest) {
                Ok(index) => {
                    let known = &mut self.known[index];
                    known.crashes = known.crashes.max(suspect.crashes);
                    known.at = known.at.max(at);
                }
                Err(index) => self.insert(index, suspect.digest, suspect.crashes, at),
            }
        }
    }

    /// Returns the suspects, for a peer.
    #[must_use]
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        let as_told = |known: &Known| Suspect {
            digest: known.digest,
            crashes: known.crashes,
            age: now - known.at,
        };
        self.known.iter().map(as_told).collect()
    }

    /// Forgets suspects that have been quiet for long enough.
    pub fn tick(&mut self, now: Millis) {
        self.known.retain(|known| known.at + MEMORY > now);
    }

    fn find(&self, digest: &id::Digest) -> Result<usize, usize> {
        self.known.binary_search_by(|one| one.digest.cmp(digest))
    }

    fn insert(&mut self, index: usize, digest: id::Digest, crashes: u16, at: Millis) {
        if self.known.len() < SUSPECTS_MAX {
            let known = Known {
                digest,
                crashes,
                at,
            };
            self.known.insert(index, known);
        }
    }
}
