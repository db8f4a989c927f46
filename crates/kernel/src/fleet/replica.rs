//! The copy of the platform's store over its eras.
//!
//! The store may come back from an older copy. Its era then rises by one, and its
//! revisions go back and are given out again, so a revision says nothing without its era:
//! positions are ordered by era first. A replica stays in its era until it has the whole
//! contents of a later one, which it collects beside its own, and never goes back.
//! [docs/design/store-era.md](../../../../../docs/design/store-era.md) has the reasons.

use compact_str::CompactString;

use crate::derive::scalar;
use crate::derive::value;
use crate::fleet::mirror::Changes;
use crate::fleet::mirror::Mirror;
use crate::fleet::mirror::Revision;

scalar! {
    /// An era of the store. It rises by one each time the store comes back from an older
    /// copy.
    #[derive(Default)]
    pub struct Era(pub u64);

    /// A point in the history of the store.
    #[derive(Default)]
    pub struct Position {
        /// The era; `None` if the store names none.
        pub era: Option<Era>,
        /// The revision within the era.
        pub revision: Revision,
    }
}

value! {
    /// Changes of the store with their place in its history.
    pub struct Contents {
        /// The era to which the changes belong.
        pub era: Option<Era>,
        /// The changes.
        pub changes: Changes,
        /// What the changes are a part of; `None` if they were read from the store, or by
        /// a daemon of a former build.
        pub part: Option<Part>,
    }

    /// The effect of contents on a replica.
    #[derive(Default)]
    pub struct Update {
        /// The keys whose values have changed.
        pub keys: Vec<CompactString>,
        /// The keys that were certainly written since the store came back from an older
        /// copy, also if their values have not changed.
        pub rewritten: Vec<CompactString>,
        /// Whether the replica has passed on to a later era, so that values may be older
        /// than those before.
        pub is_return: bool,
        /// Whether entries may have come and gone that the replica did not get, since the
        /// contents were those of one moment.
        pub has_gap: bool,
    }
}

scalar! {
    /// What a daemon asks a peer for.
    pub struct Request {
        /// The era.
        pub era: Option<Era>,
        /// The revision after which the contents are asked for.
        pub after: Revision,
        /// The revision up to which the daemon knows all removals.
        pub since: Revision,
        /// Whether the daemon collects all contents, and not only what it lacks.
        pub is_collecting: bool,
    }

    /// The place of changes among those that a peer passes on, call by call.
    pub struct Part {
        /// The revision after which they begin.
        pub after: Revision,
        /// The revision since which all removals are among the parts.
        pub since: Revision,
        /// The revision at which the last part ends.
        pub end: Revision,
        /// Whether the parts are all contents, and not only what the receiver lacks.
        pub is_of_all: bool,
    }
}

/// All contents of an era, as far as a peer has passed them on.
#[derive(Clone, Debug)]
struct Collection {
    era: Option<Era>,
    since: Revision,
    mirror: Mirror,
}

/// The copy of the store that a daemon has.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    era: Option<Era>,
    mirror: Mirror,
    /// Contents that replace those of the mirror once they are complete.
    next: Option<Collection>,
    /// The revision of the first contents of the era, if the store went back at its
    /// beginning. Entries up to it may be those of the older copy.
    base: Option<Revision>,
}

impl Contents {
    /// Returns changes that were read from the store.
    #[must_use]
    pub fn of(era: Option<Era>, changes: Changes) -> Self {
        Self {
            era,
            changes,
            part: None,
        }
    }
}

impl Replica {
    /// Returns the entries.
    #[must_use]
    pub fn mirror(&self) -> &Mirror {
        &self.mirror
    }

