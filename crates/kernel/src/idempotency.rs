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
    pub struct RecordedAnswer {
        /// The status.
        pub status: u16,
        /// The headers of the answer, by name.
        pub headers: Vec<(String, String)>,
        /// The body.
        pub body: Arc<[u8]>,
    }

    /// What is to be done with a request that carries a key.
    pub enum Decision {
        /// Run it; the key is taken.
        Run,
        /// Wait for the request that runs with this key.
        AwaitRunning,
        /// Give the recorded answer.
        Replay(RecordedAnswer),
        /// Refuse it.
        Refuse(Kind),
    }

    /// How a request with a key ended.
    pub enum Completion {
        /// It has an answer, which is recorded.
        Answered(RecordedAnswer),
        /// No target was given the work, so the key is free again.
        NotRun,
        /// A target may have been given the work.
        Unknown,
    }

    /// A key and what became of it, as a leaver hands it over.
    pub struct KeyRecord {
        /// The key.
        pub key: Key,
        /// The digest of its request.
        pub digest: id::Digest,
        /// The recorded answer; `None` if its fate is not known.
        pub answer: Option<RecordedAnswer>,
        /// How long ago it last changed.
        pub age: Millis,
    }

    /// What the asker knows about a key and its owner's tenure.
    pub struct KeyRequest {
        /// The SHA-256 of the request's body.
        pub digest: id::Digest,
        /// When the owner's tenure over the key began.
        pub lease_since: Millis,
        /// Whether the caller says truthfully that the key was never sent.
        pub is_first_attempt: bool,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    digest: id::Digest,
    state: KeyState,
    /// When the entry was last changed.
    changed_at: Millis,
}

#[derive(Clone, Debug)]
enum KeyState {
    Running,
    Answered(RecordedAnswer),
    Unknown,
}

/// What one daemon remembers of the keys that it owns or has owned.
#[derive(Clone, Debug, Default)]
pub struct KeyStore {
    entries: Vec<Entry>,
    bytes: usize,
    ticked_at: Option<Millis>,
}

/// From which span between two ticks on the process counts as paused.
const PAUSE_THRESHOLD: Millis = Millis(1000);

/// The most bytes of recorded answers that are kept.
///
/// Beyond it new keys are refused: forgetting a record early could run a
/// request twice.
pub const RECORDS_MAX_BYTES: usize = 16 << 20;

/// What one entry takes beside its answer, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;

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

impl KeyRecord {
    /// Returns about how many bytes the item takes in a message.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let body = self.answer.as_ref().map_or(0, |answer| answer.body.len());
        ENTRY_OVERHEAD_BYTES + self.key.text.len() + body
    }
}

impl KeyStore {
    /// Decides about a request with a key, and takes the key if it may run.
    pub fn begin(
        &mut self,
        key: &Key,
        request: &KeyRequest,
        horizon: Millis,
        now: Millis,
    ) -> Decision {
        let found = self.entries.binary_search_by(|entry| entry.key.cmp(key));
        match found {
            Ok(index) => self.decide_known(index, request),
            Err(_) if now < request.lease_since + horizon && !request.is_first_attempt => {
                Decision::Refuse(Kind::KeyUnknown)
            }
            Err(_) if self.bytes >= RECORDS_MAX_BYTES => Decision::Refuse(Kind::Overloaded),
            Err(index) => {
                let entry = Entry {
                    key: key.clone(),
                    digest: request.digest,
                    state: KeyState::Running,
                    changed_at: now,
                };
                self.entries.insert(index, entry);
                self.bytes += ENTRY_OVERHEAD_BYTES;
                Decision::Run
            }
        }
    }

    /// Notes how the request that took the key has ended.
    pub fn finish(&mut self, key: &Key, completion: Completion, now: Millis) {
        let Ok(index) = self.entries.binary_search_by(|entry| entry.key.cmp(key)) else {
            return;
        };
        let entry = &mut self.entries[index];
        entry.changed_at = now;
        match completion {
            Completion::Answered(answer) => {
                self.bytes += answer.body.len();
                entry.state = KeyState::Answered(answer);
            }
            Completion::Unknown => entry.state = KeyState::Unknown,
            Completion::NotRun => {
                self.entries.remove(index);
                self.bytes = self.bytes.saturating_sub(ENTRY_OVERHEAD_BYTES);
            }
        }
    }

    /// Tells whether a key was taken under a tenure that began at `since`, and
    /// has not ended.
    #[must_use]
    pub fn is_running(&self, key: &Key, since: Millis) -> bool {
        let found = self.entries.binary_search_by(|entry| entry.key.cmp(key));
        found.is_ok_and(|index| {
            let entry = &self.entries[index];
            matches!(entry.state, KeyState::Running) && entry.changed_at >= since
        })
    }

    /// Returns every key, for its next owner.
    ///
    /// The fate of a key that is running is not known to that owner.
    #[must_use]
    pub fn records(&self, now: Millis) -> Vec<KeyRecord> {
        let to_record = |entry: &Entry| KeyRecord {
            key: entry.key.clone(),
            digest: entry.digest,
            answer: match &entry.state {
                KeyState::Answered(answer) => Some(answer.clone()),
                KeyState::Running | KeyState::Unknown => None,
            },
            age: now - entry.changed_at,
        };
        self.entries.iter().map(to_record).collect()
    }

    /// Takes in a key from its former owner; one that is known stays.
    pub fn import(&mut self, record: &KeyRecord, now: Millis) {
        let found = self
            .entries
            .binary_search_by(|entry| entry.key.cmp(&record.key));
        let Err(index) = found else { return };
        let entry = Entry {
            key: record.key.clone(),
            digest: record.digest,
            state: match &record.answer {
                Some(answer) => KeyState::Answered(answer.clone()),
                None => KeyState::Unknown,
            },
            changed_at: now - record.age,
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
        let retention = horizon + horizon;
        self.exclude_pause(now);
        for entry in &mut self.entries {
            if matches!(entry.state, KeyState::Running) && entry.changed_at + retention <= now {
                entry.state = KeyState::Unknown;
                entry.changed_at = now;
            }
        }
        self.entries
            .retain(|entry| entry.changed_at + retention > now);
        self.bytes = self.entries.iter().map(entry_bytes).sum();
    }

    fn exclude_pause(&mut self, now: Millis) {
        let span = self.ticked_at.map_or(Millis::ZERO, |at| now - at);
        self.ticked_at = Some(now);
        if span < PAUSE_THRESHOLD {
            return;
        }
        for entry in &mut self.entries {
            entry.changed_at = entry.changed_at + span;
        }
    }

    /// Returns how many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns how many keys are being run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let is_running = |entry: &&Entry| matches!(entry.state, KeyState::Running);
        self.entries.iter().filter(is_running).count()
    }

    /// Tells whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn decide_known(&self, index: usize, request: &KeyRequest) -> Decision {
        let entry = &self.entries[index];
        if entry.digest != request.digest {
            return Decision::Refuse(Kind::KeyMismatch);
        }
        match &entry.state {
            KeyState::Running => Decision::AwaitRunning,
            KeyState::Answered(answer) => Decision::Replay(answer.clone()),
            KeyState::Unknown => Decision::Refuse(Kind::KeyUnknown),
        }
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    match &entry.state {
        KeyState::Answered(answer) => ENTRY_OVERHEAD_BYTES + answer.body.len(),
        KeyState::Running | KeyState::Unknown => ENTRY_OVERHEAD_BYTES,
    }
}
