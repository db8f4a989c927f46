//! The platform and the peers, as one node sees them.

use std::net::SocketAddr;

use super::Node;
use super::timing;
use crate::clock::Millis;
use crate::cold_reports::ColdReport;
use crate::derive::value;
use crate::drain::Load;
use crate::drain::Phase;
use crate::hash;
use crate::id;
use crate::peer::Hello;
use crate::roster::List;
use crate::roster::Member;
use crate::settings::Tree;
use crate::slot::Wake;
use crate::tenure::Past;

value! {
    /// What a peer has that this node lacks.
    #[derive(Copy, Default)]
    pub struct Need {
        /// A newer list.
        pub list: bool,
        /// Newer settings, or a good document in place of a faulty one.
        pub settings: bool,
        /// The lists of late, which a fresh node does not know.
        pub past: bool,
    }

    /// What the driver does after a tick.
    pub enum Action {
        /// Greet the peer with the message.
        Greet(Member),
        /// Tell the driver of a call that waited.
        Wake(Wake),
    }
}

/// How long the list may stay unconfirmed before a node that is not a reader
/// asks the platform itself.
const LIST_LIMIT: Millis = Millis(2000);
/// The same for the settings.
const SETTINGS_LIMIT: Millis = Millis(3000);

/// When and how this node last heard from the platform and its peers.
#[derive(Clone, Debug)]
pub(super) struct Reach {
    /// When the platform had last confirmed the list that this node holds.
    list_at: Option<Millis>,
    /// When the platform had last confirmed the settings that it holds.
    settings_at: Option<Millis>,
    next_greeting: Millis,
    goodbye: bool,
}

impl Reach {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            list_at: None,
            settings_at: None,
            next_greeting: now,
            goodbye: false,
        }
    }
}

impl Node {
    // The platform

    /// Tells whether this node should read the list from the platform now.
    ///
    /// A few readers in each failure domain do, and pass on what they read.
    /// The others ask only if nobody has confirmed it for a while. So the
    /// platform's calls grow with the failure domains and not with the fleet.
    #[must_use]
    pub fn is_list_reader(&self, now: Millis) -> bool {
        let is_confirmed = self.list_age(now).is_some_and(|age| age < LIST_LIMIT);
        !is_confirmed || self.is_elected_reader()
    }

    /// Tells whether this node should read the settings from the platform now.
    ///
    /// See also [`Self::is_list_reader`].
    #[must_use]
    pub fn is_settings_reader(&self, now: Millis) -> bool {
        let age = self.settings_age(now);
        let is_confirmed = age.is_some_and(|age| age < SETTINGS_LIMIT);
        !is_confirmed || self.is_elected_reader()
    }

    /// Takes in reports of cold targets, which the platform or a peer was asked
    /// for at `asked_at`.
    pub fn read_cold(&mut self, reports: &[ColdReport], asked_at: Millis, now: Millis) {
        for (target, at) in self.cold.merge(reports, asked_at) {
            self.chill(&target, at, now);
        }
    }

    /// Takes in the list that the platform published, asked for at `asked_at`.
    ///
    /// The question's time is what counts: the answer may have waited while
    /// the process was paused. An older list than this node's confirms nothing.
    pub fn take_list(&mut self, list: &List, asked_at: Millis, now: Millis) {
        let is_current = list.revision >= self.tenure.revision();
        self.adopt_list(list, now);
        if is_current {
            self.confirm_list(asked_at);
        }
    }

    /// Takes in the settings that the platform published.
    ///
    /// See also [`Self::take_list`].
    pub fn take_settings(&mut self, tree: &Tree, asked_at: Millis, now: Millis) {
        let is_current = tree.revision >= self.book.revision();
        self.adopt_settings(tree, now);
        if is_current {
            self.confirm_settings(asked_at);
        }
    }

    /// Does what [`Self::take_list`] does for an answer that took no time.
    pub fn read_list(&mut self, list: &List, now: Millis) {
        self.take_list(list, now, now);
    }

