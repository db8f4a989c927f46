//! The platform and the peers, as one node sees them.

use std::net::SocketAddr;

use super::Node;
use super::timing;
use crate::clock::Millis;
use crate::derive::value;
use crate::drain::Load;
use crate::drain::Phase;
use crate::hash;
use crate::id;
use crate::peer::Hello;
use crate::roster::List;
use crate::roster::Member;
use crate::roster::Revision;
use crate::settings::Tree;
use crate::slot::Wake;

value! {
    /// What a peer has that this node lacks.
    pub enum Need {
        /// Nothing.
        Nothing,
        /// A newer list.
        List,
        /// Newer settings.
        Settings,
        /// Both.
        Both,
    }

    /// What the driver does after a tick.
    pub enum Action {
        /// Greet the peer with the message.
        Greet(Member),
        /// Tell the driver of a call that waited.
        Wake(Wake),
    }
}

/// How long the platform may leave what was read unconfirmed before a node
/// that is not a reader asks for itself.
const CONFIRM_LIMIT: Millis = Millis(3000);

/// When and how this node last heard from the platform and its peers.
#[derive(Clone, Debug)]
pub(super) struct Reach {
    /// When the platform had last confirmed what this node knows.
    confirmed_at: Option<Millis>,
    next_greeting: Millis,
    goodbye: bool,
}

impl Reach {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            confirmed_at: None,
            next_greeting: now,
            goodbye: false,
        }
    }
}

impl Node {
    // The platform

    /// Tells whether this node should read the platform itself now.
    ///
    /// A few readers in each failure domain do, and pass on what they read.
    /// The others ask only if nobody has confirmed it for a while. So the
    /// platform's calls grow with the failure domains and not with the fleet.
    #[must_use]
    pub fn is_reader(&self, now: Millis) -> bool {
        let is_confirmed = self.read_age(now).is_some_and(|age| age < CONFIRM_LIMIT);
        !is_confirmed || self.is_elected_reader()
    }

    /// Takes in the list that the platform published.
    pub fn read_list(&mut self, list: &List, now: Millis) {
        self.adopt_list(list, now);
        self.confirm(now);
    }

    /// Takes in the settings that the platform published.
    pub fn read_settings(&mut self, tree: &Tree, now: Millis) {
        self.adopt_settings(tree);
        self.confirm(now);
    }

    /// Notes that the platform has nothing newer.
    pub fn confirm(&mut self, now: Millis) {
        self.reach.confirmed_at = Some(now);
    }

    /// Tells whether this node may use the rights that it owns now.
    #[must_use]
    pub fn holds_rights(&self, now: Millis) -> bool {
        self.tenure.is_settled(now)
    }

    /// Returns how long ago the platform confirmed what this node knows.
    #[must_use]
    pub fn read_age(&self, now: Millis) -> Option<Millis> {
        self.reach.confirmed_at.map(|at| now - at)
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

    /// Takes in the settings that a peer holds.
    pub fn adopt_settings(&mut self, tree: &Tree) {
        let before = self.book.revision();
        if self.book.adopt(tree) {
            self.tenure.set_timing(timing(self.book.fleet()));
        }
        let after = self.book.revision();
        self.assert(after >= before, "settings-reverted");
    }

    /// Returns the message that this node says to a peer now.
    #[must_use]
    pub fn hello(&self, now: Millis) -> Hello {
        Hello {
            from: self.me.instance.clone(),
            list: self.tenure.revision(),
            settings: self.book.revision(),
            read_age: self.read_age(now).unwrap_or(Millis::NEVER),
            is_witness: self.tenure.is_witness(now),
            is_goodbye: self.reach.goodbye,
            departed: self.tenure.departed(now),
            suspects: self.ward.suspects(now),
        }
    }

    /// Takes in a peer's greeting; the reply is [`Self::hello`].
    pub fn greeted(&mut self, hello: &Hello, now: Millis) -> Need {
        self.tenure.merge_departed(&hello.departed, now);
        self.ward.merge(&hello.suspects, now);
        if hello.is_goodbye {
            self.tenure.goodbye(&hello.from, now);
        }
        self.need(hello.list, hello.settings)
    }

    /// Takes in a peer's reply to a greeting sent at `sent_at`.
    pub fn answered(&mut self, hello: &Hello, sent_at: Millis, now: Millis) -> Need {
        if hello.is_witness && !hello.is_goodbye {
            self.tenure
                .acknowledge(&hello.from, hello.list, sent_at, now);
        }
        self.learn_confirmation(hello, sent_at);
        self.greeted(hello, now)
    }

    // Time

    /// Does what is due, and returns what the driver has to do.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.tenure.tick(now);
        self.ward.tick(now);
        if self.drain.is_begun() {
            self.drain.tick(self.in_progress(), now);
        }
        self.keys.tick(self.book.fleet().horizon, now);
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
        self.peers().collect()
    }

    fn peers(&self) -> impl Iterator<Item = Member> + use<> {
        let listed = self.tenure.list().map(|list| list.members.clone());
        let me = self.me.instance.clone();
        let others = listed.unwrap_or_default().into_iter();
        others.filter(move |one| one.id != me)
    }

    fn need(&self, list: Revision, settings: Revision) -> Need {
        let is_list = list > self.tenure.revision();
        let is_settings = settings > self.book.revision();
        match (is_list, is_settings) {
            (false, false) => Need::Nothing,
            (true, false) => Need::List,
            (false, true) => Need::Settings,
            (true, true) => Need::Both,
        }
    }

    /// Learns that the platform confirmed what this node knows, from a peer
    /// that knows nothing newer.
    fn learn_confirmation(&mut self, hello: &Hello, sent_at: Millis) {
        let knows_all =
            hello.list >= self.tenure.revision() && hello.settings >= self.book.revision();
        if !knows_all || hello.read_age == Millis::NEVER {
            return;
        }
        // The reply was made after `sent_at`, so this age errs to the old side.
        let at = sent_at - hello.read_age;
        let known = self.reach.confirmed_at.unwrap_or(Millis::ZERO);
        self.reach.confirmed_at = Some(known.max(at));
    }

    fn is_elected_reader(&self) -> bool {
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
