//! Which daemons are alive.
//!
//! Each daemon counts its own beats and tells its peers of itself and of a few
//! others. A member whose beat has not grown for a while is taken for silent;
//! it stays known, so that it is still greeted and found again after a
//! partition. Nothing rests on all daemons having the same table.
//!
//! What a daemon sends for this does not grow with the fleet: a round greets
//! [`GREET_MAX`] peers and tells each of [`GREETING_STATES_MAX`] others. With whole tables
//! the greetings of 63 daemons filled links of 10 Mbit/s.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;

/// After how long without a new beat a member counts as silent, in a fleet that
/// is greeted whole in each round.
///
/// Five greetings at [`GREET_INTERVAL`] may be lost or late before that.
pub const SILENT_AFTER: Millis = Millis(1_500);
/// The same in a larger fleet, where beats take several rounds to get around.
pub const SILENT_AFTER_LARGE: Millis = Millis(4_000);
/// How often a daemon greets its peers.
pub const GREET_INTERVAL: Millis = Millis(300);
/// How many peers are greeted at a time; a beat then spreads in few rounds.
pub const GREET_MAX: usize = 8;
/// How many other members a greeting tells of.
pub const GREETING_STATES_MAX: usize = 8;
/// How long a silent member is remembered, and greeted now and then.
pub const FORGET_AFTER: Millis = Millis(120_000);
/// For how long the largest fleet that was seen counts for shares.
///
/// It outlasts a partition: a part of the fleet must not take the whole rate
/// of a cold target while the other part still sends.
pub const FLEET_SIZE_MEMORY: Millis = Millis(60_000);

value! {
    /// What a daemon tells of itself or of another one.
    pub struct MemberState {
        /// Its name, which a restart keeps.
        pub name: name::Member,
        /// The start of its process by its wall clock; a later start is higher.
        pub incarnation: u64,
        /// How often it has greeted.
        pub beat: u64,
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// Its share of a processor, in thousandths.
        pub cpu_millicores: u32,
        /// Whether it is shutting down.
        pub is_leaving: bool,
    }
}

scalar! {
    /// One run of a daemon: a restart is another one at the same address.
    pub struct Process {
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// The start of its process by its wall clock.
        pub incarnation: u64,
    }
}

#[derive(Clone, Debug)]
struct KnownMember {
    state: MemberState,
    last_heard: Millis,
}

/// The table of one daemon.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberState,
    known: Vec<KnownMember>,
    /// Where the next greeting's rows begin.
    next_in_greeting: usize,
    largest_size: usize,
    largest_at: Millis,
}

/// A member that was found or has fallen silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// It is heard for the first time, or again.
    Found(name::Member),
    /// It has not been heard for a while.
    Silent(name::Member),
}

impl Membership {
    /// Starts alone.
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

    /// Returns this run of this daemon.
    #[must_use]
    pub fn process(&self) -> Process {
        Process {
            address: self.me.address,
            incarnation: self.me.incarnation,
        }
    }

    /// Returns this daemon's own row.
    #[must_use]
    pub fn me(&self) -> &MemberState {
        &self.me
    }

    /// Marks this daemon as shutting down. It counts as a beat, since others
    /// believe only what is newer than what they know.
    pub fn mark_leaving(&mut self) {
        self.me.is_leaving = true;
        self.me.beat += 1;
    }

    /// Counts a beat of this daemon, and returns who is greeted now.
    ///
    /// In a large fleet each round greets other peers; silent ones are greeted
    /// rarely, so that a fleet which lost many members does not call in vain.
    pub fn next_greetings(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.me.beat += 1;
        self.known
            .retain(|known| known.last_heard + FORGET_AFTER > now);
        let round = usize::try_from(self.me.beat).unwrap_or_default();
        let is_due =
            |known: &&KnownMember| self.is_recent(known, now) || self.me.beat.is_multiple_of(4);
        let due: Vec<&KnownMember> = self.known.iter().filter(is_due).collect();
        let count = due.len();
        let start = if count > GREET_MAX {
            round * GREET_MAX % count
        } else {
            0
        };
        let selected = due.iter().cycle().skip(start).take(count.min(GREET_MAX));
        selected.map(|known| known.state.address).collect()
    }

