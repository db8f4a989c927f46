//! At which service and software version streams began.
//!
//! What two versions of a target's software write does not fit together, so a stream
//! that breaks off goes on only at the version that began it. A client that resumes
//! a stream mostly does so at another daemon, and the former one may be lost. Each
//! daemon therefore tells a few others where its streams began. These backups are
//! chosen by the attempt alone, so that every daemon finds them.
//!
//! If all of them are lost, one listed version proves nothing: targets of another one may
//! have left just before. A daemon takes it for proof only once it has seen the list for as
//! long as a stream may last.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::derive::value;
use crate::fleet::assignment::WATCH_TIMEOUT;
use crate::fleet::membership::MemberState;
use crate::hash;
use crate::name;

/// How long an origin is remembered. It is longer than clients wait for a stream.
pub const MEMORY: Millis = Millis(30_000);
/// How old the store's last confirmation may be for a daemon to know all versions: a watch
/// without a change, and half a second for a slow answer.
const LIST_AGE_MAX: Millis = Millis(WATCH_TIMEOUT.0 + 500);
/// Number of other daemons that keep an origin.
pub const BACKUPS: usize = 2;
/// Number of daemons that are asked for an origin. Two daemons differ in the order of
/// the others by at most themselves and those of which only one has heard.
pub const BACKUPS_ASKED: usize = 4;
/// The largest number of origins that a daemon remembers; the oldest are dropped.
const COUNT_MAX: usize = 20_000;

value! {
    /// Where a stream began.
    pub struct Origin {
        /// The service of the target.
        pub service: name::Service,
        /// The version of the target's software.
        pub version: name::Version,
    }

    /// What a daemon knows of the versions at which a stream may have begun.
    pub struct Versions {
        /// Those of the service's targets that serve now, or that the daemon has seen serve
        /// within [`MEMORY`], sorted.
        pub seen: Vec<name::Version>,
        /// Whether no target of another version can have served within [`MEMORY`].
        pub is_complete: bool,
    }

    /// Where a stream may go on.
    pub enum Resumption {
        /// At targets like the one that began it, also if others join before it is sent.
        At(Origin),
        /// Several versions may have served, and it is not known which one began it.
        Unknown,
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
    /// Records where the stream of an attempt began. Returns the former record if it says
    /// something else.
    pub fn record(
        &mut self,
        attempt: &name::Attempt,
        origin: Origin,
        now: Millis,
    ) -> Option<Origin> {
        let record = Record {
            attempt: attempt.clone(),
            origin,
            since: now,
        };
        let former = match self.find(attempt) {
            Ok(index) => {
                let former = std::mem::replace(&mut self.records[index], record);
                Some(former.origin).filter(|former| *former != self.records[index].origin)
            }
            Err(index) => {
                self.records.insert(index, record);
                None
            }
        };
        if self.records.len() > COUNT_MAX {
            self.drop_oldest();
        }
        former
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

/// Decides where a stream of a service may go on.
#[must_use]
pub fn resumption(
    origin: Option<&Origin>,
    service: &name::Service,
    versions: &Versions,
) -> Resumption {
    match (origin, versions.seen.as_slice()) {
        (Some(origin), _) => Resumption::At(origin.clone()),
        (None, [version]) if versions.is_complete => Resumption::At(Origin {
            service: service.clone(),
            version: version.clone(),
        }),
        (None, _) => Resumption::Unknown,
    }
}

/// Returns whether a daemon has seen all targets that served within [`MEMORY`].
/// `listed_since` is from when on it knows each change of the list, and `confirmed_age` how
/// long ago the platform's store confirmed its copy of the list.
#[must_use]
pub fn has_seen_all(
    listed_since: Option<Millis>,
    confirmed_age: Option<Millis>,
    now: Millis,
) -> bool {
    let is_long_enough = listed_since.is_some_and(|since| since + MEMORY <= now);
    let is_current = confirmed_age.is_some_and(|age| age <= LIST_AGE_MAX);
    is_long_enough && is_current
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
