//! Which daemons are alive.
//!
//! Each daemon counts its own beats and tells its peers of itself and of a few
//! others. A member whose beat has not grown for a while is taken for silent;
//! it stays known, so that it is still greeted and found again after a
//! partition. Nothing rests on all daemons having the same table.
//!
//! What a daemon sends for this does not grow with the fleet: a round greets
//! [`GREET_MAX`] peers and tells each of [`ROWS_MAX`] others. With whole tables
//! the greetings of 63 daemons filled links of 10 Mbit/s.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::name;

/// After how long without a new beat a member counts as silent, in a fleet that
/// is greeted whole in each round.
///
/// Five greetings at [`GREET_EVERY`] may be lost or late before that.
pub const SILENT_AFTER: Millis = Millis(1_500);
/// The same in a larger fleet, where beats take several rounds to get around.
pub const SILENT_AFTER_LARGE: Millis = Millis(4_000);
/// How often a daemon greets its peers.
pub const GREET_EVERY: Millis = Millis(300);
/// How many peers are greeted at a time; a beat then spreads in few rounds.
pub const GREET_MAX: usize = 8;
/// How many other members a greeting tells of.
pub const ROWS_MAX: usize = 8;
/// How long a silent member is remembered, and greeted now and then.
pub const FORGET_AFTER: Millis = Millis(120_000);
/// For how long the largest fleet that was seen counts for shares.
///
/// It outlasts a partition: a part of the fleet must not take the whole rate
/// of a cold target while the other part still sends.
pub const FLEET_MEMORY: Millis = Millis(60_000);

