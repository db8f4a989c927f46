//! Replica of what the platform publishes, with the revision of each entry.
//!
//! A daemon fills its replica from the platform's store, or from a peer if it
//! doesn't read the store itself or the store refuses its calls. Entries are
//! merged by revision, so pages that aren't a consistent snapshot, repeated
//! events and answers from two sources may arrive in any order, and an entry
//! never reverts to an older revision. Removed entries are kept as tombstones
//! for a while, so that a late copy can't restore them.

use compact_str::CompactString;

use crate::derive::scalar;
use crate::derive::value;

scalar! {
    /// A revision of the platform's store; it only increases.
    #[derive(Default)]
    pub struct Revision(pub u64);
}

/// The largest number of tombstones.
///
/// It covers some minutes of changes in the largest fleet. A replica that is
/// further behind gets a full copy.
pub const TOMBSTONES_MAX: usize = 2_000;

value! {
    /// An entry, or the tombstone of a removed one.
    pub struct Entry {
        /// The key.
        pub key: CompactString,
        /// The value; `None` for a tombstone.
        pub value: Option<Vec<u8>>,
        /// The revision of its last change.
        pub revision: Revision,
    }

    /// Changes that one replica sends to another.
    pub struct Changes {
        /// The changed entries, or all entries if `is_whole`.
        pub entries: Vec<Entry>,
        /// The revision up to which the changes are complete.
        pub through: Revision,
        /// Whether this is a full copy: entries that are not listed do not
        /// exist.
        pub is_whole: bool,
    }
}

/// The replica of one daemon, sorted by key.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    entries: Vec<Entry>,
    through: Revision,
    /// Tombstones below this revision may have been dropped.
    trimmed: Revision,
}

impl Mirror {
    /// Returns the revision up to which the replica is complete.
    #[must_use]
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Merges changes that continue from the replica's revision, and returns
    /// the keys whose values have changed.
    pub fn apply(&mut self, changes: Changes) -> Vec<CompactString> {
        let mut changed_keys = Vec::new();
        let Changes {
            mut entries,
            through,
            is_whole,
        } = changes;
        if is_whole {
            entries.sort_by(|a, b| a.key.cmp(&b.key));
            let is_listed = |key: &str| {
                let found = entries.binary_search_by(|entry| entry.key.as_str().cmp(key));
                found.is_ok()
            };
            for entry in &mut self.entries {
                let is_old = entry.revision <= through;
                if is_old && entry.value.is_some() && !is_listed(&entry.key) {
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

    /// Returns the existing keys with this prefix, in order.
    pub fn keys<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        let start = self.entries.partition_point(|entry| *entry.key < *prefix);
        let from_prefix = self.entries[start..].iter();
        from_prefix
            .take_while(move |entry| entry.key.starts_with(prefix))
            .filter(|entry| entry.value.is_some())
            .map(|entry| entry.key.as_str())
    }

    /// Returns the changes since revision `after`, or a full copy if tombstones
    /// since then were dropped.
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