    /// Does what [`Self::take_settings`] does for an answer that took no time.
    pub fn read_settings(&mut self, tree: &Tree, now: Millis) {
        self.take_settings(tree, now, now);
    }

    /// Notes that the platform had no newer list when it was asked.
    pub fn confirm_list(&mut self, asked_at: Millis) {
        self.reach.list_at = self.reach.list_at.max(Some(asked_at));
        self.tenure.confirm(asked_at);
    }

    /// Notes that the platform had no newer settings when it was asked.
    pub fn confirm_settings(&mut self, asked_at: Millis) {
        self.reach.settings_at = self.reach.settings_at.max(Some(asked_at));
    }

    /// Tells whether this node may use the rights that it owns now.
    #[must_use]
    pub fn holds_rights(&self, now: Millis) -> bool {
        self.tenure.is_settled(now)
    }

    /// Returns how long ago the platform confirmed all that this node knows.
    #[must_use]
    pub fn read_age(&self, now: Millis) -> Option<Millis> {
        let list = self.list_age(now)?;
        Some(list.max(self.settings_age(now)?))
    }

    /// Returns how long ago the platform confirmed the list.
    #[must_use]
    pub fn list_age(&self, now: Millis) -> Option<Millis> {
        self.reach.list_at.map(|at| now - at)
    }

    /// Returns how long ago the platform confirmed the settings.
    #[must_use]
    pub fn settings_age(&self, now: Millis) -> Option<Millis> {
        self.reach.settings_at.map(|at| now - at)
    }

    // Peers

    /// Takes in the list that a peer has read.
    pub fn adopt_list(&mut self, list: &List, now: Millis) {
        let before = self.tenure.revision();
        if self.tenure.adopt(list, now) {
            self.loads.retain_listed(list);
        }
        let after = self.tenure.revision();
        self.assert(after >= before, "list-reverted");
    }

    /// Takes in the lists of late from a peer that knows them.
    pub fn adopt_past(&mut self, past: &[Past], now: Millis) {
        self.tenure.learn_past(past, now);
    }

    /// Takes in the settings that a peer holds.
    pub fn adopt_settings(&mut self, tree: &Tree, now: Millis) {
        let before = self.book.revision();
        if self.book.adopt(tree) {
            self.tenure.set_timing(timing(self.book.fleet()), now);
            self.tenure.set_ended(&self.book.fleet().ended);
        }
        let after = self.book.revision();
        self.assert(after >= before, "settings-reverted");
    }

    /// Returns the message that this node says to a peer now.
    #[must_use]
    pub fn hello(&self, now: Millis) -> Hello {
        Hello {
            from: self.me.instance.clone(),
            answer: self.tenure.answer(now),
            settings: self.book.revision(),
            list_age: self.list_age(now).unwrap_or(Millis::NEVER),
            settings_age: self.settings_age(now).unwrap_or(Millis::NEVER),
            is_witness: self.tenure.is_witness(now),
            is_goodbye: self.reach.goodbye,
            departed: self.tenure.departed(now),
            suspects: self.suspects.snapshot(now),
            cold: self.cold.reports(now),
        }
    }

    /// Takes in a peer's greeting; the reply is [`Self::hello`].
    pub fn greeted(&mut self, hello: &Hello, now: Millis) -> Need {
        self.tenure.merge_departed(&hello.departed, now);
        self.suspects.merge(&hello.suspects, now);
        if hello.is_goodbye {
            let revision = hello.answer.revision;
            self.tenure.goodbye(&hello.from, revision, now);
        }
        self.need(hello)
    }

    /// Takes in a peer's reply to a greeting sent at `sent_at`.
    pub fn answered(&mut self, hello: &Hello, sent_at: Millis, now: Millis) -> Need {
        if hello.is_witness && !hello.is_goodbye {
            self.tenure
                .acknowledge(&hello.from, &hello.answer, sent_at, now);
        }
        self.learn_confirmation(hello, sent_at);
        // The reply was made after `sent_at`, so a report seems older with each
        // daemon that passes it on, and none comes back as a newer one.
        self.read_cold(&hello.cold, sent_at, now);
        self.greeted(hello, now)
    }

