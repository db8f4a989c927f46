//! Who may send work to a target, and who may start a key.
//!
//! Each target and each idempotency key has one owner, which follows from the
//! published list. [`Tenure`] decides whether this daemon may use that right
//! now. Nothing is elected and nothing is stored: a right rests on what the
//! members say that they have read, and ends by the holder's own clock.
//! `docs/design/tenure.md` gives the rules and what each is needed for.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::handover::Stretch;
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
        /// The platform has not confirmed the list for too long.
        Unconfirmed,
        /// This daemon is fresh and does not know the lists before its first.
        NoPast,
        /// This daemon has given up its rights to leave.
        GivenUp,
    }

    /// A daemon that the list has dropped, or that has said goodbye.
    pub struct Departed {
        /// The daemon.
        pub id: id::Instance,
        /// How long ago that was.
        pub age: Millis,
        /// The list that dropped it; 0 if it is still listed.
        pub dropped_by: Revision,
        /// The newest list that it had seen when it said goodbye.
        pub goodbye: Option<Revision>,
    }

    /// A list that was replaced lately, as a daemon tells it to a fresh one.
    pub struct Past {
        /// Its revision.
        pub revision: Revision,
        /// How long it still counts.
        pub remaining: Millis,
        /// Its daemons, sorted.
        pub members: Vec<id::Instance>,
    }

    /// What a member's answer says about the rights of others.
    pub struct Answer {
        /// The newest list that it has seen.
        pub revision: Revision,
        /// How long its answer may be counted.
        pub freshness: Millis,
        /// How long answers that it gave before may still be counted.
        pub owed: Millis,
        /// Whether it knows the lists of late.
        pub knows_past: bool,
    }

    /// The spans that the rules use.
    pub struct Timing {
        /// How long an acknowledgement counts, by the time its question was sent.
        pub freshness: Millis,
        /// How long a replaced list and a dropped daemon still count.
        pub dropped_memory: Millis,
        /// How far back the beginning of a tenure matters.
        pub horizon: Millis,
    }
}

scalar! {
    /// Which rules are in force, so that a test can take one out and show
    /// what it is needed for. A daemon keeps them all.
    #[doc(hidden)]
    #[allow(clippy::struct_excessive_bools)]
    pub struct Rules {
        /// Only a higher revision is adopted.
        pub newest: bool,
        /// A right rests without the answers of a majority.
        pub majority: bool,
        /// A right rests until the former holder's has ended.
        pub wait: bool,
        /// A skipped revision begins a new tenure.
        pub consecutive: bool,
        /// Dropped daemons count as members for a while.
        pub union: bool,
        /// Each list of late needs a majority of its own.
        pub joint: bool,
        /// A fresh daemon is no witness.
        pub fresh: bool,
        /// A new owner refuses keys that it cannot vouch for.
        pub vouch: bool,
        /// A new owner counts a target as full for the longest call.
        pub full: bool,
        /// The right is checked directly before a send.
        pub check: bool,
        /// A fresh daemon learns the lists before its first.
        pub past: bool,
        /// A right rests when the platform has long not confirmed the list.
        pub confirmed: bool,
        /// An answer counts no longer than its giver says.
        pub granted: bool,
        /// A goodbye counts only for who has seen as new a list.
        pub goodbye: bool,
        /// Only the list moves ownership; otherwise a member that has not
        /// answered lately is passed over, as far as this daemon can tell.
        pub ordered: bool,
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            newest: true,
            majority: true,
            wait: true,
            consecutive: true,
            union: true,
            joint: true,
            fresh: true,
            vouch: true,
            full: true,
            check: true,
            past: true,
            confirmed: true,
            granted: true,
            goodbye: true,
            ordered: true,
        }
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
    /// When every right under the lists before it has ended.
    settled_at: Option<Millis>,
}

/// The daemons of a list that was replaced.
#[derive(Clone, Debug)]
struct Group {
    revision: Revision,
    members: Vec<id::Instance>,
    /// When it was replaced, or learned of.
    at: Millis,
    /// Until when it counts.
    until: Millis,
}

/// The newest answer of one member.
#[derive(Clone, Debug)]
struct Ack {
    from: id::Instance,
    answer: Answer,
    /// When the question was sent that this answers.
    sent_at: Millis,
}

