//! Leases on targets and idempotency keys, acknowledged by a majority.
//!
//! Each target and each idempotency key has one owner, which follows from the
//! published list. The owner may send calls to the target, or start requests
//! with the key, only while it holds a lease. [`Leases`] decides whether this
//! daemon holds one now. There is no election and no stored state: a lease is
//! valid while a majority of the members have recently acknowledged the list
//! under which this daemon is the owner, and it expires by the holder's own
//! clock. `docs/design/tenure.md` gives each rule and its reason.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::handover::LeasePeriod;
use crate::id;
use crate::published_list::Lifecycle;
use crate::published_list::PublishedList;
use crate::published_list::Revision;

value! {
    /// A target or key, which has exactly one owner.
    pub enum Resource {
        /// A target.
        Target(id::Target),
        /// An idempotency key, identified by its hash.
        Key(u64),
    }

    /// Whether this daemon holds the lease on a resource.
    pub enum LeaseState {
        /// This daemon holds the lease; all times are by its own clock.
        Held {
            /// When the lease began; no other daemon has held one since.
            since: Millis,
            /// When it expires unless members acknowledge again.
            until: Millis,
        },
        /// Another daemon is the owner.
        OwnedBy(id::Instance),
        /// This daemon is the owner, but may not use the resource now.
        Unusable(UnusableReason),
        /// The list names no owner.
        Unowned,
    }

    /// Why the owner may not use a resource.
    pub enum UnusableReason {
        /// Fewer than a majority of the members have acknowledged recently.
        NoMajority,
        /// The former owner's lease may not have expired yet.
        AwaitingFormerLease,
        /// The platform has not confirmed the list recently enough.
        Unconfirmed,
        /// This daemon started recently and does not yet know the lists that
        /// preceded its first one.
        RecentListsUnknown,
        /// This daemon has relinquished all its leases because it is shutting
        /// down.
        Relinquished,
    }

    /// A daemon that a list has dropped, or that has announced its departure.
    pub struct Departed {
        /// The daemon.
        pub id: id::Instance,
        /// How long ago it departed.
        pub age: Millis,
        /// The list that dropped it; 0 if it is still listed.
        pub dropped_by: Revision,
        /// The newest list that it had read when it announced its departure;
        /// `None` if it has not announced one.
        pub announced_revision: Option<Revision>,
    }

    /// A recently replaced list, as sent to a daemon that started recently.
    pub struct RecentList {
        /// Its revision.
        pub revision: Revision,
        /// How much longer a lease needs a majority of its members.
        pub remaining: Millis,
        /// Its daemons, sorted.
        pub members: Vec<id::Instance>,
    }

    /// A member's reply to a heartbeat, on which leases of others are based.
    pub struct Acknowledgement {
        /// The newest list that the member has read.
        pub revision: Revision,
        /// How long the acknowledgement is valid, from the time at which the
        /// heartbeat was sent.
        pub freshness: Millis,
        /// How much longer the member's earlier acknowledgements, to any daemon,
        /// may be valid.
        pub earlier_valid_for: Millis,
        /// Whether the member knows the recently replaced lists.
        pub knows_recent_lists: bool,
    }

    /// The durations that the lease rules use, from the settings.
    pub struct Timing {
        /// How long an acknowledgement is valid, from the time at which its
        /// heartbeat was sent.
        pub freshness: Millis,
        /// How long the members of a replaced list and dropped daemons still
        /// count in majorities.
        pub dropped_memory: Millis,
        /// How far back the start of a lease has to be known; lists that were
        /// replaced longer ago are forgotten.
        pub horizon: Millis,
    }
}

