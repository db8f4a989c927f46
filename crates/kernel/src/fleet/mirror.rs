//! Replica of what the platform publishes, with the revision of each entry.
//!
//! A daemon fills its replica from the platform's store, or from a peer if it
//! doesn't read the store itself or the store refuses its calls. Entries are
//! merged by revision, so pages that aren't a consistent snapshot, repeated
//! events and answers from two sources may arrive in any order, and an entry
//! never reverts to an older revision. Removed entries are kept as tombstones
//! for a while, so that a late copy can't restore them.
//!
//! Large values come from a peer as outlines, and their chunks follow
//! ([`chunks`]). Until all of them are there the former value holds, while smaller
//! entries of the same and of later changes are in force at once.
//!
//! - `page` passes the contents on in parts.
//! - `replacement` replaces the contents by those of another era.

mod page;
mod replacement;

use compact_str::CompactString;

use crate::derive::scalar;
use crate::derive::value;
use crate::fleet::chunks;
use crate::fleet::chunks::Chunk;
use crate::fleet::chunks::Outline;
use crate::fleet::chunks::Partial;
pub use crate::fleet::mirror::page::Page;
use crate::id::Digest;

scalar! {
    /// A revision of the platform's store; it only increases within an era.
    #[derive(Default)]
    pub struct Revision(pub u64);
}

/// The largest number of tombstones.
///
/// It covers some minutes of changes in the largest fleet. A replica that is
/// further behind gets a full copy.
pub const TOMBSTONES_MAX: usize = 2_000;
/// The largest number of gaps; older ones are joined.
const GAPS_MAX: usize = 16;

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
        /// The entries among these whose values are passed on in chunks.
        pub outlines: Vec<Outline>,
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
    /// The outlines of the large values among the entries, sorted by key.
    outlines: Vec<Outline>,
    /// Newer large values of which chunks are missing, sorted by key.
    partials: Vec<Partial>,
    through: Revision,
    /// Tombstones below this revision may have been dropped.
    trimmed: Revision,
    /// The latest spans of revisions, from after the first to before the second, of which
    /// a full copy brought only what was left at their end. Entries that came and went
    /// within one are unknown.
    gaps: Vec<(Revision, Revision)>,
}

impl Mirror {
    /// Returns the revision up to which the replica is complete.
    #[must_use]
    pub fn through(&self) -> Revision {
        self.through
    }

    /// Returns the revision up to which all values are whole: it is lower than
    /// [`Mirror::through`] while chunks are missing.
    #[must_use]
    pub fn whole_through(&self) -> Revision {
        let partial = self
            .partials
            .iter()
            .map(|partial| partial.outline().revision);
        let before_partial = partial
            .min()
            .map(|first| Revision(first.0.saturating_sub(1)));
        before_partial.map_or(self.through, |before| before.min(self.through))
    }

    /// Merges changes that continue from the replica's revision, and returns
    /// the keys whose values have changed.
    pub fn apply(&mut self, changes: Changes) -> Vec<CompactString> {
        let mut changed_keys = Vec::new();
        if changes.is_whole {
            self.record_gap(self.through, changes.through);
            self.remove_unlisted(&changes, &mut changed_keys);
        }
        for entry in changes.entries {
            changed_keys.extend(self.set(entry));
        }
        for outline in changes.outlines {
            changed_keys.extend(self.set_outline(outline));
        }
        self.through = self.through.max(changes.through);
        self.trim();
        changed_keys
    }

    /// Returns some of the chunks that are missing, as many as are fetched in one
    /// call.
    #[must_use]
    pub fn missing_chunks(&self) -> Vec<Digest> {
        let partial = self.partials.first();
        partial.map(Partial::missing).unwrap_or_default()
    }

    /// Returns the bytes of those of the chunks that are known, for a peer.
    #[must_use]
    pub fn chunks(&self, digests: &[Digest]) -> Vec<Vec<u8>> {
        let known = self.known_chunks();
        let mut found: Vec<(Chunk, &[u8])> = known
            .filter(|(chunk, _)| digests.contains(&chunk.digest))
            .collect();
        found.sort_unstable();
        found.dedup();
        found.into_iter().map(|(_, bytes)| bytes.to_vec()).collect()
    }

    /// Returns the chunks of all large values with their bytes, as far as they are known.
    fn known_chunks(&self) -> impl Iterator<Item = (Chunk, &[u8])> {
        let whole = self.outlines.iter().flat_map(|outline| {
            let value = self.get(&outline.key).unwrap_or_default();
            outline.slices(value)
        });
        whole.chain(self.partials.iter().flat_map(Partial::known))
    }

