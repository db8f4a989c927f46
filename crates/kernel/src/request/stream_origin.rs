//! At which service and software version streams began.
//!
//! What two versions of a target's software write does not fit together, so a stream
//! that breaks off goes on only at the version that began it. A client that resumes
//! a stream mostly does so at another daemon, and the former one may be lost. Each
//! daemon therefore tells a few others where its streams began. These backups are
//! chosen by the attempt alone, so that every daemon finds them.
//!
//! If all of them are lost, one listed version proves nothing: targets of another one may
//! have left just before, or may have joined since the list was read. A daemon takes it for
//! proof only once it has seen the list for as long as a stream may last, and only if it asked
//! the store after the client came back. How old a copy is cannot be told from when it was
//! read: a daemon that stood still reads old answers. One that has just started has the store's
//! history and the targets' memory in place of what it has not seen
//! ([`version_history`](crate::request::version_history)).

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::fleet::membership::MemberState;
use crate::hash;
use crate::name;
use crate::request::version_history::Reading;

/// How long an origin is remembered. It is longer than clients wait for a stream.
pub const MEMORY: Millis = Millis(30_000);
/// Number of other daemons that keep an origin.
pub const BACKUPS: usize = 2;
/// Number of daemons that are asked for an origin. Two daemons differ in the order of
/// the others by at most themselves and those of which only one has heard.
pub const BACKUPS_ASKED: usize = 4;
/// The largest number of origins that a daemon remembers; the oldest are dropped.
const COUNT_MAX: usize = 20_000;

scalar! {
    /// What shows where a stream began.
    pub enum Evidence {
        /// This daemon's own memory.
        Record,
        /// That of a daemon that keeps it for others.
        Backup,
        /// A current list with targets of one version alone.
        List,
        /// What another daemon, or this one, has found out by asking the targets.
        Witness,
    }
}

value! {
    /// Where a stream began.
    pub struct Origin {
        /// The service of the target.
        pub service: name::Service,
        /// The version of the target's software.
        pub version: name::Version,
    }

    /// A version of which a run of a target has left the list.
    pub struct Departure {
        /// The version.
        pub version: name::Version,
        /// When the last one left at the latest.
        pub at: Millis,
    }

    /// What a daemon's list of targets says of the versions at which streams may have begun.
    pub struct Versions {
        /// Those of the service's targets that serve now, or that the daemon has seen serve
        /// within [`MEMORY`], sorted.
        pub seen: Vec<name::Version>,
        /// The versions of the service's targets that have left within [`MEMORY`].
        pub departures: Vec<Departure>,
        /// From when on the daemon knows each change of the list; `None` before it has it.
        pub listed_since: Option<Millis>,
        /// When the daemon asked for the last changes that are in the list; `None` if it never
        /// did.
        pub asked_at: Option<Millis>,
        /// The reading of the store's history that shows the changes before that; `None` if
        /// there is none, or if changes since then are unknown.
        pub history: Option<Reading>,
    }

    struct Record {
        attempt: name::Attempt,
        origin: Origin,
        since: Millis,
    }
}

/// The origins that one daemon knows, sorted by attempt.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    records: Vec<Record>,
}

impl Origins {
    /// Records where the stream of an attempt began. The first record holds; it is returned
    /// if a later one says something else.
    pub fn record(
        &mut self,
        attempt: &name::Attempt,
        origin: Origin,
        now: Millis,
    ) -> Option<&Origin> {
        if self.records.len() >= COUNT_MAX {
            self.drop_oldest();
        }
        match self.find(attempt) {
            Ok(index) => {
                let record = &mut self.records[index];
                record.since = now;
                Some(&record.origin).filter(|first| **first != origin)
            }
            Err(index) => {
                let record = Record {
                    attempt: attempt.clone(),
                    origin,
                    since: now,
                };
                self.records.insert(index, record);
                None
            }
        }
    }