    /// Returns the position up to which the replica is complete.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.mirror.through(),
        }
    }

    /// Returns the position up to which all values are whole.
    #[must_use]
    pub fn whole_position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.mirror.whole_through(),
        }
    }

    /// Returns the position of a peer that has the contents through this revision.
    ///
    /// A peer that names no era is taken to be in that of the replica, unless the store
    /// has gone back since: then its revision may be of any era, and `None` is returned.
    #[must_use]
    pub fn position_of_peer(&self, era: Option<Era>, revision: Revision) -> Option<Position> {
        if era.is_none() && self.base.is_some() {
            return None;
        }
        let era = era.or(self.era);
        Some(Position { era, revision })
    }

    /// Returns what to ask a peer at this position for: the parts that follow those which
    /// have been collected, or else the changes since the replica's position.
    #[must_use]
    pub fn request(&self, theirs: Position) -> Request {
        let collected = self.next.as_ref().filter(|next| next.era == theirs.era);
        let through = self.mirror.through();
        let (after, since, is_collecting) = match collected {
            Some(next) => (next.mirror.through(), next.since, true),
            None if theirs.era == self.era => (through, through, false),
            None => (Revision::default(), Revision::default(), true),
        };
        Request {
            era: theirs.era,
            after,
            since,
            is_collecting,
        }
    }

    /// Returns the part of the contents that a peer asks for: the first part of all
    /// contents if it asks for another era, or if removals that it lacks are unknown here.
    #[must_use]
    pub fn contents(&self, request: Request) -> Contents {
        let known = Some(request).filter(|request| request.era == self.era);
        let (after, since) =
            known.map_or_else(Default::default, |known| (known.after, known.since));
        let page = self.mirror.page(after, since);
        let is_first = page.after == Revision::default();
        Contents {
            era: self.era,
            changes: page.changes,
            part: Some(Part {
                after: page.after,
                since: page.since,
                end: self.mirror.through(),
                is_of_all: is_first || request.is_collecting,
            }),
        }
    }

    /// Merges contents. Those of an earlier era are ignored; those of a later one take
    /// effect once they are complete.
    pub fn apply(&mut self, contents: Contents) -> Update {
        let Contents { era, changes, part } = contents;
        if era < self.era {
            return Update::default();
        }
        match part {
            Some(part) if part.is_of_all => self.collect(era, changes, part),
            Some(part) if era != self.era || part.after > self.mirror.through() => {
                Update::default()
            }
            _ if era == self.era => self.merge(changes),
            _ => {
                let mut mirror = Mirror::default();
                mirror.apply(changes);
                self.enter(era, mirror)
            }
        }
    }

    /// Adds chunks of large values, and returns the keys whose values have become whole
    /// and have changed.
    pub fn add_chunks(&mut self, chunks: &[Vec<u8>]) -> Vec<CompactString> {
        self.mirror.add_chunks(chunks)
    }

    /// Adds a part of all contents to those that were collected, which take effect with
    /// the last part.
    fn collect(&mut self, era: Option<Era>, changes: Changes, part: Part) -> Update {
        let is_next = |next: &Collection| {
            let is_same = (next.era, next.since) == (era, part.since);
            is_same && part.after > Revision::default() && next.mirror.through() >= part.after
        };
        let mut next = match self.next.take() {
            Some(next) if is_next(&next) => next,
            _ if part.after == Revision::default() => Collection {
                era,
                since: part.since,
                mirror: Mirror::default(),
            },
            other => {
                self.next = other;
                return Update::default();
            }
        };
        next.mirror.apply(changes);
        if next.mirror.through() < part.end {
            self.next = Some(next);
            return Update::default();
        }
        next.mirror.record_gap(Revision::default(), next.since);
        if era == self.era {
            return self.merge(next.mirror.full_copy());
        }
        self.enter(era, next.mirror)
    }

    /// Merges changes of the replica's era.
    fn merge(&mut self, changes: Changes) -> Update {
        let rewritten = self.rewritten(&changes);
        let has_gap = changes.is_whole;
        let keys = self.mirror.apply(changes);
        let through = self.mirror.through();
        let era = self.era;
        self.next
            .take_if(|next| next.era == era && next.since <= through);
        Update {
            keys,
            rewritten,
            is_return: false,
            has_gap,
        }
    }

    /// Passes on to a later era.
    fn enter(&mut self, era: Option<Era>, mirror: Mirror) -> Update {
        // The first era that is named is not a later one.
        let is_return = self.era.is_some();
        if is_return {
            self.base = Some(mirror.through());
        }
        self.era = era;
        self.next.take_if(|next| next.era <= era);
        Update {
            keys: self.mirror.replace(mirror),
            rewritten: Vec::new(),
            is_return,
            has_gap: true,
        }
    }

    fn rewritten(&self, changes: &Changes) -> Vec<CompactString> {
        let Some(base) = self.base else {
            return Vec::new();
        };
        let entries = changes.entries.iter();
        let later = entries.filter(|entry| entry.revision > base);
        later.map(|entry| entry.key.clone()).collect()
    }
}
