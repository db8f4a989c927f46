//! Who may send work to a target, and who may start a key.
//!
//! Each target and each idempotency key has one owner, which follows from the
//! published list. [`Leases`] decides whether this daemon may use that right
//! now. Nothing is elected and nothing is stored: a right rests on what the
//! members say that they have read, and ends by the holder's own clock.
//! `docs/design/tenure.md` gives the rules and what each is needed for.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::handover::LeasePeriod;
use crate::id;
use crate::published_list::Lifecycle;
use crate::published_list::PublishedList;
use crate::published_list::Revision;

value! {
    /// A thing that has one owner.
    pub enum Resource {
        /// A target.
        Target(id::Target),
        /// An idempotency key, by its hash.
        Key(u64),
    }

    /// Whether this daemon may use a right now.
    pub enum LeaseState {
        /// It may, until the given moment of its own clock.
        Held {
            /// When its tenure began.
            since: Millis,
            /// When the right ends unless members acknowledge again.
            until: Millis,
        },
        /// Another daemon is the owner.
        OwnedBy(id::Instance),
        /// This daemon is the owner, but the right rests for now.
        Unusable(UnusableReason),
        /// The list names no owner.
        Unowned,
    }

    /// Why a right rests.
    pub enum UnusableReason {
        /// Too few members have acknowledged lately.
        NoMajority,
        /// The former holder's right may not have ended yet.
        AwaitingFormerLease,
        /// The platform has not confirmed the list for too long.
        Unconfirmed,
        /// This daemon is fresh and does not know the lists before its first.
        RecentListsUnknown,
        /// This daemon has given up its rights to leave.
        Relinquished,
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
        pub announced_revision: Option<Revision>,
    }

    /// A list that was replaced lately, as a daemon tells it to a fresh one.
    pub struct RecentList {
        /// Its revision.
        pub revision: Revision,
        /// How long it still counts.
        pub remaining: Millis,
        /// Its daemons, sorted.
        pub members: Vec<id::Instance>,
    }

    /// What a member's answer says about the rights of others.
    pub struct Acknowledgement {
        /// The newest list that it has seen.
        pub revision: Revision,
        /// How long its answer may be counted.
        pub freshness: Millis,
        /// How long answers that it gave before may still be counted.
        pub earlier_valid_for: Millis,
        /// Whether it knows the lists of late.
        pub knows_recent_lists: bool,
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
        pub only_newer_lists: bool,
        /// A right rests without the answers of a majority.
        pub needs_majority: bool,
        /// A right rests until the former holder's has ended.
        pub waits_for_former_lease: bool,
        /// A skipped revision begins a new tenure.
        pub gap_starts_new_lease: bool,
        /// Dropped daemons count as members for a while.
        pub counts_dropped_members: bool,
        /// Each list of late needs a majority of its own.
        pub majority_of_each_list: bool,
        /// A fresh daemon is no witness.
        pub fresh_daemon_abstains: bool,
        /// A new owner refuses keys that it cannot vouch for.
        pub refuses_unknown_keys: bool,
        /// A new owner counts a target as full for the longest call.
        pub assumes_target_full: bool,
        /// The right is checked directly before a send.
        pub rechecks_before_send: bool,
        /// A fresh daemon learns the lists before its first.
        pub needs_recent_lists: bool,
        /// A right rests when the platform has long not confirmed the list.
        pub needs_confirmed_list: bool,
        /// An answer counts no longer than its giver says.
        pub limits_by_acknowledger: bool,
        /// A goodbye counts only for who has seen as new a list.
        pub departure_needs_revision: bool,
        /// Only the list moves ownership; otherwise a member that has not
        /// answered lately is passed over, as far as this daemon can tell.
        pub owner_by_list_only: bool,
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            only_newer_lists: true,
            needs_majority: true,
            waits_for_former_lease: true,
            gap_starts_new_lease: true,
            counts_dropped_members: true,
            majority_of_each_list: true,
            fresh_daemon_abstains: true,
            refuses_unknown_keys: true,
            assumes_target_full: true,
            rechecks_before_send: true,
            needs_recent_lists: true,
            needs_confirmed_list: true,
            limits_by_acknowledger: true,
            departure_needs_revision: true,
            owner_by_list_only: true,
        }
    }
}

/// A list that was adopted.
#[derive(Clone, Debug)]
struct AdoptedList {
    list: PublishedList,
    /// Whether its revision follows the one before without a gap.
    is_consecutive: bool,
    /// When a higher list replaced it.
    replaced_at: Option<Millis>,
    /// When every right under the lists before it has ended.
    usable_from: Option<Millis>,
}

