//! Who may send work to a target, and who may start a key.
//!
//! Each target and each idempotency key has one owner, which follows from the
//! published list. [`Tenure`] decides whether this daemon may use that right
//! now. Nothing is elected and nothing is stored: a right rests on what the
//! members say that they have read, and ends by the holder's own clock.
//! `docs/design/tenure.md` gives the rules and what each is needed for.

use crate::clock::Millis;
use crate::derive::value;
use crate::id;
use crate::roster::List;
use crate::roster::Revision;
use crate::roster::State;

value! {
    /// A thing that has one owner.
    pub enum Thing {
        /// A target.
        Target(id::Target),
        /// An idempotency key, by its hash.
        Key(u64),
    }

    /// Whether this daemon may use a right now.
    pub enum Right {
        /// It may, until the given moment of its own clock.
        Held {
            /// When its tenure began.
            since: Millis,
            /// When the right ends unless members acknowledge again.
            until: Millis,
        },
        /// Another daemon is the owner.
        Elsewhere(id::Instance),
        /// This daemon is the owner, but the right rests for now.
        Resting(Rest),
        /// The list names no owner.
        Nobody,
    }

    /// Why a right rests.
    pub enum Rest {
        /// Too few members have acknowledged lately.
        NoMajority,
        /// The former holder's right may not have ended yet.
        Waiting,
    }

    /// A daemon that the list has dropped.
    pub struct Departed {
        /// The daemon.
        pub id: id::Instance,
        /// How long ago the list dropped it.
        pub age: Millis,
        /// Whether it said goodbye, so that it holds no right any more.
        pub is_goodbye: bool,
    }

    /// The spans that the rules use.
    pub struct Timing {
        /// How long an acknowledgement counts, by the time its question was sent.
        pub freshness: Millis,
        /// How long a dropped daemon still counts as a member.
        pub dropped_memory: Millis,
    }
}

/// A list that was adopted.
#[derive(Clone, Debug)]
struct Seen {
    list: List,
    /// Whether its revision follows the one before without a gap.
    is_consecutive: bool,
    /// When a higher list replaced it.
    replaced_at: Option<Millis>,
    /// When more than half of the members had first seen it or a later one.
    majority_at: Option<Millis>,
}

/// The newest answer of one member.
#[derive(Clone, Debug)]
struct Ack {
    from: id::Instance,
    revision: Revision,
    /// When the question was sent that this answers.
    sent_at: Millis,
}

#[derive(Clone, Debug)]
struct Dropped {
    id: id::Instance,
    at: Millis,
    is_goodbye: bool,
}

/// How many adopted lists are kept to tell how long a right has been owned.
const SEEN_MAX: usize = 64;

/// The rights of one daemon.
#[derive(Clone, Debug)]
pub struct Tenure {
    me: id::Instance,
    timing: Timing,
    started: Millis,
    /// The adopted lists, oldest first.
    seen: Vec<Seen>,
    /// The newest answers, sorted by member.
    acks: Vec<Ack>,
    /// The daemons that lists have dropped, sorted by id.
    dropped: Vec<Dropped>,
}

impl Tenure {
    /// Starts without a list and without any right.
    #[must_use]
    pub fn new(me: id::Instance, timing: Timing, now: Millis) -> Self {
        Self {
            me,
            timing,
            started: now,
            seen: Vec::new(),
            acks: Vec::new(),
            dropped: Vec::new(),
        }
    }

    /// Returns the newest list, if one was adopted.
    #[must_use]
    pub fn list(&self) -> Option<&List> {
        self.seen.last().map(|seen| &seen.list)
    }