scalar! {
    /// The safety rules in force. A daemon keeps them all; a test disables
    /// one to show which violation it prevents.
    #[doc(hidden)]
    #[allow(clippy::struct_excessive_bools)]
    pub struct Rules {
        /// Only a list of a higher revision is adopted.
        pub only_newer_lists: bool,
        /// A lease needs the acknowledgements of a majority.
        pub needs_majority: bool,
        /// A lease begins only after the former owner's has expired.
        pub waits_for_former_lease: bool,
        /// A skipped revision starts a new lease, because another daemon may
        /// have been the owner in between.
        pub gap_starts_new_lease: bool,
        /// Dropped daemons count as members for the dropped memory.
        pub counts_dropped_members: bool,
        /// A lease also needs a majority of the newest list's members and of
        /// those of each recently replaced list.
        pub majority_of_each_list: bool,
        /// A daemon does not acknowledge until it has run for the freshness.
        pub new_daemon_abstains: bool,
        /// A new owner refuses keys whose requests may have run before its lease.
        pub refuses_unknown_keys: bool,
        /// A new owner treats a target as full for the duration of the pool's
        /// longest call, because calls of the former owner may still run.
        pub assumes_target_full: bool,
        /// The lease is checked again directly before a send.
        pub rechecks_before_send: bool,
        /// A daemon that started recently first learns the lists that were
        /// replaced before it started.
        pub needs_recent_lists: bool,
        /// A lease needs a list that the platform has confirmed recently.
        pub needs_confirmed_list: bool,
        /// An acknowledgement is valid no longer than the member states in it.
        pub acknowledger_limits_validity: bool,
        /// A departure removes a member only for daemons that have read a list
        /// at least as new as the one that the departed daemon had read.
        pub departure_needs_revision: bool,
        /// Only the list determines ownership. Without this rule, members that
        /// have not acknowledged to this daemon recently are skipped.
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
            new_daemon_abstains: true,
            refuses_unknown_keys: true,
            assumes_target_full: true,
            rechecks_before_send: true,
            needs_recent_lists: true,
            needs_confirmed_list: true,
            acknowledger_limits_validity: true,
            departure_needs_revision: true,
            owner_by_list_only: true,
        }
    }
}

/// A list that this daemon has adopted.
#[derive(Clone, Debug)]
struct AdoptedList {
    list: PublishedList,
    /// Whether its revision directly follows that of the list before.
    is_consecutive: bool,
    /// When a higher list replaced it.
    replaced_at: Option<Millis>,
    /// When every lease under the lists before it has expired; `None` until a
    /// majority has acknowledged this list.
    usable_from: Option<Millis>,
}

/// The members of a replaced list.
#[derive(Clone, Debug)]
struct ReplacedList {
    revision: Revision,
    members: Vec<id::Instance>,
    /// When it was replaced, or when this daemon learned of it.
    replaced_at: Millis,
    /// Until when a lease needs a majority of its members.
    until: Millis,
}

/// The newest acknowledgement of one member.
#[derive(Clone, Debug)]
struct ReceivedAck {
    from: id::Instance,
    acknowledgement: Acknowledgement,
    /// When the heartbeat that it replies to was sent.
    sent_at: Millis,
}

/// A departed daemon, with its departure by the local clock.
#[derive(Clone, Debug)]
struct Departure {
    id: id::Instance,
    departed_at: Millis,
    /// The list that dropped it; 0 if it is still listed.
    dropped_by: Revision,
    announced_revision: Option<Revision>,
}

/// How many adopted lists are kept to determine since when a resource is owned.
const ADOPTED_LISTS_MAX: usize = 256;

/// The leases of one daemon.
#[derive(Clone, Debug)]
pub struct Leases {
    me: id::Instance,
    timing: Timing,
    rules: Rules,
    started_at: Millis,
    /// Until when acknowledgements given under an earlier freshness are valid.
    earlier_valid_until: Millis,
    /// When the platform last confirmed the newest list.
    confirmed_at: Option<Millis>,
    knows_recent_lists: bool,
    is_relinquished: bool,
    /// The daemons that operators have declared ended, sorted.
    ended: Vec<id::Instance>,
    /// The adopted lists, oldest first.
    adopted: Vec<AdoptedList>,
    /// The recently replaced lists, sorted by revision.
    replaced: Vec<ReplacedList>,
    /// The newest acknowledgements, sorted by member.
    acks: Vec<ReceivedAck>,
    /// The departed daemons, sorted by id.
    departures: Vec<Departure>,
}

impl Leases {
    /// Creates the state of a daemon that has no list and holds no lease.
    #[must_use]
    pub fn new(me: id::Instance, timing: Timing, now: Millis) -> Self {
        Self {
            me,
            timing,
            rules: Rules::default(),
            started_at: now,
            earlier_valid_until: now,
            confirmed_at: None,
            knows_recent_lists: false,
            is_relinquished: false,
            ended: Vec::new(),
            adopted: Vec::new(),
            replaced: Vec::new(),
            acks: Vec::new(),
            departures: Vec::new(),
        }
    }

    /// Replaces the safety rules, for a test.
    #[doc(hidden)]
    pub fn set_rules(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Returns the safety rules in force.
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

    /// Returns the newest adopted list, if there is one.
    #[must_use]
    pub fn list(&self) -> Option<&PublishedList> {
        self.adopted.last().map(|adopted| &adopted.list)
    }

    /// Returns the revision of the newest adopted list; 0 without a list.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.list()
            .map_or(Revision::default(), |list| list.revision)
    }