/// The daemons of a list that was replaced.
#[derive(Clone, Debug)]
struct ReplacedList {
    revision: Revision,
    members: Vec<id::Instance>,
    /// When it was replaced, or learned of.
    at: Millis,
    /// Until when it counts.
    until: Millis,
}

/// The newest answer of one member.
#[derive(Clone, Debug)]
struct ReceivedAck {
    from: id::Instance,
    acknowledgement: Acknowledgement,
    /// When the question was sent that this answers.
    sent_at: Millis,
}

#[derive(Clone, Debug)]
struct Departure {
    id: id::Instance,
    departed_at: Millis,
    /// The list that dropped it; 0 if it is still listed.
    dropped_by: Revision,
    announced_revision: Option<Revision>,
}

/// How many adopted lists are kept to tell how long a right has been owned.
const ADOPTED_LISTS_MAX: usize = 256;

/// The rights of one daemon.
#[derive(Clone, Debug)]
pub struct Leases {
    me: id::Instance,
    timing: Timing,
    rules: Rules,
    started: Millis,
    /// Until when answers count that were given under an earlier freshness.
    earlier_valid_until: Millis,
    /// When the platform had last confirmed the newest list.
    confirmed_at: Option<Millis>,
    knows_recent_lists: bool,
    is_relinquished: bool,
    /// The daemons that operators have declared to have ended, sorted.
    ended: Vec<id::Instance>,
    /// The adopted lists, oldest first.
    adopted: Vec<AdoptedList>,
    /// The lists that were replaced lately, sorted by revision.
    past: Vec<ReplacedList>,
    /// The newest answers, sorted by member.
    acks: Vec<ReceivedAck>,
    /// The daemons that lists have dropped, sorted by id.
    departures: Vec<Departure>,
}

