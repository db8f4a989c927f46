//! Updates from the platform and from peers: lists, settings, heartbeats, shutdown.

use std::net::SocketAddr;

use super::Node;
use super::timing;
use crate::clock::Millis;
use crate::cold_reports::ColdReport;
use crate::derive::value;
use crate::drain::InProgress;
use crate::drain::Phase;
use crate::hash;
use crate::heartbeat::Heartbeat;
use crate::id;
use crate::lease::RecentList;
use crate::published_list::Member;
use crate::published_list::PublishedList;
use crate::settings::Tree;
use crate::slot::Wake;

value! {
    /// What a peer has that this node lacks.
    #[derive(Copy, Default)]
    pub struct Missing {
        /// A newer list.
        pub list: bool,
        /// Newer settings, or a valid document in place of one that was refused.
        pub settings: bool,
        /// The recently replaced lists, which this node does not know after its
        /// start.
        pub recent_lists: bool,
    }

    /// What the driver has to do after a tick.
    pub enum Action {
        /// Send a heartbeat to the peer.
        SendHeartbeat(Member),
        /// Continue or refuse a call that was queued.
        Wake(Wake),
    }
}

/// How long the list may stay unconfirmed before a node that is not a
/// designated reader reads from the platform itself.
const LIST_UNCONFIRMED_MAX: Millis = Millis(2000);
/// The same limit for the settings.
const SETTINGS_UNCONFIRMED_MAX: Millis = Millis(3000);

/// When the platform last confirmed the state of this node, and when the next
/// heartbeat is due.
#[derive(Clone, Debug)]
pub(super) struct ControlState {
    /// When the platform last confirmed the list of this node.
    list_confirmed_at: Option<Millis>,
    /// When the platform last confirmed the settings of this node.
    settings_confirmed_at: Option<Millis>,
    next_heartbeat_at: Millis,
    is_departing: bool,
}

impl ControlState {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            list_confirmed_at: None,
            settings_confirmed_at: None,
            next_heartbeat_at: now,
            is_departing: false,
        }
    }
}

impl Node {
    // The platform

    /// Returns whether this node should read the list from the platform now.
    ///
    /// A few designated readers in each failure domain do, and pass it on to
    /// their peers. The other nodes read only if their list has been unconfirmed
    /// for too long. So the load on the platform grows with the number of failure
    /// domains and not with the number of daemons.
    #[must_use]
    pub fn is_list_reader(&self, now: Millis) -> bool {
        let is_confirmed = self
            .list_age(now)
            .is_some_and(|age| age < LIST_UNCONFIRMED_MAX);
        !is_confirmed || self.is_designated_reader()
    }

    /// Returns whether this node should read the settings from the platform now.
    ///
    /// See also [`Self::is_list_reader`].
    #[must_use]
    pub fn is_settings_reader(&self, now: Millis) -> bool {
        let age = self.settings_age(now);
        let is_confirmed = age.is_some_and(|age| age < SETTINGS_UNCONFIRMED_MAX);
        !is_confirmed || self.is_designated_reader()
    }

    /// Applies reports of cold targets that were requested from the platform or a
    /// peer at `asked_at`.
    pub fn apply_cold_reports(&mut self, reports: &[ColdReport], asked_at: Millis, now: Millis) {
        for (target, at) in self.cold_reports.merge(reports, asked_at) {
            self.record_cold_report(&target, at, now);
        }
    }

    /// Applies the list that the platform returned to a request at `asked_at`.
    ///
    /// The list counts as confirmed at the time of the request, because the
    /// response may have waited while the process was paused. A list older than
    /// this node's confirms nothing.
    pub fn apply_published_list(&mut self, list: &PublishedList, asked_at: Millis, now: Millis) {
        let is_current = list.revision >= self.leases.revision();
        self.adopt_list(list, now);
        if is_current {
            self.confirm_list(asked_at);
        }
    }

    /// Applies the settings that the platform returned to a request at `asked_at`.
    ///
    /// See also [`Self::apply_published_list`].
    pub fn apply_published_settings(&mut self, tree: &Tree, asked_at: Millis, now: Millis) {
        let is_current = tree.revision >= self.settings.revision();
        self.adopt_settings(tree, now);
        if is_current {
            self.confirm_settings(asked_at);
        }
    }

    /// Calls [`Self::apply_published_list`] for a request that was sent just now.
    pub fn apply_published_list_now(&mut self, list: &PublishedList, now: Millis) {
        self.apply_published_list(list, now, now);
    }

