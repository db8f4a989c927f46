//! At most one run of each non-idempotent request.
//!
//! The owner of a key remembers what became of it. A new owner has no memory
//! of its predecessor's keys, so for the horizon it says "unknown" of every
//! key that may have been sent before its tenure began, unless something
//! vouches that the key is new. See `docs/design/once.md`.

use std::sync::Arc;

use crate::answer::Kind;
use crate::clock::Millis;
use crate::derive::value;
use crate::hash;
use crate::id;

value! {
    /// An idempotency key, within the workspace and pipeline it was sent to.
    #[derive(PartialOrd, Ord)]
    pub struct Key {
        /// The workspace.
        pub workspace: id::Workspace,
        /// The pipeline.
        pub pipeline: id::Pipeline,
        /// The caller's text.
        pub text: String,
    }

    /// A recorded answer.
    pub struct Record {
        /// The status.
        pub status: u16,
        /// The headers of the answer, by name.
        pub headers: Vec<(String, String)>,
        /// The body.
        pub body: Arc<[u8]>,
    }

    /// What is to be done with a request that carries a key.
    pub enum Verdict {
        /// Run it; the key is taken.
        Run,
        /// Wait for the request that runs with this key.
        Join,
        /// Give the recorded answer.
        Replay(Record),
        /// Refuse it.
        Refuse(Kind),
    }

    /// How a request with a key ended.
    pub enum End {
        /// It has an answer, which is recorded.
        Answered(Record),
        /// No target was given the work, so the key is free again.
        NotRun,
        /// A target may have been given the work.
        Unknown,
    }

    /// A key and what became of it, as a leaver hands it over.
    pub struct Item {
        /// The key.
        pub key: Key,
        /// The digest of its request.
        pub digest: id::Digest,
        /// The recorded answer; `None` if its fate is not known.
        pub record: Option<Record>,
        /// How long ago it last changed.
        pub age: Millis,
    }

    /// What the asker knows about a key and its owner's tenure.
    pub struct Claim {
        /// The SHA-256 of the request's body.
        pub digest: id::Digest,
        /// When the owner's tenure over the key began.
        pub since: Millis,
        /// Whether the caller says truthfully that the key was never sent.
        pub is_first_attempt: bool,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    digest: id::Digest,
    state: Progress,
    /// When the entry was last changed.
    at: Millis,
}

#[derive(Clone, Debug)]
enum Progress {
    Running,
    Answered(Record),
    Unknown,
}

/// What one daemon remembers of the keys that it owns or has owned.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    entries: Vec<Entry>,
    bytes: usize,
    ticked_at: Option<Millis>,
}

/// From which span between two ticks on the process counts as paused.
const PAUSE: Millis = Millis(1000);

/// The most bytes of recorded answers that are kept.
///
/// Beyond it new keys are refused: forgetting a record early could run a
/// request twice.
pub const MEMORY_MAX_BYTES: usize = 16 << 20;

/// What one entry takes beside its answer, in bytes.
const ENTRY_BYTES: usize = 256;

impl Key {
    /// Hashes the key, to find its owner.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let place = hash::mix(
            hash::text(self.workspace.as_str()),
            hash::text(self.pipeline.as_str()),
        );
        hash::mix(place, hash::text(&self.text))
    }
}

impl Item {
    /// Returns about how many bytes the item takes in a message.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let body = self.record.as_ref().map_or(0, |record| record.body.len());
        ENTRY_BYTES + self.key.text.len() + body
    }
}

impl Memory {
    /// Decides about a request with a key, and takes the key if it may run.
    pub fn begin(&mut self, key: &Key, claim: &Claim, horizon: Millis, now: Millis) -> Verdict {
        let found = self.entries.binary_search_by(|one| one.key.cmp(key));
        match found {
            Ok(index) => self.known(index, claim),
            Err(_) if now < claim.since + horizon && !claim.is_first_attempt => {
                Verdict::Refuse(Kind::KeyUnknown)
            }
            Err(_) if self.bytes >= MEMORY_MAX_BYTES => Verdict::Refuse(Kind::Overloaded),
            Err(index) => {
                let entry = Entry {
                    key: key.clone(),
                    digest: claim.digest,
                    state: Progress::Running,
                    at: now,
                };
                self.entries.insert(index, entry);
                self.bytes += ENTRY_BYTES;
                Verdict::Run
            }
        }
    }