    /// Returns the newest revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.list()
            .map_or(Revision::default(), |list| list.revision)
    }

    /// Changes the spans, when settings change.
    pub fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// Tells whether this daemon may answer as a member.
    ///
    /// A fresh daemon stays silent for the freshness span, since an earlier
    /// run on the same machine may have acknowledged a higher revision.
    #[must_use]
    pub fn is_witness(&self, now: Millis) -> bool {
        now >= self.started + self.timing.freshness
    }

    /// Adopts a list if its revision is higher, and tells whether it did.
    pub fn adopt(&mut self, list: &List, now: Millis) -> bool {
        if list.revision <= self.revision() {
            return false;
        }
        let before = self.revision();
        if let Some(last) = self.seen.last_mut() {
            last.replaced_at = Some(now);
        }
        self.note_dropped(list, now);
        self.seen.push(Seen {
            list: list.clone(),
            is_consecutive: list.revision.0 == before.0 + 1,
            replaced_at: None,
            majority_at: None,
        });
        if self.seen.len() > SEEN_MAX {
            self.seen.remove(0);
        }
        self.note_majority(now);
        true
    }

    /// Notes a member's answer to a question sent at `sent_at`.
    pub fn acknowledge(
        &mut self,
        from: &id::Instance,
        revision: Revision,
        sent_at: Millis,
        now: Millis,
    ) {
        let found = self.acks.binary_search_by(|one| one.from.cmp(from));
        match found {
            Ok(index) if self.acks[index].sent_at >= sent_at => return,
            Ok(index) => {
                let ack = &mut self.acks[index];
                ack.revision = ack.revision.max(revision);
                ack.sent_at = sent_at;
            }
            Err(index) => self.acks.insert(
                index,
                Ack {
                    from: from.clone(),
                    revision,
                    sent_at,
                },
            ),
        }
        self.note_majority(now);
    }

    /// Takes in the daemons that a peer knows to have been dropped.
    pub fn merge_departed(&mut self, departed: &[Departed], now: Millis) {
        for one in departed {
            let at = now - one.age;
            self.note_departed(&one.id, at, one.is_goodbye);
        }
        self.forget_departed(now);
    }

    /// Notes that a daemon said goodbye: it has given up every right.
    pub fn goodbye(&mut self, id: &id::Instance, now: Millis) {
        self.note_departed(id, now, true);
        self.note_majority(now);
    }

    /// Returns the dropped daemons that still count, for a peer.
    #[must_use]
    pub fn departed(&self, now: Millis) -> Vec<Departed> {
        let as_told = |one: &Dropped| Departed {
            id: one.id.clone(),
            age: now - one.at,
            is_goodbye: one.is_goodbye,
        };
        self.dropped.iter().map(as_told).collect()
    }

    /// Tells whether this daemon may use the right to the thing now.
    ///
    /// The caller asks directly before each use, so that a daemon which was
    /// paused finds its right ended.
    #[must_use]
    pub fn right(&self, thing: &Thing, now: Millis) -> Right {
        let Some(owner) = self.list().and_then(|list| owner(list, thing)) else {
            return Right::Nobody;
        };
        if *owner != self.me {
            return Right::Elsewhere(owner.clone());
        }
        let first = self.first_of_run(thing);
        let Some(until) = self.majority_until(first, now) else {
            return Right::Resting(Rest::NoMajority);
        };
        let since = self.seen[first]
            .majority_at
            .map(|at| at + self.timing.freshness);
        match since {
            Some(since) if now >= since => Right::Held { since, until },
            _ => Right::Resting(Rest::Waiting),
        }
    }

    /// Tells whether a right that moved with the newest list could be used now.
    #[must_use]
    pub fn is_settled(&self, now: Millis) -> bool {
        let Some(last) = self.seen.last() else {
            return false;
        };
        let is_past = |at: Millis| now >= at + self.timing.freshness;
        let is_waited = last.majority_at.is_some_and(is_past);
        is_waited && self.majority_until(self.seen.len() - 1, now).is_some()
    }

    /// Drops what is too old to matter.
    pub fn tick(&mut self, now: Millis) {
        self.forget_departed(now);
        let horizon = self.timing.freshness;
        self.acks
            .retain(|ack| ack.sent_at + horizon > now || ack.revision > Revision(0));
        let members = self.members(now);
        self.acks
            .retain(|ack| members.binary_search(&ack.from).is_ok());
        self.note_majority(now);
    }

    // Members

    /// Returns the listed daemons and those dropped lately, sorted, without
    /// those that said goodbye.
    #[must_use]
    pub fn members(&self, now: Millis) -> Vec<id::Instance> {
        let listed = self.list().into_iter().flat_map(|list| &list.members);
        let mut members: Vec<id::Instance> = listed.map(|one| one.id.clone()).collect();
        let is_remembered = |one: &&Dropped| one.at + self.timing.dropped_memory > now;
        let dropped = self.dropped.iter().filter(is_remembered);
        members.extend(dropped.map(|one| one.id.clone()));
        members.retain(|id| !self.is_goodbye(id));
        members.sort();
        members.dedup();
        members
    }

    /// Tells whether a daemon said goodbye: it takes no calls any more.
    #[must_use]
    pub fn is_goodbye(&self, id: &id::Instance) -> bool {
        let found = self.dropped.binary_search_by(|one| one.id.cmp(id));
        found.is_ok_and(|index| self.dropped[index].is_goodbye)
    }

    fn note_dropped(&mut self, list: &List, now: Millis) {
        let Some(newest) = self.seen.last() else {
            return;
        };
        let is_gone = |id: &id::Instance| list.member(id).is_none();
        let gone: Vec<id::Instance> = newest
            .list
            .members
            .iter()
            .map(|one| one.id.clone())
            .filter(is_gone)
            .collect();
        for id in gone {
            self.note_departed(&id, now, false);
        }
    }

    fn note_departed(&mut self, id: &id::Instance, at: Millis, is_goodbye: bool) {
        match self.dropped.binary_search_by(|one| one.id.cmp(id)) {
            Ok(index) => {
                let known = &mut self.dropped[index];
                known.at = known.at.max(at);
                known.is_goodbye |= is_goodbye;
            }
            Err(index) => self.dropped.insert(
                index,
                Dropped {
                    id: id.clone(),
                    at,
                    is_goodbye,
                },
            ),
        }
    }

    fn forget_departed(&mut self, now: Millis) {
        let memory = self.timing.dropped_memory;
        self.dropped.retain(|one| one.at + memory > now);
    }

    // Majorities

    fn note_majority(&mut self, now: Millis) {
        let members = self.members(now);
        for index in 0..self.seen.len() {
            if self.seen[index].majority_at.is_some() {
                continue;
            }
            let revision = self.seen[index].list.revision;
            let has_seen = |id: &&id::Instance| **id == self.me || self.acked(id) >= Some(revision);
            let count = members.iter().filter(has_seen).count();
            if is_majority(count, members.len()) {
                self.seen[index].majority_at = Some(now);
            }
        }
    }

    fn acked(&self, id: &id::Instance) -> Option<Revision> {
        let found = self.acks.binary_search_by(|one| one.from.cmp(id));
        found.ok().map(|index| self.acks[index].revision)
    }

    /// Returns the index of the first list of the unbroken run in which this
    /// daemon has owned the thing up to now.
    fn first_of_run(&self, thing: &Thing) -> usize {
        let mut first = self.seen.len() - 1;
        while first > 0 && self.seen[first].is_consecutive {
            let before = &self.seen[first - 1].list;
            if owner(before, thing) != Some(&self.me) {
                break;
            }
            first -= 1;
        }
        first
    }

    /// Returns when the majority ends that acknowledges the run from `first`,
    /// or `None` if there is none now.
    fn majority_until(&self, first: usize, now: Millis) -> Option<Millis> {
        let until = self.group_until(&self.members(now), first, now)?;
        // Each list that was replaced lately needs its own majority, since
        // many new members at once could outvote all the former ones.
        let mut until = until;
        for seen in &self.seen {
            let memory_end = seen.replaced_at.map(|at| at + self.timing.dropped_memory);
            if memory_end.is_none_or(|end| end <= now) {
                continue;
            }
            let mut group: Vec<id::Instance> =
                seen.list.members.iter().map(|one| one.id.clone()).collect();
            group.retain(|id| !self.is_goodbye(id));
            if group.is_empty() {
                continue;
            }
            until = until.min(self.group_until(&group, first, now)?);
        }
        Some(until)
    }

    fn group_until(&self, group: &[id::Instance], first: usize, now: Millis) -> Option<Millis> {
        let low = self.seen[first].list.revision;
        let high = self.revision();
        let mut ends: Vec<Millis> = Vec::new();
        for id in group {
            if *id == self.me {
                ends.push(Millis::NEVER);
                continue;
            }
            let found = self.acks.binary_search_by(|one| one.from.cmp(id));
            let Ok(index) = found else { continue };
            let ack = &self.acks[index];
            let is_of_run = ack.revision >= low && ack.revision <= high;
            let end = ack.sent_at + self.timing.freshness;
            if is_of_run && end > now {
                ends.push(end);
            }
        }
        let needed = group.len() / 2 + 1;
        if ends.len() < needed {
            return None;
        }
        ends.sort_by(|one, other| other.cmp(one));
        Some(ends[needed - 1].min(now + self.timing.freshness))
    }
}

/// Names the owner of a thing by a list.
#[must_use]
pub fn owner<'a>(list: &'a List, thing: &Thing) -> Option<&'a id::Instance> {
    let member = match thing {
        Thing::Target(id) => list
            .target(id)
            .and_then(|target| list.owner_of_target(target)),
        Thing::Key(key) => list.owner_of_key(*key),
    };
    member
        .filter(|one| one.state == State::Live)
        .map(|one| &one.id)
}

fn is_majority(count: usize, of: usize) -> bool {
    of > 0 && count * 2 > of
}