    /// Adds chunks that a peer has sent, and returns the keys whose values have
    /// become whole and have changed.
    pub fn add_chunks(&mut self, chunks: &[Vec<u8>]) -> Vec<CompactString> {
        for bytes in chunks {
            let chunk = chunks::chunk_of(bytes);
            for partial in &mut self.partials {
                partial.insert(chunk, bytes);
            }
        }
        let partials = std::mem::take(&mut self.partials);
        let changed = partials
            .into_iter()
            .filter_map(|partial| self.settle(partial));
        changed.collect()
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&[u8]> {
        let entry = self.find(key).ok().map(|index| &self.entries[index])?;
        entry.value.as_deref()
    }

    /// Returns whether a key has an entry or the tombstone of one.
    #[must_use]
    pub fn has_seen(&self, key: &str) -> bool {
        self.find(key).is_ok()
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

    /// Removes the entries that a full copy does not list.
    fn remove_unlisted(&mut self, copy: &Changes, changed_keys: &mut Vec<CompactString>) {
        let entries = copy.entries.iter().map(|entry| entry.key.as_str());
        let outlines = copy.outlines.iter().map(|outline| outline.key.as_str());
        let mut listed: Vec<&str> = entries.chain(outlines).collect();
        listed.sort_unstable();
        let is_listed = |key: &str| listed.binary_search(&key).is_ok();
        for entry in &mut self.entries {
            let is_old = entry.revision <= copy.through;
            if is_old && entry.value.is_some() && !is_listed(&entry.key) {
                entry.value = None;
                entry.revision = copy.through;
                changed_keys.push(entry.key.clone());
            }
        }
        let entries = &self.entries;
        self.outlines.retain(|outline| {
            let found = entries.binary_search_by(|entry| entry.key.cmp(&outline.key));
            found.is_ok_and(|index| entries[index].value.is_some())
        });
        self.partials.retain(|partial| {
            let outline = partial.outline();
            outline.revision > copy.through || is_listed(&outline.key)
        });
    }

    fn set(&mut self, entry: Entry) -> Option<CompactString> {
        let key = entry.key.clone();
        let found = self.find(&key);
        if found.is_ok_and(|index| self.entries[index].revision >= entry.revision) {
            return None;
        }
        self.outline(&entry);
        match found {
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

    /// Replaces the outline of an entry that changes, and drops chunks that were
    /// collected for a change before it.
    fn outline(&mut self, entry: &Entry) {
        if let Ok(index) = self.find_partial(&entry.key)
            && self.partials[index].outline().revision <= entry.revision
        {
            self.partials.remove(index);
        }
        let value = entry.value.as_ref();
        let large = value.filter(|value| value.len() >= chunks::LARGE_VALUE_MIN);
        let outline = large.map(|value| Outline::of(&entry.key, entry.revision, value));
        match (self.find_outline(&entry.key), outline) {
            (Ok(index), Some(outline)) => self.outlines[index] = outline,
            (Ok(index), None) => {
                self.outlines.remove(index);
            }
            (Err(index), Some(outline)) => self.outlines.insert(index, outline),
            (Err(_), None) => {}
        }
    }

    /// Begins to collect the chunks of a large value; those of the present value and
    /// of an earlier change are used again. Returns the key if the value has changed
    /// and no chunk is missing.
    fn set_outline(&mut self, outline: Outline) -> Option<CompactString> {
        let known = self.find(&outline.key);
        if known.is_ok_and(|index| self.entries[index].revision >= outline.revision) {
            return None;
        }
        let former = match self.find_partial(&outline.key) {
            Ok(index) if self.partials[index].outline().revision >= outline.revision => {
                return None;
            }
            Ok(index) => Some(self.partials.remove(index)),
            Err(_) => None,
        };
        let mut partial = Partial::new(outline);
        if let Ok(index) = self.find_outline(&partial.outline().key) {
            let outline = &self.outlines[index];
            for (chunk, bytes) in outline.slices(self.get(&outline.key).unwrap_or_default()) {
                partial.insert(chunk, bytes);
            }
        }
        for (chunk, bytes) in former.iter().flat_map(Partial::known) {
            partial.insert(chunk, bytes);
        }
        self.settle(partial)
    }

    /// Sets the entry of a value if it is whole, and else keeps its chunks. Returns
    /// the key if the value has changed.
    fn settle(&mut self, partial: Partial) -> Option<CompactString> {
        let Outline { key, revision, .. } = partial.outline().clone();
        if let Some(value) = partial.assemble() {
            return self.set(Entry {
                key,
                value: Some(value),
                revision,
            });
        }
        if let Err(index) = self.find_partial(&key) {
            self.partials.insert(index, partial);
        }
        None
    }

    /// Records a span of revisions whose tombstones are unknown.
    pub(super) fn record_gap(&mut self, start: Revision, end: Revision) {
        if start >= end {
            return;
        }
        self.gaps.push((start, end));
        if self.gaps.len() > GAPS_MAX {
            let (start, _) = self.gaps.remove(0);
            self.gaps[0].0 = start;
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

    fn find_outline(&self, key: &str) -> Result<usize, usize> {
        self.outlines
            .binary_search_by(|outline| outline.key.as_str().cmp(key))
    }

    fn find_partial(&self, key: &str) -> Result<usize, usize> {
        self.partials
            .binary_search_by(|partial| partial.outline().key.as_str().cmp(key))
    }
}
