//! Gossip membership and failure detection.
//!
//! Each daemon advances its own heartbeat counter, and sends its state and that
//! of a few other members to its peers. A member whose heartbeat has not
//! advanced for a while counts as silent. It stays known and is still greeted,
//! so that it is found again after a partition. Nothing requires all daemons to
//! have the same view.
//!
//! The traffic of a daemon is independent of the size of the fleet: each round
//! greets [`GREET_MAX`] peers with the states of [`GREETING_STATES_MAX`] other
//! members. With the states of all members in each greeting, 63 daemons filled
//! links of 10 Mbit/s. The peers are those of which there was no news for the
//! longest time, and in a large fleet none counts as silent before it has left a
//! greeting unanswered.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;

/// Time without a new heartbeat after which a member counts as silent, in a
/// fleet where every round greets all members.
///
/// It tolerates five greetings at [`GREET_INTERVAL`] that are lost or late.
pub const SILENT_AFTER: Millis = Millis(1_500);
/// Like [`SILENT_AFTER`], but for a larger fleet, where heartbeats take several
/// rounds to spread. A member must have left a greeting unanswered, too.
pub const SILENT_AFTER_LARGE: Millis = Millis(4_000);
/// Time within which a live member answers a greeting.
pub const ANSWER_TIME: Millis = Millis(600);
/// Interval between the rounds in which a daemon greets its peers.
pub const GREET_INTERVAL: Millis = Millis(300);
/// Number of peers that are greeted in a round; enough for a heartbeat to
/// spread in a few rounds.
pub const GREET_MAX: usize = 8;
/// Number of other members whose state a greeting carries.
pub const GREETING_STATES_MAX: usize = 8;
/// How long a silent member is remembered and occasionally greeted.
pub const FORGET_AFTER: Millis = Millis(120_000);
/// How long the largest fleet size that was seen is used to compute shares.
///
/// It is longer than a partition: one side must not use the whole rate of a
/// cold target while the other side still sends.
pub const FLEET_SIZE_MEMORY: Millis = Millis(60_000);

value! {
    /// The state of a member, as it publishes it itself or as others pass it
    /// on.
    pub struct MemberState {
        /// The name, which is the same after a restart.
        pub name: name::Member,
        /// Start of the process by its wall clock; a later start is higher.
        pub incarnation: u64,
        /// Heartbeat counter, which advances with each round of greetings.
        pub beat: u64,
        /// The address at which peers reach it.
        pub address: SocketAddr,
        /// Its processor share, in thousandths of a core.
        pub cpu_millicores: u32,
        /// Whether it is shutting down.
        pub is_leaving: bool,
    }
}

scalar! {
    /// One run of a daemon; a restart is a new process at the same address.
    pub struct Process {
        /// The address at which peers reach it.
        pub address: SocketAddr,
        /// Start of the process by its wall clock.
        pub incarnation: u64,
    }
}

#[derive(Clone, Debug)]
struct KnownMember {
    state: MemberState,
    last_heard: Millis,
    last_greeted: Millis,
    /// The first greeting since the last news of it.
    unanswered_since: Option<Millis>,
}

/// One daemon's view of the members of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberState,
    known: Vec<KnownMember>,
    /// Index among the live members at which the next greeting continues.
    next_in_greeting: usize,
    largest_size: usize,
    largest_at: Millis,
}

/// A change in the liveness of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// It became live, for the first time or again.
    Found(name::Member),
    /// It became silent.
    Silent(name::Member),
}

impl Membership {
    /// Creates a view that holds only this daemon.
    #[must_use]
    pub fn new(me: MemberState) -> Self {
        Self {
            me,
            known: Vec::new(),
            next_in_greeting: 0,
            largest_size: 1,
            largest_at: Millis::ZERO,
        }
    }

    /// Returns the current process of this daemon.
    #[must_use]
    pub fn process(&self) -> Process {
        Process {
            address: self.me.address,
            incarnation: self.me.incarnation,
        }
    }

    /// Returns the state of this daemon.
    #[must_use]
    pub fn me(&self) -> &MemberState {
        &self.me
    }

    /// Marks this daemon as shutting down. This advances the heartbeat, since
    /// others accept only a newer state.
    pub fn mark_leaving(&mut self) {
        self.me.is_leaving = true;
        self.me.beat += 1;
    }

    /// Advances the heartbeat of this daemon, and returns the peers to greet
    /// now: those that it has neither heard of nor greeted for the longest time.
    ///
    /// What others pass on reaches some members of a large fleet late. With peers
    /// greeted in a fixed order, 295 daemons counted live members as silent
    /// thousands of times a minute, and dropped their work. A direct greeting is
    /// therefore spent where the last news is oldest. Silent members are greeted
    /// only in every fourth round, so that a fleet that has lost many members
    /// makes few calls to them.
    pub fn next_greetings(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.me.beat += 1;
        self.known
            .retain(|known| known.last_heard + FORGET_AFTER > now);
        let are_silent_due = self.me.beat.is_multiple_of(4);
        let indexes = 0..self.known.len();
        let is_due = |index: &usize| are_silent_due || self.is_recent(&self.known[*index], now);
        let mut due: Vec<usize> = indexes.filter(is_due).collect();
        due.sort_by_key(|index| {
            let known = &self.known[*index];
            known.last_heard.max(known.last_greeted)
        });
        due.truncate(GREET_MAX);
        for index in &due {
            let known = &mut self.known[*index];
            known.last_greeted = now;
            known.unanswered_since.get_or_insert(now);
        }
        let addresses = due.iter().map(|index| self.known[*index].state.address);
        addresses.collect()
    }

