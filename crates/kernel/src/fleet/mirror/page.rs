//! Passes the contents of a mirror on in parts.

use crate::derive::value;
use crate::fleet::chunks;
use crate::fleet::chunks::Outline;
use crate::fleet::chunks::Partial;
use crate::fleet::mirror::Changes;
use crate::fleet::mirror::Entry;
use crate::fleet::mirror::Mirror;
use crate::fleet::mirror::Revision;

value! {
    /// A part of the contents of a mirror.
    pub struct Page {
        /// The entries of the part. It ends where these are complete.
        pub changes: Changes,
        /// The revision after which the part begins.
        pub after: Revision,
        /// The revision since which all removals are among the parts.
        pub since: Revision,
    }
}

impl Mirror {
    /// Returns the first changes after a revision, of about [`chunks::CALL_BYTES_MAX`], or
    /// a full copy if tombstones since then are unknown. Large values are outlined.
    #[must_use]
    pub fn changes(&self, after: Revision) -> Changes {
        // A replica that has nothing needs no tombstones.
        let is_whole = after > Revision::default() && self.lacks_tombstones_since(after);
        if is_whole {
            return self.full_copy();
        }
        self.changes_after(after, after)
    }

    /// Returns all entries.
    #[must_use]
    pub fn full_copy(&self) -> Changes {
        let existing = self.small_entries().filter(|entry| entry.value.is_some());
        Changes {
            entries: existing.cloned().collect(),
            outlines: self.current_outlines().cloned().collect(),
            through: self.through,
            is_whole: true,
        }
    }

    /// Returns the part of the contents that follows a revision, for a replica that has
    /// had all removals through `since`. The part is the first one of all contents if
    /// removals after that revision are unknown here.
    #[must_use]
    pub fn page(&self, after: Revision, since: Revision) -> Page {
        let is_fresh = after == Revision::default();
        let (after, since) = if is_fresh || self.lacks_tombstones_since(since) {
            (Revision::default(), self.through)
        } else {
            (after, since)
        };
        Page {
            changes: self.changes_after(after, since),
            after,
            since,
        }
    }

    /// Returns whether a replica that is complete up to a revision may have entries that
    /// were removed since, and of which there is no tombstone here.
    fn lacks_tombstones_since(&self, revision: Revision) -> bool {
        let mut gaps = self.gaps.iter();
        let is_in_gap = gaps.any(|(start, end)| *start < revision && revision < *end);
        is_in_gap || revision < self.trimmed
    }

    /// Returns the first changes after a revision; of removals only those after `since`.
    fn changes_after(&self, after: Revision, since: Revision) -> Changes {
        let through = self.first_changes_end(after, since);
        let is_included = |revision: Revision| after < revision && revision <= through;
        let entries = self.needed_entries(since);
        let outlines = self.current_outlines();
        Changes {
            entries: entries
                .filter(|entry| is_included(entry.revision))
                .cloned()
                .collect(),
            outlines: outlines
                .filter(|outline| is_included(outline.revision))
                .cloned()
                .collect(),
            through,
            is_whole: false,
        }
    }

    /// Returns the revision up to which the changes after `after` fit into a call, at
    /// least one if there is any.
    fn first_changes_end(&self, after: Revision, since: Revision) -> Revision {
        let entries = self.needed_entries(since).map(|entry| {
            let value = entry.value.as_ref().map_or(0, Vec::len);
            (entry.revision, entry.key.len() + value)
        });
        let outlines = self.current_outlines();
        let outlines =
            outlines.map(|outline| (outline.revision, size_of_val(outline.chunks.as_slice())));
        let changes = entries.chain(outlines);
        let mut changes: Vec<(Revision, usize)> =
            changes.filter(|(revision, _)| *revision > after).collect();
        changes.sort_unstable();
        let mut end = None;
        let mut bytes = 0;
        for (revision, size) in changes {
            bytes += size;
            // Entries of one revision go together.
            match end {
                Some(end) if bytes > chunks::CALL_BYTES_MAX && revision > end => return end,
                _ => end = Some(revision),
            }
        }
        self.through
    }

    /// Returns the entries that are passed on whole, and the tombstones after `since`.
    fn needed_entries(&self, since: Revision) -> impl Iterator<Item = &Entry> {
        let entries = self.small_entries();
        entries.filter(move |entry| entry.value.is_some() || entry.revision > since)
    }

    /// Returns the entries that are passed on whole.
    fn small_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| {
            self.find_outline(&entry.key).is_err() && self.find_partial(&entry.key).is_err()
        })
    }

    /// Returns the outline of the newest known value of each large entry.
    fn current_outlines(&self) -> impl Iterator<Item = &Outline> {
        let whole = self.outlines.iter();
        let whole = whole.filter(|outline| self.find_partial(&outline.key).is_err());
        whole.chain(self.partials.iter().map(Partial::outline))
    }
}