    /// Notes how the request that took the key has ended.
    pub fn finish(&mut self, key: &Key, end: End, now: Millis) {
        let Ok(index) = self.entries.binary_search_by(|one| one.key.cmp(key)) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.at = now;
        match end {
            End::Answered(record) => {
                self.bytes += record.body.len();
                entry.state = Progress::Answered(record);
            }
            End::Unknown => entry.state = Progress::Unknown,
            End::NotRun => {
                self.entries.remove(index);
                self.bytes = self.bytes.saturating_sub(ENTRY_BYTES);
            }
        }
    }

    /// Tells whether a key was taken under a tenure that began at `since`, and
    /// has not ended.
    #[must_use]
    pub fn is_running(&self, key: &Key, since: Millis) -> bool {
        let found = self.entries.binary_search_by(|one| one.key.cmp(key));
        found.is_ok_and(|index| {
            let entry = &self.entries[index];
            matches!(entry.state, Progress::Running) && entry.at >= since
        })
    }

    /// Returns every key, for its next owner.
    ///
    /// The fate of a key that is running is not known to that owner.
    #[must_use]
    pub fn items(&self, now: Millis) -> Vec<Item> {
        let item = |entry: &Entry| Item {
            key: entry.key.clone(),
            digest: entry.digest,
            record: match &entry.state {
                Progress::Answered(record) => Some(record.clone()),
                Progress::Running | Progress::Unknown => None,
            },
            age: now - entry.at,
        };
        self.entries.iter().map(item).collect()
    }

    /// Takes in a key from its former owner; one that is known stays.
    pub fn inherit(&mut self, item: &Item, now: Millis) {
        let found = self.entries.binary_search_by(|one| one.key.cmp(&item.key));
        let Err(index) = found else { return };
        let entry = Entry {
            key: item.key.clone(),
            digest: item.digest,
            state: match &item.record {
                Some(record) => Progress::Answered(record.clone()),
                None => Progress::Unknown,
            },
            at: now - item.age,
        };
        self.bytes += entry_bytes(&entry);
        self.entries.insert(index, entry);
    }

    /// Forgets keys that no caller may send again.
    ///
    /// Time in which the process was paused does not count: a request may have
    /// waited in its sockets all the while, and is read directly after it.
    /// A key that has run for longer is not known to end: its task may have
    /// been lost, so it is said to be unknown until it is forgotten.
    pub fn tick(&mut self, horizon: Millis, now: Millis) {
        // Twice the horizon covers a first try that arrived a horizon late.
        let memory = horizon + horizon;
        self.skip_pause(now);
        for entry in &mut self.entries {
            if matches!(entry.state, Progress::Running) && entry.at + memory <= now {
                entry.state = Progress::Unknown;
                entry.at = now;
            }
        }
        self.entries.retain(|one| one.at + memory > now);
        self.bytes = self.entries.iter().map(entry_bytes).sum();
    }

    fn skip_pause(&mut self, now: Millis) {
        let span = self.ticked_at.map_or(Millis::ZERO, |at| now - at);
        self.ticked_at = Some(now);
        if span < PAUSE {
            return;
        }
        for entry in &mut self.entries {
            entry.at = entry.at + span;
        }
    }

    /// Returns how many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many keys are being run.
    #[must_use]
    pub fn running(&self) -> usize {
        let is_running = |one: &&Entry| matches!(one.state, Progress::Running);
        self.entries.iter().filter(is_running).count()
    }

    /// Tells whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn known(&self, index: usize, claim: &Claim) -> Verdict {
        let entry = &self.entries[index];
        if entry.digest != claim.digest {
            return Verdict::Refuse(Kind::KeyMismatch);
        }
        match &entry.state {
            Progress::Running => Verdict::Join,
            Progress::Answered(record) => Verdict::Replay(record.clone()),
            Progress::Unknown => Verdict::Refuse(Kind::KeyUnknown),
        }
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    match &entry.state {
        Progress::Answered(record) => ENTRY_BYTES + record.body.len(),
        Progress::Running | Progress::Unknown => ENTRY_BYTES,
    }
}