#[derive(Clone, Debug)]
struct Dropped {
    id: id::Instance,
    at: Millis,
    /// The list that dropped it; 0 if it is still listed.
    by: Revision,
    goodbye: Option<Revision>,
}

/// How many adopted lists are kept to tell how long a right has been owned.
const SEEN_MAX: usize = 256;

/// The rights of one daemon.
#[derive(Clone, Debug)]
pub struct Tenure {
    me: id::Instance,
    timing: Timing,
    rules: Rules,
    started: Millis,
    /// Until when answers count that were given under an earlier freshness.
    owed_until: Millis,
    /// When the platform had last confirmed the newest list.
    confirmed_at: Option<Millis>,
    knows_past: bool,
    is_given_up: bool,
    /// The daemons that operators have declared to have ended, sorted.
    ended: Vec<id::Instance>,
    /// The adopted lists, oldest first.
    seen: Vec<Seen>,
    /// The lists that were replaced lately, sorted by revision.
    past: Vec<Group>,
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
            rules: Rules::default(),
            started: now,
            owed_until: now,
            confirmed_at: None,
            knows_past: false,
            is_given_up: false,
            ended: Vec::new(),
            seen: Vec::new(),
            past: Vec::new(),
            acks: Vec::new(),
            dropped: Vec::new(),
        }
    }

    /// Takes rules out, for a test.
    #[doc(hidden)]
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Returns the rules in force.
    #[doc(hidden)]
    #[must_use]
    pub fn rules(&self) -> Rules {
        self.rules
    }

    /// Returns this daemon's own id.
    #[must_use]
    pub fn me(&self) -> &id::Instance {
        &self.me
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
    ///
    /// Answers that were given under the former freshness still count for it,
    /// so a new tenure has to wait for them; see [`Answer::owed`].
    pub fn set_timing(&mut self, timing: Timing, now: Millis) {
        self.owed_until = self.owed_until.max(now + self.timing.freshness);
        self.timing = timing;
        for group in &mut self.past {
            group.until = group.until.max(group.at + self.timing.dropped_memory);
        }
    }

    /// Takes in which daemons operators have declared to have ended, sorted.
    ///
    /// They count no more once the list has dropped them too. So operators can
    /// shorten the rest after more than half of the members died at once.
    pub fn set_ended(&mut self, ended: &[id::Instance]) {
        self.ended = ended.to_vec();
    }

    /// Returns what this daemon answers to a member's question.
    #[must_use]
    pub fn answer(&self, now: Millis) -> Answer {
        Answer {
            revision: self.revision(),
            freshness: self.timing.freshness,
            owed: self.timing.freshness.max(self.owed_until - now),
            knows_past: self.knows_past,
        }
    }

    /// Tells whether this daemon may answer as a member.
    ///
    /// A fresh daemon stays silent for the freshness span, since an earlier
    /// run on the same machine may have acknowledged a higher revision.
    #[must_use]
    pub fn is_witness(&self, now: Millis) -> bool {
        !self.rules.fresh || now >= self.started + self.timing.freshness
    }

    /// Tells whether this daemon knows the lists of late.
    ///
    /// A fresh daemon does not: it learns them from a peer, so that fresh
    /// daemons cannot outvote members that they have never heard of.
    #[must_use]
    pub fn knows_past(&self) -> bool {
        self.knows_past
    }

    /// Adopts a list if its revision is higher, and tells whether it did.
    pub fn adopt(&mut self, list: &List, now: Millis) -> bool {
        let is_refused = if self.rules.newest {
            list.revision <= self.revision()
        } else {
            list.revision == self.revision()
        };
        if is_refused {
            return false;
        }
        let before = self.revision();
        if let Some(last) = self.seen.last_mut() {
            last.replaced_at = Some(now);
            let group = Group::of(&last.list, now, self.timing.dropped_memory);
            self.insert_group(group);
        }
        self.note_dropped(list, now);
        self.seen.push(Seen {
            list: list.clone(),
            is_consecutive: list.revision.0 == before.0 + 1,
            replaced_at: None,
            settled_at: None,
        });
        self.forget_seen(now);
        self.note_first_lists(now);
        self.note_majority(now);
        true
    }

    /// Notes that the platform's newest list was this daemon's at the moment.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Notes a member's answer to a question sent at `sent_at`.
    pub fn acknowledge(
        &mut self,
        from: &id::Instance,
        answer: &Answer,
        sent_at: Millis,
        now: Millis,
    ) {
        let found = self.acks.binary_search_by(|one| one.from.cmp(from));
        match found {
            Ok(index) if self.acks[index].sent_at >= sent_at => return,
            Ok(index) => {
                let ack = &mut self.acks[index];
                let highest = ack.answer.revision.max(answer.revision);
                ack.answer = answer.clone();
                ack.answer.revision = highest;
                ack.sent_at = sent_at;
            }
            Err(index) => self.acks.insert(
                index,
                Ack {
                    from: from.clone(),
                    answer: answer.clone(),
                    sent_at,
                },
            ),
        }
        self.note_first_lists(now);
        self.note_majority(now);
    }

    /// Takes in the daemons that a peer knows to have been dropped.
    pub fn merge_departed(&mut self, departed: &[Departed], now: Millis) {
        for one in departed {
            let known = Dropped {
                id: one.id.clone(),
                at: now - one.age,
                by: one.dropped_by,
                goodbye: one.goodbye,
            };
            self.note_departed(known);
        }
        self.forget_departed(now);
    }

    /// Notes that a daemon said goodbye: it has given up every right.
    ///
    /// `revision` is the newest list that it had seen.
    pub fn goodbye(&mut self, id: &id::Instance, revision: Revision, now: Millis) {
        self.note_departed(Dropped {
            id: id.clone(),
            at: now,
            by: Revision::default(),
            goodbye: Some(revision),
        });
        self.note_majority(now);
    }

    /// Gives up every right for good.
    pub fn give_up(&mut self) {
        self.is_given_up = true;
    }

    /// Returns the dropped daemons that still count, for a peer.
    #[must_use]
    pub fn departed(&self, now: Millis) -> Vec<Departed> {
        let as_told = |one: &Dropped| Departed {
            id: one.id.clone(),
            age: now - one.at,
            dropped_by: one.by,
            goodbye: one.goodbye,
        };
        self.dropped.iter().map(as_told).collect()
    }

    /// Returns the lists of late, the newest included, for a fresh peer;
    /// `None` if this daemon does not know them itself.
    #[must_use]
    pub fn past(&self, now: Millis) -> Option<Vec<Past>> {
        if !self.knows_past {
            return None;
        }
        let newest = self.list()?;
        let newest = Group::of(newest, now, self.timing.dropped_memory);
        let counting = self.past.iter().filter(|group| group.until > now);
        let as_told = |group: &Group| Past {
            revision: group.revision,
            remaining: group.until - now,
            members: group.members.clone(),
        };
        let told = counting.chain([&newest]).map(as_told);
        Some(told.collect())
    }

    /// Takes in the lists of late from a peer that knows them.
    pub fn learn_past(&mut self, past: &[Past], now: Millis) {
        if !self.rules.past {
            return;
        }
        for one in past {
            let group = Group {
                revision: one.revision,
                members: one.members.clone(),
                at: now,
                until: now + one.remaining,
            };
            if one.revision < self.revision() && self.insert_group(group) {
                self.unsettle(one.revision);
            }
        }
        self.knows_past = true;
        self.note_majority(now);
    }

    /// Tells whether this daemon may use the right to the thing now.
    ///
    /// The caller asks directly before each use, so that a daemon which was
    /// paused finds its right ended.
    #[must_use]
    pub fn right(&self, thing: &Thing, now: Millis) -> Right {
        let Some(owner) = self.owner(thing, now) else {
            return Right::Nobody;
        };
        if owner != self.me {
            return Right::Elsewhere(owner);
        }
        match self.usable(self.first_of_run(thing), now) {
            Ok((since, until)) => Right::Held { since, until },
            Err(rest) => Right::Resting(rest),
        }
    }

    /// Returns the daemon that owned the thing before this daemon's tenure, and
    /// the last list of its ownership, if no list was skipped in between.
    #[must_use]
    pub fn predecessor(&self, thing: &Thing) -> Option<(id::Instance, Revision)> {
        let first = self
            .seen
            .len()
            .checked_sub(1)
            .map(|_| self.first_of_run(thing))?;
        if !self.seen[first].is_consecutive {
            return None;
        }
        let before = &self.seen[first.checked_sub(1)?].list;
        Some((owner(before, thing)?.clone(), before.revision))
    }

    /// Returns the lists under which this daemon held rights, oldest first.
    #[must_use]
    pub fn stretches(&self, now: Millis) -> Vec<Stretch> {
        let stretch = |seen: &Seen| Stretch {
            revision: seen.list.revision,
            is_consecutive: seen.is_consecutive,
            held_for: seen.settled_at.filter(|at| *at <= now).map(|at| now - at),
            members: seen.list.members.clone(),
        };
        self.seen.iter().map(stretch).collect()
    }

    /// Tells whether a right that moved with the newest list could be used now.
    #[must_use]
    pub fn is_settled(&self, now: Millis) -> bool {
        !self.seen.is_empty() && self.usable(self.seen.len() - 1, now).is_ok()
    }

    /// Drops what is too old to matter.
    pub fn tick(&mut self, now: Millis) {
        self.forget_departed(now);
        self.forget_seen(now);
        self.past.retain(|group| group.until > now);
        if now >= self.started + self.timing.dropped_memory {
            self.knows_past = true;
        }
        self.note_first_lists(now);
        let mut counted = self.groups(now).concat();
        counted.sort();
        self.acks
            .retain(|ack| counted.binary_search(&ack.from).is_ok());
        self.note_majority(now);
    }

    // Rights

    fn owner(&self, thing: &Thing, now: Millis) -> Option<id::Instance> {
        let list = self.list()?;
        if self.rules.ordered {
            return owner(list, thing).cloned();
        }
        let is_answering = |id: &id::Instance| {
            let found = self.acks.binary_search_by(|one| one.from.cmp(id));
            *id == self.me || found.is_ok_and(|index| self.end_of(&self.acks[index]) > now)
        };
        let mut unsuspected = list.clone();
        unsuspected.members.retain(|one| is_answering(&one.id));
        owner(&unsuspected, thing).cloned()
    }

    /// Returns since when and until when a right may be used that this daemon
    /// has owned since the list of the index.
    fn usable(&self, first: usize, now: Millis) -> Result<(Millis, Millis), Rest> {
        if self.is_given_up {
            return Err(Rest::GivenUp);
        }
        if self.rules.past && !self.knows_past {
            return Err(Rest::NoPast);
        }
        let confirmed_until = self.confirmed_until(now);
        if confirmed_until <= now {
            return Err(Rest::Unconfirmed);
        }
        let until = self.majority_until(first, now).ok_or(Rest::NoMajority)?;
        match self.seen[first].settled_at {
            Some(since) if now >= since => Ok((since, until.min(confirmed_until))),
            _ => Err(Rest::Waiting),
        }
    }

    /// Returns until when the platform's last confirmation is enough.
    ///
    /// Others forget this list when it was replaced for the dropped memory, so
    /// a right under it has to end before that.
    fn confirmed_until(&self, now: Millis) -> Millis {
        if !self.rules.confirmed {
            return now + self.timing.freshness;
        }
        let span = self.timing.dropped_memory - self.timing.freshness;
        self.confirmed_at.map_or(Millis::ZERO, |at| at + span)
    }

    /// Returns the index of the first list of the unbroken run in which this
    /// daemon has owned the thing up to now.
    fn first_of_run(&self, thing: &Thing) -> usize {
        let mut first = self.seen.len() - 1;
        let is_unbroken = |seen: &Seen| seen.is_consecutive || !self.rules.consecutive;
        while first > 0 && is_unbroken(&self.seen[first]) {
            let before = &self.seen[first - 1].list;
            if owner(before, thing) != Some(&self.me) {
                break;
            }
            first -= 1;
        }
        first
    }

    // Members

    /// Returns the listed daemons and those dropped lately, sorted, without
    /// those that said goodbye.
    #[must_use]
    pub fn members(&self, now: Millis) -> Vec<id::Instance> {
        let listed = self.list().into_iter().flat_map(|list| &list.members);
        let mut members: Vec<id::Instance> = listed.map(|one| one.id.clone()).collect();
        let is_remembered = |one: &&Dropped| one.at + self.timing.dropped_memory > now;
        let is_counted = |_: &&Dropped| self.rules.union;
        let dropped = self.dropped.iter().filter(is_remembered).filter(is_counted);
        members.extend(dropped.map(|one| one.id.clone()));
        members.retain(|id| !self.is_excused(id));
        members.sort();
        members.dedup();
        members
    }

    /// Returns the groups of which each needs a majority of its own.
    ///
    /// The union alone is not enough: many new members at once could outvote
    /// all the former ones.
    fn groups(&self, now: Millis) -> Vec<Vec<id::Instance>> {
        let mut groups = vec![self.members(now)];
        if !self.rules.joint {
            return groups;
        }
        let newest = self.list().map(|list| {
            let ids = list.members.iter().map(|one| one.id.clone());
            ids.collect::<Vec<_>>()
        });
        groups.extend(newest);
        let counting = self.past.iter().filter(|group| group.until > now);
        groups.extend(counting.map(|group| group.members.clone()));
        for group in &mut groups {
            group.retain(|id| !self.is_excused(id));
        }
        groups.retain(|group| !group.is_empty());
        groups
    }

    /// Tells whether a daemon has left, so that it counts as a member no more.
    ///
    /// A goodbye counts only for who has seen as new a list as the leaver: others may
    /// need the leaver's former answers to learn that their right has moved.
    fn is_excused(&self, id: &id::Instance) -> bool {
        if self.ended.binary_search(id).is_ok() {
            return self.list().is_none_or(|list| list.member(id).is_none());
        }
        let said = self.goodbye_of(id);
        said.is_some_and(|revision| revision <= self.revision() || !self.rules.goodbye)
    }

    /// Tells whether a daemon said goodbye: it takes no calls any more.
    #[must_use]
    pub fn is_goodbye(&self, id: &id::Instance) -> bool {
        self.goodbye_of(id).is_some()
    }

    fn goodbye_of(&self, id: &id::Instance) -> Option<Revision> {
        let found = self.dropped.binary_search_by(|one| one.id.cmp(id));
        found.ok().and_then(|index| self.dropped[index].goodbye)
    }

    fn note_dropped(&mut self, list: &List, now: Millis) {
        let Some(newest) = self.seen.last() else {
            return;
        };
        let is_gone = |id: &id::Instance| list.member(id).is_none();
        let former = newest.list.members.iter().map(|one| one.id.clone());
        let gone: Vec<id::Instance> = former.filter(is_gone).collect();
        for id in gone {
            self.note_departed(Dropped {
                id,
                at: now,
                by: list.revision,
                goodbye: None,
            });
        }
    }

    /// Notes a departure. One that is known already keeps its time, unless a
    /// later list dropped the daemon again: each telling is late by the travel
    /// of its message, so that the newest time would never get old.
    fn note_departed(&mut self, one: Dropped) {
        match self.dropped.binary_search_by(|known| known.id.cmp(&one.id)) {
            Ok(index) => {
                let known = &mut self.dropped[index];
                if one.by > known.by {
                    known.by = one.by;
                    known.at = known.at.max(one.at);
                }
                known.goodbye = known.goodbye.or(one.goodbye);
            }
            Err(index) => self.dropped.insert(index, one),
        }
    }

    fn forget_departed(&mut self, now: Millis) {
        let memory = self.timing.dropped_memory;
        let list = self.seen.last().map(|seen| &seen.list);
        let is_listed = |id: &id::Instance| list.is_some_and(|list| list.member(id).is_some());
        let is_kept =
            |one: &Dropped| one.at + memory > now || (one.goodbye.is_some() && is_listed(&one.id));
        self.dropped.retain(is_kept);
    }

    fn forget_seen(&mut self, now: Millis) {
        let memory = self.timing.horizon;
        let is_old = |seen: &Seen| seen.replaced_at.is_some_and(|at| at + memory <= now);
        let old = self.seen.iter().take_while(|seen| is_old(seen)).count();
        let extra = self.seen.len().saturating_sub(SEEN_MAX);
        self.seen.drain(..old.max(extra));
    }

    /// Inserts a group and tells whether it is new.
    fn insert_group(&mut self, group: Group) -> bool {
        let key = group.revision;
        match self.past.binary_search_by(|one| one.revision.cmp(&key)) {
            Ok(index) => {
                self.past[index].until = self.past[index].until.max(group.until);
                false
            }
            Err(index) => {
                self.past.insert(index, group);
                true
            }
        }
    }

    /// Lets every list after the revision gain its majorities anew.
    fn unsettle(&mut self, revision: Revision) {
        for seen in &mut self.seen {
            if seen.list.revision > revision {
                seen.settled_at = None;
            }
        }
    }

    /// Notes that there are no lists of late when every listed daemon is as
    /// fresh as this one, as at the first start of a site.
    fn note_first_lists(&mut self, now: Millis) {
        let Some(list) = self.seen.last().map(|seen| &seen.list) else {
            return;
        };
        let is_fresh = |id: &id::Instance| {
            let found = self.acks.binary_search_by(|one| one.from.cmp(id));
            let ack = found.ok().map(|index| &self.acks[index]);
            *id == self.me
                || ack.is_some_and(|ack| {
                    let is_current = ack.sent_at + self.timing.freshness > now;
                    is_current && !ack.answer.knows_past
                })
        };
        let is_listed = list.member(&self.me).is_some();
        if is_listed && list.members.iter().all(|one| is_fresh(&one.id)) {
            self.knows_past = true;
        }
    }

    // Majorities

    fn note_majority(&mut self, now: Millis) {
        if self.seen.iter().all(|seen| seen.settled_at.is_some()) {
            return;
        }
        let groups = self.groups(now);
        let wait = self.wait(now);
        for index in 0..self.seen.len() {
            let revision = self.seen[index].list.revision;
            let has_seen = |id: &&id::Instance| **id == self.me || self.acked(id) >= Some(revision);
            let is_won = |group: &Vec<id::Instance>| {
                let count = group.iter().filter(has_seen).count();
                is_majority(count, group.len())
            };
            let is_settled = groups.iter().all(is_won) || !self.rules.majority;
            let seen = &mut self.seen[index];
            if seen.settled_at.is_none() && is_settled {
                seen.settled_at = Some(now + wait);
            }
        }
    }

    /// Returns how long answers may still count that members gave to others.
    fn wait(&self, now: Millis) -> Millis {
        if !self.rules.wait {
            return Millis::ZERO;
        }
        if !self.rules.granted {
            return self.timing.freshness;
        }
        let owed = self.acks.iter().map(|ack| ack.answer.owed).max();
        owed.max(Some(self.answer(now).owed)).unwrap_or_default()
    }

    fn acked(&self, id: &id::Instance) -> Option<Revision> {
        let found = self.acks.binary_search_by(|one| one.from.cmp(id));
        found.ok().map(|index| self.acks[index].answer.revision)
    }

    /// Returns when the majorities end that acknowledge the run from `first`,
    /// or `None` if one is lacking now.
    fn majority_until(&self, first: usize, now: Millis) -> Option<Millis> {
        let latest = now + self.timing.freshness;
        if !self.rules.majority {
            return Some(latest);
        }
        let mut until = latest;
        for group in self.groups(now) {
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
            let is_of_run = ack.answer.revision >= low && ack.answer.revision <= high;
            let end = self.end_of(ack);
            if is_of_run && end > now {
                ends.push(end);
            }
        }
        let needed = group.len() / 2 + 1;
        if ends.len() < needed {
            return None;
        }
        ends.sort_by(|one, other| other.cmp(one));
        Some(ends[needed - 1])
    }

    fn end_of(&self, ack: &Ack) -> Millis {
        let mine = self.timing.freshness;
        let span = if self.rules.granted {
            mine.min(ack.answer.freshness)
        } else {
            mine
        };
        ack.sent_at + span
    }
}

impl Group {
    fn of(list: &List, now: Millis, memory: Millis) -> Self {
        Self {
            revision: list.revision,
            members: list.members.iter().map(|one| one.id.clone()).collect(),
            at: now,
            until: now + memory,
        }
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