    /// Applies changed durations.
    ///
    /// Acknowledgements given before the change stay valid for the former
    /// freshness, so a new lease waits until they expire; see
    /// [`Acknowledgement::earlier_valid_for`].
    pub fn set_timing(&mut self, timing: Timing, now: Millis) {
        self.earlier_valid_until = self.earlier_valid_until.max(now + self.timing.freshness);
        self.timing = timing;
        for replaced in &mut self.replaced {
            replaced.until = replaced
                .until
                .max(replaced.replaced_at + self.timing.dropped_memory);
        }
    }

    /// Sets the daemons that operators have declared ended, sorted by id.
    ///
    /// A declared daemon stops counting as a member once the list has dropped
    /// it too. This lets operators shorten the time without leases after more
    /// than half of the members have crashed at once.
    pub fn set_ended(&mut self, ended: &[id::Instance]) {
        self.ended = ended.to_vec();
    }

    /// Returns the acknowledgement that this daemon sends to other members.
    #[must_use]
    pub fn acknowledgement(&self, now: Millis) -> Acknowledgement {
        Acknowledgement {
            revision: self.revision(),
            freshness: self.timing.freshness,
            earlier_valid_for: self.timing.freshness.max(self.earlier_valid_until - now),
            knows_recent_lists: self.knows_recent_lists,
        }
    }

    /// Returns whether the replies of this daemon count as acknowledgements.
    ///
    /// They do not until it has run for the freshness, because an earlier run
    /// on the same machine may have acknowledged a higher revision.
    #[must_use]
    pub fn may_acknowledge(&self, now: Millis) -> bool {
        !self.rules.new_daemon_abstains || now >= self.started_at + self.timing.freshness
    }

    /// Returns whether this daemon knows the recently replaced lists.
    ///
    /// After its start it does not. It learns them from a peer, so that newly
    /// started daemons cannot outvote members that they do not know.
    #[must_use]
    pub fn knows_recent_lists(&self) -> bool {
        self.knows_recent_lists
    }

    /// Adopts a list of a higher revision; returns whether it was adopted.
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
            let replaced = ReplacedList::of(&last.list, now, self.timing.dropped_memory);
            self.insert_replaced(replaced);
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