    // Time

    /// Does what is due, and returns what the driver has to do.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.tenure.tick(now);
        self.suspects.expire(now);
        self.cold.expire(now);
        if self.drain.is_begun() {
            self.drain.tick(self.in_progress(), now);
        }
        self.keys.tick(self.book.fleet().horizon, now);
        self.handovers.tick(self.book.fleet().dropped_memory, now);
        let mut actions: Vec<Action> = Vec::new();
        actions.extend(self.wake(now).into_iter().map(Action::Wake));
        if now >= self.reach.next_greeting {
            self.reach.next_greeting = now + self.book.fleet().exchange;
            actions.extend(self.peers().map(Action::Greet));
        }
        actions
    }

    // Shutdown

    /// Begins to shut down; a second call ends it at once.
    pub fn shut_down(&mut self, limit: Millis, now: Millis) {
        self.drain.begin(limit, now);
    }

    /// Returns how far the shutdown has come.
    #[must_use]
    pub fn shutdown_phase(&self, now: Millis) -> Phase {
        self.drain.phase(self.in_progress(), now)
    }

    /// Tells whether the peer with the data port said goodbye.
    #[must_use]
    pub fn has_left(&self, data: SocketAddr) -> bool {
        let listed = self.tenure.list().into_iter();
        let mut members = listed.flat_map(|list| &list.members);
        members.any(|one| one.data == data && self.tenure.is_goodbye(&one.id))
    }

    /// Tells whether this node shuts down and refuses its peers' calls.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.drain.is_closed()
    }

    /// Returns what a shutdown would cut now.
    #[must_use]
    pub fn in_progress(&self) -> Load {
        Load {
            requests: self.room.total(),
            calls: self.slots.in_flight() + self.slots.queued() + self.keys.running(),
        }
    }

    /// Gives up every right and returns the peers to say goodbye to.
    pub fn say_goodbye(&mut self) -> Vec<Member> {
        self.reach.goodbye = true;
        self.tenure.give_up();
        self.peers().collect()
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = Member> + use<> {
        let listed = self.tenure.list().map(|list| list.members.clone());
        let me = self.me.instance.clone();
        let others = listed.unwrap_or_default().into_iter();
        others.filter(move |one| one.id != me)
    }

    fn chill(&mut self, target: &id::Target, at: Millis, now: Millis) {
        if let Some(pool) = self.pool_of(target) {
            self.slots.record_cold_report(target, at, &pool, now);
        }
    }

    fn need(&self, hello: &Hello) -> Need {
        let is_newer = hello.settings > self.book.revision();
        let is_equal = hello.settings == self.book.revision();
        Need {
            list: hello.answer.revision > self.tenure.revision(),
            settings: is_newer || (is_equal && self.book.lacks_valid_document()),
            past: hello.answer.knows_past && !self.tenure.knows_past(),
        }
    }

    /// Learns what the platform has confirmed, from a peer that knows nothing
    /// older.
    ///
    /// The reply was made after `sent_at`, so the ages err to the old side.
    fn learn_confirmation(&mut self, hello: &Hello, sent_at: Millis) {
        let is_current = hello.answer.revision >= self.tenure.revision();
        if is_current && hello.list_age != Millis::NEVER {
            self.confirm_list(sent_at - hello.list_age);
        }
        let is_current = hello.settings >= self.book.revision();
        if is_current && hello.settings_age != Millis::NEVER {
            self.confirm_settings(sent_at - hello.settings_age);
        }
    }

    /// Tells whether this node is one of the readers of its failure domain.
    #[must_use]
    pub fn is_elected_reader(&self) -> bool {
        let Some(list) = self.tenure.list() else {
            return true;
        };
        let weight = |id: &id::Instance| hash::text(id.as_str());
        let mine = weight(&self.me.instance);
        let near = list
            .members
            .iter()
            .filter(|one| one.domain == self.me.domain);
        let heavier = near.filter(|one| weight(&one.id) > mine).count();
        heavier < usize::from(self.book.fleet().readers)
    }
}
