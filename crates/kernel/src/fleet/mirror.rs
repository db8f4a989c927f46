//! A copy of what the platform publishes, with the revision of each entry.
//!
//! A daemon fills its mirror from the platform, or from a peer while the
//! platform turns it away. Entries are merged by revision, so pages that are
//! no snapshot, repeated events and answers of two sources may come in any
//! order, and the copy of an entry never goes back. What was removed is kept
//! as a tombstone for a while, so that a late copy cannot bring it back.

use compact_str::CompactString;

use crate::derive::scalar;
use crate::derive::value;

scalar! {
    /// A revision of the platform's store; it only grows.
    #[derive(Default)]
    pub struct Revision(pub u64);
}

/// How many tombstones are kept.
///
/// It is some minutes of the largest fleet's changes; a mirror that is further
/// behind takes the whole copy.
pub const TOMBSTONES_MAX: usize = 2_000;

value! {
    /// An entry, or what is left of it.
    pub struct Entry {
        /// Its key.
        pub key: CompactString,
        /// Its value; `None` if it was removed.
        pub value: Option<Vec<u8>>,
        /// The revision of its last change.
        pub revision: Revision,
    }

    /// What one mirror gives another.
    pub struct Changes {
        /// The changes, or every entry if `is_whole`.
        pub entries: Vec<Entry>,
        /// Up to which revision the mirror is complete.
        pub through: Revision,
        /// Whether entries that are not named do not exist.
        pub is_whole: bool,
    }
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    entries: Vec<Entry>,
    through: Revision,
    /// Tombstones up to this revision were dropped.
    trimmed: Revision,
}

impl Mirror {
    /// Returns up to which revision the copy is complete.
    #[must_use]
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Takes in changes that follow what is known, and returns the keys whose
    /// entries are different now.
    pub fn apply(&mut self, changes: Changes) -> Vec<CompactString> {
        let mut changed_keys = Vec::new();
        let Changes {
            mut entries,
            through,
            is_whole,
        } = changes;
        if is_whole {
            entries.sort_by(|one, other| one.key.cmp(&other.key));
            let is_named = |key: &str| {
                let found = entries.binary_search_by(|entry| entry.key.as_str().cmp(key));
                found.is_ok()
            };
            for entry in &mut self.entries {
                let is_old = entry.revision <= through;
                if is_old && entry.value.is_some() && !is_named(&entry.key) {
                    entry.value = None;
                    entry.revision = through;
                    changed_keys.push(entry.key.clone());
                }
            }
        }
        for entry in entries {
            if let Some(key) = self.set(entry) {
                changed_keys.push(key);
            }
        }
        self.through = self.through.max(through);
        self.trim();
        changed_keys
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&[u8]> {
        let entry = self.find(key).ok().map(|index| &self.entries[index])?;
        entry.value.as_deref()
    }

    /// Returns the keys that begin with the prefix and exist.
    pub fn keys<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        let start = self.entries.partition_point(|entry| *entry.key < *prefix);
        let within = self.entries[start..].iter();
        within
            .take_while(move |entry| entry.key.starts_with(prefix))
            .filter(|entry| entry.value.is_some())
            .map(|entry| entry.key.as_str())
    }

    /// Returns what a mirror that is complete up to `after` lacks.
    #[must_use]
    pub fn changes(&self, after: Revision) -> Changes {
        let is_whole = after < self.trimmed || after == Revision::default();
        let is_included = |entry: &&Entry| is_whole || entry.revision > after;
        Changes {
            entries: self.entries.iter().filter(is_included).cloned().collect(),
            through: self.through,
            is_whole,
        }
    }

    fn set(&mut self, entry: Entry) -> Option<CompactString> {
        let key = entry.key.clone();
        match self.find(&entry.key) {
            Ok(index) if self.entries[index].revision >= entry.revision => None,
            Ok(index) => {
                let has_changed = self.entries[index].value != entry.value;
                self.entries[index] = entry;
                has_changed.then_some(key)
            }
            Err(index) => {
                let exists = entry.value.is_some();
                self.entries.insert(index, entry);
                exists.then_some(key)
            }
        }
    }

    fn trim(&mut self) {
        let tombstones = self.entries.iter().filter(|entry| entry.value.is_none());
        let mut revisions: Vec<Revision> = tombstones.map(|entry| entry.revision).collect();
        if revisions.len() <= TOMBSTONES_MAX {
            return;
        }
        revisions.sort_unstable();
        let bound = revisions[revisions.len() - TOMBSTONES_MAX / 2];
        self.entries
            .retain(|entry| entry.value.is_some() || entry.revision >= bound);
        self.trimmed = self.trimmed.max(bound);
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.key.as_str().cmp(key))
    }
}