    /// Returns where the stream of an attempt began, if this daemon knows.
    #[must_use]
    pub fn get(&self, attempt: &name::Attempt) -> Option<&Origin> {
        let index = self.find(attempt).ok()?;
        Some(&self.records[index].origin)
    }

    /// Forgets the origins that are older than [`MEMORY`].
    pub fn expire(&mut self, now: Millis) {
        self.records.retain(|record| record.since + MEMORY > now);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.records.iter().map(|record| record.since).min();
        self.records.retain(|record| Some(record.since) != oldest);
    }

    fn find(&self, attempt: &name::Attempt) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.attempt.cmp(attempt))
    }
}

impl Evidence {
    /// Returns the text for logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Backup => "backup",
            Self::List => "list",
            Self::Witness => "witness",
        }
    }
}

impl Versions {
    /// Returns the only version at which a stream may have begun that a client resumed at a
    /// time of this daemon's clock; `None` if there may be another one.
    #[must_use]
    pub fn only_one(&self, resumed_at: Millis) -> Option<&name::Version> {
        let is_current = self.asked_at.is_some_and(|at| at >= resumed_at);
        self.only_one_if_current(resumed_at).filter(|_| is_current)
    }

    /// Returns whether no target of another version has left at which a stream may have begun that
    /// a client resumed at a time and that lasts `stream_max` at most. It is proof only together
    /// with what targets hold of the stream.
    #[must_use]
    pub fn excludes_departed(
        &self,
        version: &name::Version,
        resumed_at: Millis,
        stream_max: Millis,
    ) -> bool {
        let is_current = self.asked_at.is_some_and(|at| at >= resumed_at);
        let has_seen_all = self
            .listed_since
            .is_some_and(|since| since + stream_max <= resumed_at);
        let is_covered = self
            .history
            .is_some_and(|history| history.covers(resumed_at, stream_max));
        let mut departures = self.departures.iter();
        let is_irrelevant =
            |one: &Departure| one.version == *version || one.at + stream_max < resumed_at;
        is_current && (has_seen_all || is_covered) && departures.all(is_irrelevant)
    }

    /// Returns the version that would be the only one if the list is current.
    #[must_use]
    pub fn only_one_if_current(&self, resumed_at: Millis) -> Option<&name::Version> {
        let version = self.only_seen()?;
        let is_long_enough = self
            .listed_since
            .is_some_and(|since| since + MEMORY <= resumed_at);
        Some(version).filter(|_| is_long_enough)
    }

    /// Returns the version if the daemon has seen a single one.
    #[must_use]
    pub fn only_seen(&self) -> Option<&name::Version> {
        match self.seen.as_slice() {
            [version] => Some(version),
            _ => None,
        }
    }
}

/// Returns the members in the order in which they are asked about a stream that no backup
/// knows. Those that have run longest have seen most; those that shut down or do not reach
/// the service's targets go last.
#[must_use]
pub fn witnesses<'a>(
    members: &[&'a MemberState],
    reaches: impl Fn(&MemberState) -> bool,
) -> Vec<&'a MemberState> {
    let mut order = members.to_vec();
    order.sort_by_key(|member| {
        let goes_last = member.is_leaving || !reaches(member);
        (goes_last, member.incarnation)
    });
    order
}

/// Returns the first `count` backups of an attempt, without `me`, in the order in which
/// they are chosen.
#[must_use]
pub fn backups(
    attempt: &name::Attempt,
    members: &[&MemberState],
    me: &name::Member,
    count: usize,
) -> Vec<SocketAddr> {
    let seed = hash::text(attempt.as_str());
    let weight = |member: &MemberState| hash::mix(seed, hash::text(member.name.as_str()));
    let others = members.iter().filter(|member| member.name != *me);
    let mut others: Vec<&MemberState> = others.copied().collect();
    others.sort_by_cached_key(|member| !weight(member));
    let backups = others.into_iter().take(count);
    backups.map(|member| member.address).collect()
}