value! {
    /// What a daemon tells of itself or of another one.
    pub struct Row {
        /// Its name, which a restart keeps.
        pub name: name::Member,
        /// The start of its process by its wall clock; a later start is higher.
        pub incarnation: u64,
        /// How often it has greeted.
        pub beat: u64,
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// Its share of a processor, in thousandths.
        pub strength: u32,
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
struct Known {
    row: Row,
    heard: Millis,
}

/// The table of one daemon.
#[derive(Clone, Debug)]
pub struct Table {
    me: Row,
    known: Vec<Known>,
    /// Where the next greeting's rows begin.
    told: usize,
    largest: usize,
    largest_at: Millis,
}

/// A member that was found or has fallen silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is heard for the first time, or again.
    Found(name::Member),
    /// It has not been heard for a while.
    Silent(name::Member),
}

impl Table {
    /// Starts alone.
    #[must_use]
    pub fn new(me: Row) -> Self {
        Self {
            me,
            known: Vec::new(),
            told: 0,
            largest: 1,
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
    pub fn me(&self) -> &Row {
        &self.me
    }

    /// Marks this daemon as shutting down. It counts as a beat, since others
    /// believe only what is newer than what they know.
    pub fn leave(&mut self) {
        self.me.is_leaving = true;
        self.me.beat += 1;
    }

    /// Counts a beat of this daemon, and returns who is greeted now.
    ///
    /// In a large fleet each round greets other peers; silent ones are greeted
    /// rarely, so that a fleet which lost many members does not call in vain.
    pub fn beat(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.me.beat += 1;
        self.known.retain(|known| known.heard + FORGET_AFTER > now);
        let round = usize::try_from(self.me.beat).unwrap_or_default();
        let is_due = |known: &&Known| self.is_fresh(known, now) || self.me.beat.is_multiple_of(4);
        let due: Vec<&Known> = self.known.iter().filter(is_due).collect();
        let count = due.len();
        let start = if count > GREET_MAX {
            round * GREET_MAX % count
        } else {
            0
        };
        let turn = due.iter().cycle().skip(start).take(count.min(GREET_MAX));
        turn.map(|known| known.row.address).collect()
    }

    /// Takes in a row that its own daemon has just told.
    pub fn hear(&mut self, row: Row, now: Millis) -> Option<Change> {
        self.merge(row, true, now)
    }

    /// Takes in what another daemon tells of a third.
    pub fn learn(&mut self, row: Row, now: Millis) -> Option<Change> {
        self.merge(row, false, now)
    }

    /// Returns the live members and this daemon, sorted by name.
    #[must_use]
    pub fn live(&self, now: Millis) -> Vec<&Row> {
        let others = self.known.iter().filter(|known| self.is_fresh(known, now));
        let mut live: Vec<&Row> = others.map(|known| &known.row).collect();
        live.push(&self.me);
        live.sort_by(|one, other| one.name.cmp(&other.name));
        live
    }

    /// Returns the rows of some live members, for a greeting; each call goes on
    /// where the last one ended.
    #[must_use]
    pub fn rows(&mut self, now: Millis) -> Vec<Row> {
        let fresh = self.known.iter().filter(|known| self.is_fresh(known, now));
        let fresh: Vec<&Row> = fresh.map(|known| &known.row).collect();
        let start = self.told.checked_rem(fresh.len()).unwrap_or(0);
        let turn = fresh.iter().cycle().skip(start);
        let rows: Vec<Row> = turn
            .take(fresh.len().min(ROWS_MAX))
            .copied()
            .cloned()
            .collect();
        self.told = start + rows.len();
        rows
    }

    /// Returns where the live members are reached.
    #[must_use]
    pub fn addresses(&self, now: Millis) -> Vec<SocketAddr> {
        let fresh = self.known.iter().filter(|known| self.is_fresh(known, now));
        fresh.map(|known| known.row.address).collect()
    }

    /// Tells whether a member at the address is live.
    #[must_use]
    pub fn is_live(&self, address: SocketAddr, now: Millis) -> bool {
        let found = self.known.iter().find(|known| known.row.address == address);
        found.is_some_and(|known| self.is_fresh(known, now))
    }

    /// Tells whether a run of a daemon is known to have ended, or is silent. One
    /// that has not been heard yet has not ended.
    #[must_use]
    pub fn is_gone(&self, process: Process, now: Millis) -> bool {
        let at = |known: &&Known| known.row.address == process.address;
        let found = self.known.iter().find(at);
        found.is_some_and(|known| {
            known.row.incarnation != process.incarnation || !self.is_fresh(known, now)
        })
    }

    /// Returns how many daemons shares are counted for: the most that were
    /// live at a time of late.
    pub fn fleet(&mut self, now: Millis) -> usize {
        let live = 1 + self
            .known
            .iter()
            .filter(|known| self.is_fresh(known, now))
            .count();
        if live >= self.largest || self.largest_at + FLEET_MEMORY <= now {
            self.largest = live;
            self.largest_at = now;
        }
        self.largest
    }

    /// Returns the members that have fallen silent since the last look.
    #[must_use]
    pub fn silent_since(&self, before: Millis, now: Millis) -> Vec<name::Member> {
        let fell = |known: &&Known| {
            let end = known.heard + self.silent_after();
            before < end && end <= now
        };
        let fallen = self.known.iter().filter(fell);
        fallen.map(|known| known.row.name.clone()).collect()
    }

    fn merge(&mut self, row: Row, is_direct: bool, now: Millis) -> Option<Change> {
        if row.name == self.me.name {
            return None;
        }
        let name = row.name.clone();
        let found = self
            .known
            .binary_search_by(|one| one.row.name.cmp(&row.name));
        match found {
            Ok(index) => {
                let was_live = self.is_fresh(&self.known[index], now);
                let known = &mut self.known[index];
                let is_newer =
                    (row.incarnation, row.beat) > (known.row.incarnation, known.row.beat);
                // A process that started behind a clock that had jumped back
                // has the lower incarnation; its own word goes before others'.
                let is_restart = is_direct && row.incarnation != known.row.incarnation;
                if is_newer || is_restart {
                    *known = Known { row, heard: now };
                    return (!was_live).then_some(Change::Found(name));
                }
                None
            }
            Err(index) => {
                self.known.insert(index, Known { row, heard: now });
                Some(Change::Found(name))
            }
        }
    }

    fn is_fresh(&self, known: &Known, now: Millis) -> bool {
        known.heard + self.silent_after() > now
    }

    fn silent_after(&self) -> Millis {
        if self.known.len() > GREET_MAX {
            SILENT_AFTER_LARGE
        } else {
            SILENT_AFTER
        }
    }
}
