//! At most one run of each non-idempotent request, by its idempotency key.
//!
//! The owner of a key stores the outcome of its request. A new owner does not
//! know the requests that ran before its lease. Until the lease is older than the
//! horizon, it therefore refuses every unknown key with [`Kind::KeyUnknown`],
//! because the key may have been sent before, unless the predecessor handed over
//! its keys or a trusted client states that this is the first attempt. See
//! `docs/design/once.md`.

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
        /// The key as the client sent it.
        pub text: String,
    }

    /// A stored answer, for replay to later requests with the key.
    pub struct RecordedAnswer {
        /// The HTTP status.
        pub status: u16,
        /// The headers, as pairs of name and value.
        pub headers: Vec<(String, String)>,
        /// The body.
        pub body: Arc<[u8]>,
    }

    /// What to do with a request that carries a key.
    pub enum Decision {
        /// Run it; the key is now marked as running.
        Run,
        /// Wait for the request that is running with this key.
        AwaitRunning,
        /// Return the recorded answer.
        Replay(RecordedAnswer),
        /// Refuse the request.
        Refuse(Kind),
    }

    /// How a request with a key ended.
    pub enum Completion {
        /// The request was answered; the answer is recorded.
        Answered(RecordedAnswer),
        /// No target received the request, so the key may be used again.
        NotRun,
        /// A target may have received the request, but its result is not known.
        Unknown,
    }

    /// A key and its outcome, as a departing owner hands it over.
    pub struct KeyRecord {
        /// The key.
        pub key: Key,
        /// The digest of its request.
        pub digest: id::Digest,
        /// The recorded answer; `None` if the outcome is unknown.
        pub answer: Option<RecordedAnswer>,
        /// How long ago the entry last changed.
        pub age: Millis,
    }

    /// The facts of a request with a key that decide whether it may run.
    pub struct KeyRequest {
        /// The SHA-256 of the request's body.
        pub digest: id::Digest,
        /// Since when the owner knows every use of the key: the start of its
        /// lease, or of its predecessor's if the key was handed over.
        pub known_since: Millis,
        /// Whether a trusted client states that the key was never sent before.
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

/// The keys that one daemon owns or has owned, sorted by key.
#[derive(Clone, Debug, Default)]
pub struct KeyStore {
    entries: Vec<Entry>,
    bytes: usize,
    ticked_at: Option<Millis>,
}

/// The shortest time between two ticks that counts as a pause of the process.
const PAUSE_THRESHOLD: Millis = Millis(1000);

/// The most bytes that the stored keys and answers may take.
///
/// Above it, new keys are refused: evicting an answer early could let a request
/// run twice.
pub const RECORDS_MAX_BYTES: usize = 16 << 20;

/// The size of one entry without its answer.
const ENTRY_OVERHEAD_BYTES: usize = 256;

impl Key {
    /// Returns the hash by which the owner of the key is chosen.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let scope = hash::mix(
            hash::text(self.workspace.as_str()),
            hash::text(self.pipeline.as_str()),
        );
        hash::mix(scope, hash::text(&self.text))
    }
}

impl KeyRecord {
    /// Returns the approximate size of the record in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let body = self.answer.as_ref().map_or(0, |answer| answer.body.len());
        ENTRY_OVERHEAD_BYTES + self.key.text.len() + body
    }
}

impl KeyStore {
    /// Decides about a request with a key; marks the key as running if it may run.
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
            Err(_) if now < request.known_since + horizon && !request.is_first_attempt => {
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

    /// Records how the request that ran with the key has ended.
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

    /// Returns whether a request that began at `since` or later is running with
    /// the key.
    #[must_use]
    pub fn is_running(&self, key: &Key, since: Millis) -> bool {
        let found = self.entries.binary_search_by(|entry| entry.key.cmp(key));
        found.is_ok_and(|index| {
            let entry = &self.entries[index];
            matches!(entry.state, KeyState::Running) && entry.changed_at >= since
        })
    }

    /// Returns every key, to be handed over to its next owner.
    ///
    /// A key that is still running is handed over with an unknown outcome.
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

    /// Adds a key that its former owner has handed over; a known key is kept.
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

    /// Expires keys that no client may send again.
    ///
    /// Time in which the process was paused does not count, because a request
    /// may have waited in a socket during the pause and is read directly after it.
    /// A key that has been running for the retention is marked as unknown, since
    /// its task may have been lost, and expires after another retention.
    pub fn tick(&mut self, horizon: Millis, now: Millis) {
        // Twice the horizon covers a first attempt that arrived a horizon late.
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
        let elapsed = self.ticked_at.map_or(Millis::ZERO, |at| now - at);
        self.ticked_at = Some(now);
        if elapsed < PAUSE_THRESHOLD {
            return;
        }
        for entry in &mut self.entries {
            entry.changed_at = entry.changed_at + elapsed;
        }
    }

    /// Returns the number of stored keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of keys with a running request.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let is_running = |entry: &&Entry| matches!(entry.state, KeyState::Running);
        self.entries.iter().filter(is_running).count()
    }

    /// Returns whether no key is stored.
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