    /// Merges the state that a member has sent about itself.
    pub fn update_direct(&mut self, state: MemberState, now: Millis) -> Option<MemberChange> {
        self.merge(state, true, now)
    }

    /// Merges the state of a member that another daemon has passed on.
    pub fn update_relayed(&mut self, state: MemberState, now: Millis) -> Option<MemberChange> {
        self.merge(state, false, now)
    }

    /// Returns the live members, including this daemon, sorted by name.
    #[must_use]
    pub fn live(&self, now: Millis) -> Vec<&MemberState> {
        let others = self.known.iter().filter(|known| self.is_recent(known, now));
        let mut live: Vec<&MemberState> = others.map(|known| &known.state).collect();
        live.push(&self.me);
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the states of some live members for a greeting. Each call
    /// continues where the last one ended.
    #[must_use]
    pub fn states_for_greeting(&mut self, now: Millis) -> Vec<MemberState> {
        let recent = self.known.iter().filter(|known| self.is_recent(known, now));
        let recent: Vec<&MemberState> = recent.map(|known| &known.state).collect();
        let start = self.next_in_greeting.checked_rem(recent.len()).unwrap_or(0);
        let selected = recent.iter().cycle().skip(start);
        let states: Vec<MemberState> = selected
            .take(recent.len().min(GREETING_STATES_MAX))
            .copied()
            .cloned()
            .collect();
        self.next_in_greeting = start + states.len();
        states
    }

    /// Returns the addresses of the other live members.
    #[must_use]
    pub fn live_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let recent = self.known.iter().filter(|known| self.is_recent(known, now));
        recent.map(|known| known.state.address).collect()
    }

    /// Returns whether a member at this address is live.
    #[must_use]
    pub fn is_live(&self, address: SocketAddr, now: Millis) -> bool {
        let member = self
            .known
            .iter()
            .find(|known| known.state.address == address);
        member.is_some_and(|known| self.is_recent(known, now))
    }

    /// Returns whether a process is silent or was replaced by a restart. An
    /// unknown process has not ended.
    #[must_use]
    pub fn has_ended(&self, process: Process, now: Millis) -> bool {
        let has_address = |known: &&KnownMember| known.state.address == process.address;
        let member = self.known.iter().find(has_address);
        member.is_some_and(|known| {
            known.state.incarnation != process.incarnation || !self.is_recent(known, now)
        })
    }

    /// Returns the fleet size for computing shares: the largest number of live
    /// members within [`FLEET_SIZE_MEMORY`].
    pub fn fleet_size(&mut self, now: Millis) -> usize {
        let live = 1 + self
            .known
            .iter()
            .filter(|known| self.is_recent(known, now))
            .count();
        if live >= self.largest_size || self.largest_at + FLEET_SIZE_MEMORY <= now {
            self.largest_size = live;
            self.largest_at = now;
        }
        self.largest_size
    }

    /// Returns the members that became silent after `before` and up to `now`.
    #[must_use]
    pub fn silent_since(&self, before: Millis, now: Millis) -> Vec<name::Member> {
        let became_silent = |known: &&KnownMember| {
            let silent_from = self.silent_from(known);
            before < silent_from && silent_from <= now
        };
        let silent = self.known.iter().filter(became_silent);
        silent.map(|known| known.state.name.clone()).collect()
    }

    fn merge(&mut self, state: MemberState, is_direct: bool, now: Millis) -> Option<MemberChange> {
        if state.name == self.me.name {
            return None;
        }
        let name = state.name.clone();
        let position = self
            .known
            .binary_search_by(|known| known.state.name.cmp(&state.name));
        match position {
            Ok(index) => {
                let was_live = self.is_recent(&self.known[index], now);
                let known = &mut self.known[index];
                let version = (state.incarnation, state.beat);
                let known_version = (known.state.incarnation, known.state.beat);
                // A member that answers is live, also if others have passed on its
                // present heartbeat before.
                let is_newer = version > known_version || is_direct && version == known_version;
                // A process that starts after its wall clock was set back has a
                // lower incarnation. Only its own message can replace the
                // higher one.
                let is_restart = is_direct && state.incarnation != known.state.incarnation;
                if is_newer || is_restart {
                    known.state = state;
                    known.last_heard = now;
                    known.unanswered_since = None;
                    return (!was_live).then_some(MemberChange::Found(name));
                }
                None
            }
            Err(index) => {
                self.known.insert(
                    index,
                    KnownMember {
                        state,
                        last_heard: now,
                        last_greeted: Millis::ZERO,
                        unanswered_since: None,
                    },
                );
                Some(MemberChange::Found(name))
            }
        }
    }

    fn is_recent(&self, known: &KnownMember, now: Millis) -> bool {
        self.silent_from(known) > now
    }

    /// Returns when a member counts as silent if nothing more is heard of it.
    ///
    /// In a large fleet, news of it may only be late in coming round. It counts as
    /// silent only once it has left a greeting of this daemon unanswered, too.
    fn silent_from(&self, known: &KnownMember) -> Millis {
        if self.known.len() <= GREET_MAX {
            return known.last_heard + SILENT_AFTER;
        }
        let greeting_lost_at = known
            .unanswered_since
            .map_or(Millis::NEVER, |since| since + ANSWER_TIME);
        greeting_lost_at.max(known.last_heard + SILENT_AFTER_LARGE)
    }
}