    /// Calls [`Self::apply_published_settings`] for a request that was sent just now.
    pub fn apply_published_settings_now(&mut self, tree: &Tree, now: Millis) {
        self.apply_published_settings(tree, now, now);
    }

    /// Records that the platform had no newer list at `asked_at`.
    pub fn confirm_list(&mut self, asked_at: Millis) {
        self.control_state.list_confirmed_at =
            self.control_state.list_confirmed_at.max(Some(asked_at));
        self.leases.confirm_list(asked_at);
    }

    /// Records that the platform had no newer settings at `asked_at`.
    pub fn confirm_settings(&mut self, asked_at: Millis) {
        self.control_state.settings_confirmed_at =
            self.control_state.settings_confirmed_at.max(Some(asked_at));
    }

    /// Returns whether this node could use leases under its newest list now.
    #[must_use]
    pub fn holds_leases(&self, now: Millis) -> bool {
        self.leases.is_newest_list_in_force(now)
    }

    /// Returns how long ago the platform confirmed both the list and the settings;
    /// `None` if it never confirmed one of them.
    #[must_use]
    pub fn confirmation_age(&self, now: Millis) -> Option<Millis> {
        let list = self.list_age(now)?;
        Some(list.max(self.settings_age(now)?))
    }

    /// Returns how long ago the platform confirmed the list, if it ever did.
    #[must_use]
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.control_state.list_confirmed_at.map(|at| now - at)
    }

    /// Returns how long ago the platform confirmed the settings, if it ever did.
    #[must_use]
    pub fn settings_age(&self, now: Millis) -> Option<Millis> {
        self.control_state.settings_confirmed_at.map(|at| now - at)
    }

    // Peers

    /// Adopts the list of a peer if it is newer.
    pub fn adopt_list(&mut self, list: &PublishedList, now: Millis) {
        let before = self.leases.revision();
        if self.leases.adopt(list, now) {
            self.loads.retain_listed(list);
        }
        let after = self.leases.revision();
        self.check_invariant(after >= before, "list-reverted");
    }

    /// Merges the recently replaced lists from a peer that knows them.
    pub fn adopt_recent_lists(&mut self, lists: &[RecentList], now: Millis) {
        self.leases.merge_recent_lists(lists, now);
    }

    /// Adopts the settings of a peer if they are newer.
    pub fn adopt_settings(&mut self, tree: &Tree, now: Millis) {
        let before = self.settings.revision();
        if self.settings.adopt(tree) {
            self.leases.set_timing(timing(self.settings.fleet()), now);
            self.leases.set_ended(&self.settings.fleet().ended);
        }
        let after = self.settings.revision();
        self.check_invariant(after >= before, "settings-reverted");
    }

    /// Returns the heartbeat that this node sends to its peers now.
    #[must_use]
    pub fn heartbeat(&self, now: Millis) -> Heartbeat {
        Heartbeat {
            from: self.me.instance.clone(),
            acknowledgement: self.leases.acknowledgement(now),
            settings: self.settings.revision(),
            list_age: self.list_age(now).unwrap_or(Millis::NEVER),
            settings_age: self.settings_age(now).unwrap_or(Millis::NEVER),
            may_acknowledge: self.leases.may_acknowledge(now),
            is_departing: self.control_state.is_departing,
            departed: self.leases.departures(now),
            suspects: self.suspects.snapshot(now),
            cold: self.cold_reports.reports(now),
        }
    }

    /// Processes a peer's heartbeat; the reply to send is [`Self::heartbeat`].
    pub fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, now: Millis) -> Missing {
        self.leases.merge_departures(&heartbeat.departed, now);
        self.suspects.merge(&heartbeat.suspects, now);
        if heartbeat.is_departing {
            let revision = heartbeat.acknowledgement.revision;
            self.leases
                .record_departure_announcement(&heartbeat.from, revision, now);
        }
        self.missing_from(heartbeat)
    }

    /// Processes a peer's reply to a heartbeat sent at `sent_at`.
    pub fn receive_heartbeat_reply(
        &mut self,
        heartbeat: &Heartbeat,
        sent_at: Millis,
        now: Millis,
    ) -> Missing {
        if heartbeat.may_acknowledge && !heartbeat.is_departing {
            self.leases.record_acknowledgement(
                &heartbeat.from,
                &heartbeat.acknowledgement,
                sent_at,
                now,
            );
        }
        self.merge_confirmations(heartbeat, sent_at);
        // The reply was written after `sent_at`, so a report seems older with each
        // relay and never comes back as a newer one.
        self.apply_cold_reports(&heartbeat.cold, sent_at, now);
        self.receive_heartbeat(heartbeat, now)
    }

    // Time

    /// Processes expired timers and returns what the driver has to do.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.leases.tick(now);
        self.suspects.expire(now);
        self.cold_reports.expire(now);
        if self.drain.has_begun() {
            self.drain.tick(self.in_progress(), now);
        }
        self.keys.tick(self.settings.fleet().horizon, now);
        self.handovers
            .tick(self.settings.fleet().dropped_memory, now);
        let mut actions: Vec<Action> = Vec::new();
        actions.extend(self.wake(now).into_iter().map(Action::Wake));
        if now >= self.control_state.next_heartbeat_at {
            self.control_state.next_heartbeat_at = now + self.settings.fleet().exchange;
            actions.extend(self.peers().map(Action::SendHeartbeat));
        }
        actions
    }

    // Shutdown

    /// Begins the shutdown; a second call moves its deadline to now.
    pub fn begin_shutdown(&mut self, limit: Millis, now: Millis) {
        self.drain.begin(limit, now);
    }

    /// Returns the phase of the shutdown.
    #[must_use]
    pub fn shutdown_phase(&self, now: Millis) -> Phase {
        self.drain.phase(self.in_progress(), now)
    }

    /// Returns whether the peer with this data address has announced its departure.
    #[must_use]
    pub fn has_departed(&self, data: SocketAddr) -> bool {
        let listed = self.leases.list().into_iter();
        let mut members = listed.flat_map(|list| &list.members);
        members.any(|member| member.data == data && self.leases.has_announced_departure(&member.id))
    }

    /// Returns whether this node is shutting down and refuses calls from peers.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.drain.is_closed()
    }

    /// Returns the work that is in progress and would be aborted by an exit now.
    #[must_use]
    pub fn in_progress(&self) -> InProgress {
        InProgress {
            requests: self.limiter.total(),
            calls: self.slots.in_flight() + self.slots.queued() + self.keys.running_count(),
        }
    }

    /// Relinquishes all leases and returns the peers to notify of the departure.
    pub fn announce_departure(&mut self) -> Vec<Member> {
        self.control_state.is_departing = true;
        self.leases.relinquish();
        self.peers().collect()
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = Member> + use<> {
        let listed = self.leases.list().map(|list| list.members.clone());
        let me = self.me.instance.clone();
        let others = listed.unwrap_or_default().into_iter();
        others.filter(move |member| member.id != me)
    }

    fn record_cold_report(&mut self, target: &id::Target, at: Millis, now: Millis) {
        if let Some(pool) = self.pool_of(target) {
            self.slots.record_cold_report(target, at, &pool, now);
        }
    }

    fn missing_from(&self, heartbeat: &Heartbeat) -> Missing {
        let is_newer = heartbeat.settings > self.settings.revision();
        let is_equal = heartbeat.settings == self.settings.revision();
        Missing {
            list: heartbeat.acknowledgement.revision > self.leases.revision(),
            settings: is_newer || (is_equal && self.settings.lacks_valid_document()),
            recent_lists: heartbeat.acknowledgement.knows_recent_lists
                && !self.leases.knows_recent_lists(),
        }
    }

    /// Adopts the confirmation times of a peer whose list or settings are at
    /// least as new as this node's.
    ///
    /// The reply was written after `sent_at`, so the resulting times are never too
    /// recent.
    fn merge_confirmations(&mut self, heartbeat: &Heartbeat, sent_at: Millis) {
        let is_current = heartbeat.acknowledgement.revision >= self.leases.revision();
        if is_current && heartbeat.list_age != Millis::NEVER {
            self.confirm_list(sent_at - heartbeat.list_age);
        }
        let is_current = heartbeat.settings >= self.settings.revision();
        if is_current && heartbeat.settings_age != Millis::NEVER {
            self.confirm_settings(sent_at - heartbeat.settings_age);
        }
    }

    /// Returns whether this node is a designated reader of its failure domain: one
    /// of the daemons with the highest hash weights there. Without a list, every
    /// node is.
    #[must_use]
    pub fn is_designated_reader(&self) -> bool {
        let Some(list) = self.leases.list() else {
            return true;
        };
        let weight = |id: &id::Instance| hash::text(id.as_str());
        let own_weight = weight(&self.me.instance);
        let in_domain = list
            .members
            .iter()
            .filter(|member| member.domain == self.me.domain);
        let heavier = in_domain
            .filter(|member| weight(&member.id) > own_weight)
            .count();
        heavier < usize::from(self.settings.fleet().readers)
    }
}