    /// Takes in a row that its own daemon has just told.
    pub fn update_from_self(&mut self, state: MemberState, now: Millis) -> Option<MemberChange> {
        self.merge(state, true, now)
    }

    /// Takes in what another daemon tells of a third.
    pub fn update_from_peer(&mut self, state: MemberState, now: Millis) -> Option<MemberChange> {
        self.merge(state, false, now)
    }

    /// Returns the live members and this daemon, sorted by name.
    #[must_use]
    pub fn live(&self, now: Millis) -> Vec<&MemberState> {
        let others = self.known.iter().filter(|known| self.is_recent(known, now));
        let mut live: Vec<&MemberState> = others.map(|known| &known.state).collect();
        live.push(&self.me);
        live.sort_by(|one, other| one.name.cmp(&other.name));
        live
    }

    /// Returns the rows of some live members, for a greeting; each call goes on
    /// where the last one ended.
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

    /// Returns where the live members are reached.
    #[must_use]
    pub fn live_addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let recent = self.known.iter().filter(|known| self.is_recent(known, now));
        recent.map(|known| known.state.address).collect()
    }

    /// Tells whether a member at the address is live.
    #[must_use]
    pub fn is_live(&self, address: SocketAddr, now: Millis) -> bool {
        let found = self
            .known
            .iter()
            .find(|known| known.state.address == address);
        found.is_some_and(|known| self.is_recent(known, now))
    }

    /// Tells whether a run of a daemon is known to have ended, or is silent. One
    /// that has not been heard yet has not ended.
    #[must_use]
    pub fn has_ended(&self, process: Process, now: Millis) -> bool {
        let has_address = |known: &&KnownMember| known.state.address == process.address;
        let found = self.known.iter().find(has_address);
        found.is_some_and(|known| {
            known.state.incarnation != process.incarnation || !self.is_recent(known, now)
        })
    }

    /// Returns how many daemons shares are counted for: the most that were
    /// live at a time of late.
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

    /// Returns the members that have fallen silent since the last look.
    #[must_use]
    pub fn silent_since(&self, before: Millis, now: Millis) -> Vec<name::Member> {
        let fell = |known: &&KnownMember| {
            let end = known.last_heard + self.silent_after();
            before < end && end <= now
        };
        let fallen = self.known.iter().filter(fell);
        fallen.map(|known| known.state.name.clone()).collect()
    }

    fn merge(&mut self, state: MemberState, is_direct: bool, now: Millis) -> Option<MemberChange> {
        if state.name == self.me.name {
            return None;
        }
        let name = state.name.clone();
        let found = self
            .known
            .binary_search_by(|known| known.state.name.cmp(&state.name));
        match found {
            Ok(index) => {
                let was_live = self.is_recent(&self.known[index], now);
                let known = &mut self.known[index];
                let is_newer =
                    (state.incarnation, state.beat) > (known.state.incarnation, known.state.beat);
                // A process that started behind a clock that had jumped back
                // has the lower incarnation; its own word goes before others'.
                let is_restart = is_direct && state.incarnation != known.state.incarnation;
                if is_newer || is_restart {
                    *known = KnownMember {
                        state,
                        last_heard: now,
                    };
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
                    },
                );
                Some(MemberChange::Found(name))
            }
        }
    }

    fn is_recent(&self, known: &KnownMember, now: Millis) -> bool {
        known.last_heard + self.silent_after() > now
    }

    fn silent_after(&self) -> Millis {
        if self.known.len() > GREET_MAX {
            SILENT_AFTER_LARGE
        } else {
            SILENT_AFTER
        }
    }
}