impl Leases {
    /// Starts without a list and without any right.
    #[must_use]
    pub fn new(me: id::Instance, timing: Timing, now: Millis) -> Self {
        Self {
            me,
            timing,
            rules: Rules::default(),
            started: now,
            earlier_valid_until: now,
            confirmed_at: None,
            knows_recent_lists: false,
            is_relinquished: false,
            ended: Vec::new(),
            adopted: Vec::new(),
            past: Vec::new(),
            acks: Vec::new(),
            departures: Vec::new(),
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
    pub fn list(&self) -> Option<&PublishedList> {
        self.adopted.last().map(|adopted| &adopted.list)
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
    /// so a new tenure has to wait for them; see [`Acknowledgement::earlier_valid_for`].
    pub fn set_timing(&mut self, timing: Timing, now: Millis) {
        self.earlier_valid_until = self.earlier_valid_until.max(now + self.timing.freshness);
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
    pub fn acknowledgement(&self, now: Millis) -> Acknowledgement {
        Acknowledgement {
            revision: self.revision(),
            freshness: self.timing.freshness,
            earlier_valid_for: self.timing.freshness.max(self.earlier_valid_until - now),
            knows_recent_lists: self.knows_recent_lists,
        }
    }

    /// Tells whether this daemon may answer as a member.
    ///
    /// A fresh daemon stays silent for the freshness span, since an earlier
    /// run on the same machine may have acknowledged a higher revision.
    #[must_use]
    pub fn may_acknowledge(&self, now: Millis) -> bool {
        !self.rules.fresh_daemon_abstains || now >= self.started + self.timing.freshness
    }

    /// Tells whether this daemon knows the lists of late.
    ///
    /// A fresh daemon does not: it learns them from a peer, so that fresh
    /// daemons cannot outvote members that they have never heard of.
    #[must_use]
    pub fn knows_recent_lists(&self) -> bool {
        self.knows_recent_lists
    }

    /// Adopts a list if its revision is higher, and tells whether it did.
    pub fn adopt(&mut self, list: &PublishedList, now: Millis) -> bool {
        let is_refused = if self.rules.only_newer_lists {
            list.revision <= self.revision()
        } else {
            list.revision == self.revision()
        };
        if is_refused {
            return false;
        }
        let before = self.revision();
        if let Some(last) = self.adopted.last_mut() {
            last.replaced_at = Some(now);
            let group = ReplacedList::of(&last.list, now, self.timing.dropped_memory);
            self.insert_replaced(group);
        }
        self.record_dropped(list, now);
        self.adopted.push(AdoptedList {
            list: list.clone(),
            is_consecutive: list.revision.0 == before.0 + 1,
            replaced_at: None,
            usable_from: None,
        });
        self.expire_adopted(now);
        self.detect_first_start(now);
        self.update_majorities(now);
        true
    }

    /// Notes that the platform's newest list was this daemon's at the moment.
    pub fn confirm_list(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Notes a member's answer to a question sent at `sent_at`.
    pub fn record_acknowledgement(
        &mut self,
        from: &id::Instance,
        acknowledgement: &Acknowledgement,
        sent_at: Millis,
        now: Millis,
    ) {
        let found = self.acks.binary_search_by(|one| one.from.cmp(from));
        match found {
            Ok(index) if self.acks[index].sent_at >= sent_at => return,
            Ok(index) => {
                let ack = &mut self.acks[index];
                let highest = ack.acknowledgement.revision.max(acknowledgement.revision);
                ack.acknowledgement = acknowledgement.clone();
                ack.acknowledgement.revision = highest;
                ack.sent_at = sent_at;
            }
            Err(index) => self.acks.insert(
                index,
                ReceivedAck {
                    from: from.clone(),
                    acknowledgement: acknowledgement.clone(),
                    sent_at,
                },
            ),
        }
        self.detect_first_start(now);
        self.update_majorities(now);
    }

    /// Takes in the daemons that a peer knows to have been dropped.
    pub fn merge_departures(&mut self, departed: &[Departed], now: Millis) {
        for one in departed {
            let known = Departure {
                id: one.id.clone(),
                departed_at: now - one.age,
                dropped_by: one.dropped_by,
                announced_revision: one.announced_revision,
            };
            self.record_departure(known);
        }
        self.expire_departures(now);
    }

    /// Notes that a daemon said goodbye: it has given up every right.
    ///
    /// `revision` is the newest list that it had seen.
    pub fn record_departure_announcement(
        &mut self,
        id: &id::Instance,
        revision: Revision,
        now: Millis,
    ) {
        self.record_departure(Departure {
            id: id.clone(),
            departed_at: now,
            dropped_by: Revision::default(),
            announced_revision: Some(revision),
        });
        self.update_majorities(now);
    }

    /// Gives up every right for good.
    pub fn relinquish(&mut self) {
        self.is_relinquished = true;
    }

    /// Returns the dropped daemons that still count, for a peer.
    #[must_use]
    pub fn departures(&self, now: Millis) -> Vec<Departed> {
        let to_departed = |one: &Departure| Departed {
            id: one.id.clone(),
            age: now - one.departed_at,
            dropped_by: one.dropped_by,
            announced_revision: one.announced_revision,
        };
        self.departures.iter().map(to_departed).collect()
    }

    /// Returns the lists of late, the newest included, for a fresh peer;
    /// `None` if this daemon does not know them itself.
    #[must_use]
    pub fn recent_lists(&self, now: Millis) -> Option<Vec<RecentList>> {
        if !self.knows_recent_lists {
            return None;
        }
        let newest = self.list()?;
        let newest = ReplacedList::of(newest, now, self.timing.dropped_memory);
        let counting = self.past.iter().filter(|group| group.until > now);
        let to_recent_list = |group: &ReplacedList| RecentList {
            revision: group.revision,
            remaining: group.until - now,
            members: group.members.clone(),
        };
        let recent = counting.chain([&newest]).map(to_recent_list);
        Some(recent.collect())
    }

    /// Takes in the lists of late from a peer that knows them.
    pub fn merge_recent_lists(&mut self, past: &[RecentList], now: Millis) {
        if !self.rules.needs_recent_lists {
            return;
        }
        for one in past {
            let group = ReplacedList {
                revision: one.revision,
                members: one.members.clone(),
                at: now,
                until: now + one.remaining,
            };
            if one.revision < self.revision() && self.insert_replaced(group) {
                self.reset_majorities_after(one.revision);
            }
        }
        self.knows_recent_lists = true;
        self.update_majorities(now);
    }

    /// Tells whether this daemon may use the right to the thing now.
    ///
    /// The caller asks directly before each use, so that a daemon which was
    /// paused finds its right ended.
    #[must_use]
    pub fn lease_state(&self, resource: &Resource, now: Millis) -> LeaseState {
        let Some(owner) = self.owner(resource, now) else {
            return LeaseState::Unowned;
        };
        if owner != self.me {
            return LeaseState::OwnedBy(owner);
        }
        match self.usable_span(self.first_owned_index(resource), now) {
            Ok((since, until)) => LeaseState::Held { since, until },
            Err(reason) => LeaseState::Unusable(reason),
        }
    }

    /// Returns the daemon that owned the thing before this daemon's tenure, and
    /// the last list of its ownership, if no list was skipped in between.
    #[must_use]
    pub fn predecessor(&self, resource: &Resource) -> Option<(id::Instance, Revision)> {
        let first = self
            .adopted
            .len()
            .checked_sub(1)
            .map(|_| self.first_owned_index(resource))?;
        if !self.adopted[first].is_consecutive {
            return None;
        }
        let before = &self.adopted[first.checked_sub(1)?].list;
        Some((owner(before, resource)?.clone(), before.revision))
    }

    /// Returns the lists under which this daemon held rights, oldest first.
    #[must_use]
    pub fn lease_periods(&self, now: Millis) -> Vec<LeasePeriod> {
        let period = |adopted: &AdoptedList| LeasePeriod {
            revision: adopted.list.revision,
            is_consecutive: adopted.is_consecutive,
            held_for: adopted
                .usable_from
                .filter(|at| *at <= now)
                .map(|at| now - at),
            members: adopted.list.members.clone(),
        };
        self.adopted.iter().map(period).collect()
    }

    /// Tells whether a right that moved with the newest list could be used now.
    #[must_use]
    pub fn is_newest_list_in_force(&self, now: Millis) -> bool {
        !self.adopted.is_empty() && self.usable_span(self.adopted.len() - 1, now).is_ok()
    }

    /// Drops what is too old to matter.
    pub fn tick(&mut self, now: Millis) {
        self.expire_departures(now);
        self.expire_adopted(now);
        self.past.retain(|group| group.until > now);
        if now >= self.started + self.timing.dropped_memory {
            self.knows_recent_lists = true;
        }
        self.detect_first_start(now);
        let mut counted = self.voting_groups(now).concat();
        counted.sort();
        self.acks
            .retain(|ack| counted.binary_search(&ack.from).is_ok());
        self.update_majorities(now);
    }

    // Rights

    fn owner(&self, resource: &Resource, now: Millis) -> Option<id::Instance> {
        let list = self.list()?;
        if self.rules.owner_by_list_only {
            return owner(list, resource).cloned();
        }
        let is_answering = |id: &id::Instance| {
            let found = self.acks.binary_search_by(|one| one.from.cmp(id));
            *id == self.me || found.is_ok_and(|index| self.valid_until(&self.acks[index]) > now)
        };
        let mut unsuspected = list.clone();
        unsuspected.members.retain(|one| is_answering(&one.id));
        owner(&unsuspected, resource).cloned()
    }

    /// Returns since when and until when a right may be used that this daemon
    /// has owned since the list of the index.
    fn usable_span(&self, first: usize, now: Millis) -> Result<(Millis, Millis), UnusableReason> {
        if self.is_relinquished {
            return Err(UnusableReason::Relinquished);
        }
        if self.rules.needs_recent_lists && !self.knows_recent_lists {
            return Err(UnusableReason::RecentListsUnknown);
        }
        let confirmed_until = self.confirmed_until(now);
        if confirmed_until <= now {
            return Err(UnusableReason::Unconfirmed);
        }
        let until = self
            .majorities_until(first, now)
            .ok_or(UnusableReason::NoMajority)?;
        match self.adopted[first].usable_from {
            Some(since) if now >= since => Ok((since, until.min(confirmed_until))),
            _ => Err(UnusableReason::AwaitingFormerLease),
        }
    }

    /// Returns until when the platform's last confirmation is enough.
    ///
    /// Others forget this list when it was replaced for the dropped memory, so
    /// a right under it has to end before that.
    fn confirmed_until(&self, now: Millis) -> Millis {
        if !self.rules.needs_confirmed_list {
            return now + self.timing.freshness;
        }
        let span = self.timing.dropped_memory - self.timing.freshness;
        self.confirmed_at.map_or(Millis::ZERO, |at| at + span)
    }

    /// Returns the index of the first list of the unbroken run in which this
    /// daemon has owned the thing up to now.
    fn first_owned_index(&self, resource: &Resource) -> usize {
        let mut first = self.adopted.len() - 1;
        let is_unbroken =
            |adopted: &AdoptedList| adopted.is_consecutive || !self.rules.gap_starts_new_lease;
        while first > 0 && is_unbroken(&self.adopted[first]) {
            let before = &self.adopted[first - 1].list;
            if owner(before, resource) != Some(&self.me) {
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
        let is_remembered = |one: &&Departure| one.departed_at + self.timing.dropped_memory > now;
        let is_counted = |_: &&Departure| self.rules.counts_dropped_members;
        let departures = self
            .departures
            .iter()
            .filter(is_remembered)
            .filter(is_counted);
        members.extend(departures.map(|one| one.id.clone()));
        members.retain(|id| !self.has_left_membership(id));
        members.sort();
        members.dedup();
        members
    }

    /// Returns the groups of which each needs a majority of its own.
    ///
    /// The union alone is not enough: many new members at once could outvote
    /// all the former ones.
    fn voting_groups(&self, now: Millis) -> Vec<Vec<id::Instance>> {
        let mut groups = vec![self.members(now)];
        if !self.rules.majority_of_each_list {
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
            group.retain(|id| !self.has_left_membership(id));
        }
        groups.retain(|group| !group.is_empty());
        groups
    }

    /// Tells whether a daemon has left, so that it counts as a member no more.
    ///
    /// A goodbye counts only for who has seen as new a list as the leaver: others may
    /// need the leaver's former answers to learn that their right has moved.
    fn has_left_membership(&self, id: &id::Instance) -> bool {
        if self.ended.binary_search(id).is_ok() {
            return self.list().is_none_or(|list| list.member(id).is_none());
        }
        let said = self.announced_departure(id);
        said.is_some_and(|revision| {
            revision <= self.revision() || !self.rules.departure_needs_revision
        })
    }

    /// Tells whether a daemon said goodbye: it takes no calls any more.
    #[must_use]
    pub fn has_announced_departure(&self, id: &id::Instance) -> bool {
        self.announced_departure(id).is_some()
    }

    fn announced_departure(&self, id: &id::Instance) -> Option<Revision> {
        let found = self.departures.binary_search_by(|one| one.id.cmp(id));
        found
            .ok()
            .and_then(|index| self.departures[index].announced_revision)
    }

    fn record_dropped(&mut self, list: &PublishedList, now: Millis) {
        let Some(newest) = self.adopted.last() else {
            return;
        };
        let is_gone = |id: &id::Instance| list.member(id).is_none();
        let former = newest.list.members.iter().map(|one| one.id.clone());
        let gone: Vec<id::Instance> = former.filter(is_gone).collect();
        for id in gone {
            self.record_departure(Departure {
                id,
                departed_at: now,
                dropped_by: list.revision,
                announced_revision: None,
            });
        }
    }

    /// Notes a departure. One that is known already keeps its time, unless a
    /// later list dropped the daemon again: each telling is late by the travel
    /// of its message, so that the newest time would never get old.
    fn record_departure(&mut self, one: Departure) {
        match self
            .departures
            .binary_search_by(|known| known.id.cmp(&one.id))
        {
            Ok(index) => {
                let known = &mut self.departures[index];
                if one.dropped_by > known.dropped_by {
                    known.dropped_by = one.dropped_by;
                    known.departed_at = known.departed_at.max(one.departed_at);
                }
                known.announced_revision = known.announced_revision.or(one.announced_revision);
            }
            Err(index) => self.departures.insert(index, one),
        }
    }

    fn expire_departures(&mut self, now: Millis) {
        let memory = self.timing.dropped_memory;
        let list = self.adopted.last().map(|adopted| &adopted.list);
        let is_listed = |id: &id::Instance| list.is_some_and(|list| list.member(id).is_some());
        let is_kept = |one: &Departure| {
            one.departed_at + memory > now
                || (one.announced_revision.is_some() && is_listed(&one.id))
        };
        self.departures.retain(is_kept);
    }

    fn expire_adopted(&mut self, now: Millis) {
        let memory = self.timing.horizon;
        let is_old =
            |adopted: &AdoptedList| adopted.replaced_at.is_some_and(|at| at + memory <= now);
        let old = self
            .adopted
            .iter()
            .take_while(|adopted| is_old(adopted))
            .count();
        let extra = self.adopted.len().saturating_sub(ADOPTED_LISTS_MAX);
        self.adopted.drain(..old.max(extra));
    }

    /// Inserts a group and tells whether it is new.
    fn insert_replaced(&mut self, group: ReplacedList) -> bool {
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
    fn reset_majorities_after(&mut self, revision: Revision) {
        for adopted in &mut self.adopted {
            if adopted.list.revision > revision {
                adopted.usable_from = None;
            }
        }
    }

    /// Notes that there are no lists of late when every listed daemon is as
    /// fresh as this one, as at the first start of a site.
    fn detect_first_start(&mut self, now: Millis) {
        let Some(list) = self.adopted.last().map(|adopted| &adopted.list) else {
            return;
        };
        let is_fresh = |id: &id::Instance| {
            let found = self.acks.binary_search_by(|one| one.from.cmp(id));
            let ack = found.ok().map(|index| &self.acks[index]);
            *id == self.me
                || ack.is_some_and(|ack| {
                    let is_current = ack.sent_at + self.timing.freshness > now;
                    is_current && !ack.acknowledgement.knows_recent_lists
                })
        };
        let is_listed = list.member(&self.me).is_some();
        if is_listed && list.members.iter().all(|one| is_fresh(&one.id)) {
            self.knows_recent_lists = true;
        }
    }

    // Majorities

    fn update_majorities(&mut self, now: Millis) {
        if self
            .adopted
            .iter()
            .all(|adopted| adopted.usable_from.is_some())
        {
            return;
        }
        let groups = self.voting_groups(now);
        let wait = self.former_lease_wait(now);
        for index in 0..self.adopted.len() {
            let revision = self.adopted[index].list.revision;
            let has_seen = |id: &&id::Instance| {
                **id == self.me || self.acknowledged_revision(id) >= Some(revision)
            };
            let is_won = |group: &Vec<id::Instance>| {
                let count = group.iter().filter(has_seen).count();
                is_majority(count, group.len())
            };
            let has_majorities = groups.iter().all(is_won) || !self.rules.needs_majority;
            let adopted = &mut self.adopted[index];
            if adopted.usable_from.is_none() && has_majorities {
                adopted.usable_from = Some(now + wait);
            }
        }
    }

    /// Returns how long answers may still count that members gave to others.
    fn former_lease_wait(&self, now: Millis) -> Millis {
        if !self.rules.waits_for_former_lease {
            return Millis::ZERO;
        }
        if !self.rules.limits_by_acknowledger {
            return self.timing.freshness;
        }
        let earlier_valid_for = self
            .acks
            .iter()
            .map(|ack| ack.acknowledgement.earlier_valid_for)
            .max();
        earlier_valid_for
            .max(Some(self.acknowledgement(now).earlier_valid_for))
            .unwrap_or_default()
    }

    fn acknowledged_revision(&self, id: &id::Instance) -> Option<Revision> {
        let found = self.acks.binary_search_by(|one| one.from.cmp(id));
        found
            .ok()
            .map(|index| self.acks[index].acknowledgement.revision)
    }

    /// Returns when the majorities end that acknowledge the run from `first`,
    /// or `None` if one is lacking now.
    fn majorities_until(&self, first: usize, now: Millis) -> Option<Millis> {
        let latest = now + self.timing.freshness;
        if !self.rules.needs_majority {
            return Some(latest);
        }
        let mut until = latest;
        for group in self.voting_groups(now) {
            until = until.min(self.majority_until(&group, first, now)?);
        }
        Some(until)
    }

    fn majority_until(&self, group: &[id::Instance], first: usize, now: Millis) -> Option<Millis> {
        let low = self.adopted[first].list.revision;
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
            let is_of_run =
                ack.acknowledgement.revision >= low && ack.acknowledgement.revision <= high;
            let end = self.valid_until(ack);
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

    fn valid_until(&self, ack: &ReceivedAck) -> Millis {
        let mine = self.timing.freshness;
        let span = if self.rules.limits_by_acknowledger {
            mine.min(ack.acknowledgement.freshness)
        } else {
            mine
        };
        ack.sent_at + span
    }
}

impl ReplacedList {
    fn of(list: &PublishedList, now: Millis, memory: Millis) -> Self {
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
pub fn owner<'a>(list: &'a PublishedList, resource: &Resource) -> Option<&'a id::Instance> {
    let member = match resource {
        Resource::Target(id) => list
            .target(id)
            .and_then(|target| list.owner_of_target(target)),
        Resource::Key(key) => list.owner_of_key(*key),
    };
    member
        .filter(|one| one.state == Lifecycle::Live)
        .map(|one| &one.id)
}

fn is_majority(count: usize, of: usize) -> bool {
    of > 0 && count * 2 > of
}