    /// Records that, at `at`, the platform had no newer list than this daemon.
    pub fn confirm_list(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records a member's acknowledgement of a heartbeat sent at `sent_at`.
    pub fn record_acknowledgement(
        &mut self,
        from: &id::Instance,
        acknowledgement: &Acknowledgement,
        sent_at: Millis,
        now: Millis,
    ) {
        let found = self.acks.binary_search_by(|ack| ack.from.cmp(from));
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

    /// Merges the departed daemons that a peer knows.
    pub fn merge_departures(&mut self, departed: &[Departed], now: Millis) {
        for report in departed {
            let departure = Departure {
                id: report.id.clone(),
                departed_at: now - report.age,
                dropped_by: report.dropped_by,
                announced_revision: report.announced_revision,
            };
            self.record_departure(departure);
        }
        self.expire_departures(now);
    }

    /// Records that a daemon has announced its departure and has relinquished
    /// all its leases.
    ///
    /// `revision` is the newest list that it had read.
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

    /// Relinquishes all leases permanently.
    pub fn relinquish(&mut self) {
        self.is_relinquished = true;
    }

    /// Returns the departed daemons that are still remembered, for a peer.
    #[must_use]
    pub fn departures(&self, now: Millis) -> Vec<Departed> {
        let to_departed = |departure: &Departure| Departed {
            id: departure.id.clone(),
            age: now - departure.departed_at,
            dropped_by: departure.dropped_by,
            announced_revision: departure.announced_revision,
        };
        self.departures.iter().map(to_departed).collect()
    }

    /// Returns the recently replaced lists and the newest one, for a peer that
    /// started recently; `None` if this daemon does not know them itself.
    #[must_use]
    pub fn recent_lists(&self, now: Millis) -> Option<Vec<RecentList>> {
        if !self.knows_recent_lists {
            return None;
        }
        let newest = self.list()?;
        let newest = ReplacedList::of(newest, now, self.timing.dropped_memory);
        let still_counted = self.replaced.iter().filter(|replaced| replaced.until > now);
        let to_recent_list = |replaced: &ReplacedList| RecentList {
            revision: replaced.revision,
            remaining: replaced.until - now,
            members: replaced.members.clone(),
        };
        let recent = still_counted.chain([&newest]).map(to_recent_list);
        Some(recent.collect())
    }

    /// Merges the recently replaced lists from a peer that knows them.
    pub fn merge_recent_lists(&mut self, lists: &[RecentList], now: Millis) {
        if !self.rules.needs_recent_lists {
            return;
        }
        for recent in lists {
            let replaced = ReplacedList {
                revision: recent.revision,
                members: recent.members.clone(),
                replaced_at: now,
                until: now + recent.remaining,
            };
            if recent.revision < self.revision() && self.insert_replaced(replaced) {
                self.reset_majorities_after(recent.revision);
            }
        }
        self.knows_recent_lists = true;
        self.update_majorities(now);
    }

    /// Returns whether this daemon holds the lease on the resource now.
    ///
    /// The caller checks directly before each use, so that a process that was
    /// paused notices that its lease has expired.
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

    /// Returns the previous owner of the resource and the last list under which
    /// it was the owner; `None` if a list was skipped in between.
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

    /// Returns the lists under which this daemon held leases, oldest first.
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

    /// Returns whether leases that begin with the newest list are usable now.
    #[must_use]
    pub fn is_newest_list_in_force(&self, now: Millis) -> bool {
        !self.adopted.is_empty() && self.usable_span(self.adopted.len() - 1, now).is_ok()
    }

    /// Expires old lists and departures, and the acknowledgements of daemons that
    /// no longer count as members.
    pub fn tick(&mut self, now: Millis) {
        self.expire_departures(now);
        self.expire_adopted(now);
        self.replaced.retain(|replaced| replaced.until > now);
        if now >= self.started_at + self.timing.dropped_memory {
            self.knows_recent_lists = true;
        }
        self.detect_first_start(now);
        let mut counted = self.voting_groups(now).concat();
        counted.sort();
        self.acks
            .retain(|ack| counted.binary_search(&ack.from).is_ok());
        self.update_majorities(now);
    }

    // Leases

    fn owner(&self, resource: &Resource, now: Millis) -> Option<id::Instance> {
        let list = self.list()?;
        if self.rules.owner_by_list_only {
            return owner(list, resource).cloned();
        }
        let is_answering = |id: &id::Instance| {
            let found = self.acks.binary_search_by(|ack| ack.from.cmp(id));
            *id == self.me || found.is_ok_and(|index| self.valid_until(&self.acks[index]) > now)
        };
        let mut answering = list.clone();
        answering.members.retain(|member| is_answering(&member.id));
        owner(&answering, resource).cloned()
    }

    /// Returns the start and the end of the lease on a resource that this daemon
    /// has owned since the adopted list at index `first`.
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

    /// Returns until when the platform's last confirmation of the list suffices.
    ///
    /// Other daemons stop needing a majority of this list when the dropped memory
    /// has passed since its replacement, so a lease under it must end before that.
    fn confirmed_until(&self, now: Millis) -> Millis {
        if !self.rules.needs_confirmed_list {
            return now + self.timing.freshness;
        }
        let span = self.timing.dropped_memory - self.timing.freshness;
        self.confirmed_at.map_or(Millis::ZERO, |at| at + span)
    }

    /// Returns the index of the adopted list since which this daemon has owned
    /// the resource without a gap.
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

    /// Returns the listed and recently dropped daemons, sorted, without those
    /// that have announced their departure or were declared ended.
    #[must_use]
    pub fn members(&self, now: Millis) -> Vec<id::Instance> {
        let listed = self.list().into_iter().flat_map(|list| &list.members);
        let mut members: Vec<id::Instance> = listed.map(|member| member.id.clone()).collect();
        let is_remembered =
            |departure: &&Departure| departure.departed_at + self.timing.dropped_memory > now;
        let is_counted = |_: &&Departure| self.rules.counts_dropped_members;
        let departures = self
            .departures
            .iter()
            .filter(is_remembered)
            .filter(is_counted);
        members.extend(departures.map(|departure| departure.id.clone()));
        members.retain(|id| !self.has_left_membership(id));
        members.sort();
        members.dedup();
        members
    }

    /// Returns the groups of members that each need a majority of their own.
    ///
    /// A majority of all members together is not enough: many new members that
    /// are listed at once could outvote all former ones.
    fn voting_groups(&self, now: Millis) -> Vec<Vec<id::Instance>> {
        let mut groups = vec![self.members(now)];
        if !self.rules.majority_of_each_list {
            return groups;
        }
        let newest = self.list().map(|list| {
            let ids = list.members.iter().map(|member| member.id.clone());
            ids.collect::<Vec<_>>()
        });
        groups.extend(newest);
        let still_counted = self.replaced.iter().filter(|group| group.until > now);
        groups.extend(still_counted.map(|group| group.members.clone()));
        for group in &mut groups {
            group.retain(|id| !self.has_left_membership(id));
        }
        groups.retain(|group| !group.is_empty());
        groups
    }

    /// Returns whether a departed daemon no longer counts as a member.
    ///
    /// An announced departure counts only once this daemon has read a list at
    /// least as new as the departed daemon had. Before that the departed daemon
    /// stays in the count: its acknowledgement of a newer list keeps this daemon
    /// from a majority for a lease that has moved to another owner.
    fn has_left_membership(&self, id: &id::Instance) -> bool {
        if self.ended.binary_search(id).is_ok() {
            return self.list().is_none_or(|list| list.member(id).is_none());
        }
        let announced = self.announced_departure(id);
        announced.is_some_and(|revision| {
            revision <= self.revision() || !self.rules.departure_needs_revision
        })
    }

    /// Returns whether a daemon has announced its departure; it accepts no calls.
    #[must_use]
    pub fn has_announced_departure(&self, id: &id::Instance) -> bool {
        self.announced_departure(id).is_some()
    }

    fn announced_departure(&self, id: &id::Instance) -> Option<Revision> {
        let found = self
            .departures
            .binary_search_by(|departure| departure.id.cmp(id));
        found
            .ok()
            .and_then(|index| self.departures[index].announced_revision)
    }

    fn record_dropped(&mut self, list: &PublishedList, now: Millis) {
        let Some(newest) = self.adopted.last() else {
            return;
        };
        let is_dropped = |id: &id::Instance| list.member(id).is_none();
        let former_members = newest.list.members.iter().map(|member| member.id.clone());
        let dropped: Vec<id::Instance> = former_members.filter(is_dropped).collect();
        for id in dropped {
            self.record_departure(Departure {
                id,
                departed_at: now,
                dropped_by: list.revision,
                announced_revision: None,
            });
        }
    }

    /// Records a departure. A known departure keeps its time unless a later list
    /// dropped the daemon again: each relayed report is late by its message
    /// delay, so with the newest time a departure would never expire.
    fn record_departure(&mut self, departure: Departure) {
        match self
            .departures
            .binary_search_by(|known| known.id.cmp(&departure.id))
        {
            Ok(index) => {
                let known = &mut self.departures[index];
                if departure.dropped_by > known.dropped_by {
                    known.dropped_by = departure.dropped_by;
                    known.departed_at = known.departed_at.max(departure.departed_at);
                }
                known.announced_revision =
                    known.announced_revision.or(departure.announced_revision);
            }
            Err(index) => self.departures.insert(index, departure),
        }
    }

    fn expire_departures(&mut self, now: Millis) {
        let memory = self.timing.dropped_memory;
        let list = self.adopted.last().map(|adopted| &adopted.list);
        let is_listed = |id: &id::Instance| list.is_some_and(|list| list.member(id).is_some());
        let is_kept = |departure: &Departure| {
            departure.departed_at + memory > now
                || (departure.announced_revision.is_some() && is_listed(&departure.id))
        };
        self.departures.retain(is_kept);
    }

    fn expire_adopted(&mut self, now: Millis) {
        let horizon = self.timing.horizon;
        let is_old =
            |adopted: &AdoptedList| adopted.replaced_at.is_some_and(|at| at + horizon <= now);
        let old = self
            .adopted
            .iter()
            .take_while(|adopted| is_old(adopted))
            .count();
        let extra = self.adopted.len().saturating_sub(ADOPTED_LISTS_MAX);
        self.adopted.drain(..old.max(extra));
    }

    /// Inserts the members of a replaced list; returns whether they are new.
    fn insert_replaced(&mut self, replaced: ReplacedList) -> bool {
        let revision = replaced.revision;
        match self
            .replaced
            .binary_search_by(|known| known.revision.cmp(&revision))
        {
            Ok(index) => {
                self.replaced[index].until = self.replaced[index].until.max(replaced.until);
                false
            }
            Err(index) => {
                self.replaced.insert(index, replaced);
                true
            }
        }
    }

    /// Requires new majorities for every list after the revision.
    fn reset_majorities_after(&mut self, revision: Revision) {
        for adopted in &mut self.adopted {
            if adopted.list.revision > revision {
                adopted.usable_from = None;
            }
        }
    }

    /// Detects the first start of a deployment: if every listed daemon has only
    /// just started, there are no recently replaced lists to learn.
    fn detect_first_start(&mut self, now: Millis) {
        let Some(list) = self.adopted.last().map(|adopted| &adopted.list) else {
            return;
        };
        let has_just_started = |id: &id::Instance| {
            let found = self.acks.binary_search_by(|ack| ack.from.cmp(id));
            let ack = found.ok().map(|index| &self.acks[index]);
            *id == self.me
                || ack.is_some_and(|ack| {
                    let is_current = ack.sent_at + self.timing.freshness > now;
                    is_current && !ack.acknowledgement.knows_recent_lists
                })
        };
        let is_listed = list.member(&self.me).is_some();
        if is_listed
            && list
                .members
                .iter()
                .all(|member| has_just_started(&member.id))
        {
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
            let has_acknowledged = |id: &&id::Instance| {
                **id == self.me || self.acknowledged_revision(id) >= Some(revision)
            };
            let has_majority = |group: &Vec<id::Instance>| {
                let count = group.iter().filter(has_acknowledged).count();
                is_majority(count, group.len())
            };
            let has_majorities = groups.iter().all(has_majority) || !self.rules.needs_majority;
            let adopted = &mut self.adopted[index];
            if adopted.usable_from.is_none() && has_majorities {
                adopted.usable_from = Some(now + wait);
            }
        }
    }

    /// Returns how long acknowledgements that members gave to other daemons may
    /// still be valid.
    fn former_lease_wait(&self, now: Millis) -> Millis {
        if !self.rules.waits_for_former_lease {
            return Millis::ZERO;
        }
        if !self.rules.acknowledger_limits_validity {
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
        let found = self.acks.binary_search_by(|ack| ack.from.cmp(id));
        found
            .ok()
            .map(|index| self.acks[index].acknowledgement.revision)
    }

    /// Returns when the first of the needed majorities expires, counting members
    /// that have acknowledged the list at index `first` or a later one; `None` if
    /// a majority is missing now.
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

    /// Returns when the majority of the group expires.
    ///
    /// A member that has acknowledged a list newer than this daemon's does not
    /// count, because that list may name another owner.
    fn majority_until(&self, group: &[id::Instance], first: usize, now: Millis) -> Option<Millis> {
        let first_revision = self.adopted[first].list.revision;
        let newest_revision = self.revision();
        let mut expiries: Vec<Millis> = Vec::new();
        for id in group {
            if *id == self.me {
                expiries.push(Millis::NEVER);
                continue;
            }
            let found = self.acks.binary_search_by(|ack| ack.from.cmp(id));
            let Ok(index) = found else { continue };
            let ack = &self.acks[index];
            let is_for_lease = ack.acknowledgement.revision >= first_revision
                && ack.acknowledgement.revision <= newest_revision;
            let end = self.valid_until(ack);
            if is_for_lease && end > now {
                expiries.push(end);
            }
        }
        let needed = group.len() / 2 + 1;
        if expiries.len() < needed {
            return None;
        }
        expiries.sort_by(|left, right| right.cmp(left));
        Some(expiries[needed - 1])
    }

    fn valid_until(&self, ack: &ReceivedAck) -> Millis {
        let own_freshness = self.timing.freshness;
        let validity = if self.rules.acknowledger_limits_validity {
            own_freshness.min(ack.acknowledgement.freshness)
        } else {
            own_freshness
        };
        ack.sent_at + validity
    }
}

impl ReplacedList {
    fn of(list: &PublishedList, now: Millis, memory: Millis) -> Self {
        Self {
            revision: list.revision,
            members: list
                .members
                .iter()
                .map(|member| member.id.clone())
                .collect(),
            replaced_at: now,
            until: now + memory,
        }
    }
}

/// Returns the owner of a resource under a list; `None` if the list names no
/// live owner.
#[must_use]
pub fn owner<'a>(list: &'a PublishedList, resource: &Resource) -> Option<&'a id::Instance> {
    let member = match resource {
        Resource::Target(id) => list
            .target(id)
            .and_then(|target| list.owner_of_target(target)),
        Resource::Key(key) => list.owner_of_key(*key),
    };
    member
        .filter(|member| member.state == Lifecycle::Live)
        .map(|member| &member.id)
}

fn is_majority(count: usize, of: usize) -> bool {
    of > 0 && count * 2 > of
}
