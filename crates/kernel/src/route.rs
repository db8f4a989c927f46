//! Which target a stage goes to.
//!
//! Candidates are ranked by rendezvous on the prompt prefix, so that one
//! prefix meets the same engines and their caches. The first one that has room
//! is taken, and the least loaded of the first few if none has. The prefix is
//! hashed together with the workspace, so that no workspace can learn what
//! another one has cached. A pool without a prefix has no caches to meet, so
//! targets of the own failure domain come first there. Targets that failed or
//! are slow come last; they are kept in a memory of bounded size.
//! `docs/design/routing.md` weighs the ways.

use std::cmp::Reverse;

use crate::answer::Kind;
use crate::clock::Millis;
use crate::concurrency_limit::Pace;
use crate::derive::scalar;
use crate::derive::value;
use crate::hash;
use crate::id;
use crate::roster::Entry;
use crate::roster::List;
use crate::roster::Revision;
use crate::roster::State;
use crate::settings::Fleet;
use crate::settings::Pool;

value! {
    /// What a stage needs.
    pub struct Ask {
        /// The pool that must serve it.
        pub pool: id::Pool,
        /// The hash of the workspace and the prompt prefix.
        pub prefix: u64,
        /// The targets that were tried already.
        pub tried: Vec<id::Target>,
        /// The digest of the request's workspace and body.
        pub digest: id::Digest,
    }

    /// Why a target is not a candidate now.
    pub enum Out {
        /// The list says that it is leaving.
        Leaving,
        /// It said itself that it is leaving.
        SaidLeaving,
        /// Operators have taken its failure domain out.
        DomainOut,
    }

    /// What an attempt has shown about its target, at the daemon that made it.
    pub struct Reply {
        /// The target.
        pub target: id::Target,
        /// Its pool.
        pub pool: id::Pool,
        /// The target's calls for each hundred places, if its owner told.
        pub percent: Option<u32>,
        /// How long the target worked, if it answered.
        pub latency: Option<Millis>,
        /// How the attempt failed, if it did.
        pub failure: Option<Kind>,
        /// The digest of the request's workspace and body.
        pub digest: id::Digest,
        /// How many targets broke while they ran it, as the owner knows.
        pub crashes: u16,
    }
}

/// How long a load that a reply carried counts.
const LOAD_MEMORY: Millis = Millis(5000);
/// How many targets' loads are kept, so that memory does not grow with the fleet.
const LOADS_MAX: usize = 512;
/// How many failing targets are kept.
const PENALTIES_MAX: usize = 64;
/// How long a target is avoided after its first failure.
const PENALTY: Millis = Millis(1000);
/// How often that span doubles at most while the target keeps failing.
const DOUBLINGS_MAX: u32 = 5;
/// How long a target is left alone when its owner cannot give it work.
const SHORT_PENALTY: Millis = Millis(500);
/// How long a target that said it is leaving is believed against the list.
const LEAVING_MEMORY: Millis = Millis(60_000);
/// From which load on the next candidate is looked at.
const SPILL_PERCENT: u32 = 80;
/// How many candidates are compared when none has room.
const COMPARED: usize = 4;
/// How many times the usual latency of its pool a slow target takes.
const SLOW_TIMES: u64 = 3;
/// What is added to that, so that fast pools are not judged by a hiccup.
const SLOW_MARGIN: Millis = Millis(30);

#[derive(Clone, Debug)]
struct Load {
    target: id::Target,
    /// Calls for each hundred places, as of the last reply.
    percent: u32,
    /// How many calls were sent there since.
    sent: u32,
    pace: Pace,
    at: Millis,
}

#[derive(Clone, Debug)]
struct Penalty {
    target: id::Target,
    strikes: u32,
    until: Millis,
}

#[derive(Clone, Debug)]
struct Leaver {
    target: id::Target,
    /// The newest list when it said so.
    revision: Revision,
    at: Millis,
}

/// What replies have said about the loads and states of targets.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    known: Vec<Load>,
    paces: Vec<(id::Pool, Pace)>,
    penalties: Vec<Penalty>,
    leaving: Vec<Leaver>,
}

impl Loads {
    /// Takes in what an attempt has shown.
    pub fn note(&mut self, reply: &Reply, now: Millis) {
        let load = self.load(&reply.target, now);
        if let Some(percent) = reply.percent {
            load.percent = percent;
            load.sent = 0;
        }
        load.at = now;
        if let Some(latency) = reply.latency {
            load.pace.note(latency, false);
            self.pace(&reply.pool).note(latency, false);
        }
        match reply.failure {
            None => self.forgive(&reply.target),
            Some(Kind::TargetFailed | Kind::DeadlinePassed) => self.punish(&reply.target, now),
            Some(Kind::NoRight | Kind::NoOwner | Kind::NoTarget) => {
                self.avoid(&reply.target, now + SHORT_PENALTY);
            }
            Some(_) => {}
        }
    }

    /// Notes that a call goes to the target, of which no reply tells yet.
    ///
    /// A target that failed is tried again by one call at a time.
    pub fn note_sent(&mut self, target: &id::Target, now: Millis) {
        let load = self.load(target, now);
        load.sent = load.sent.saturating_add(1);
        if self.find_penalty(target).is_ok() {
            self.avoid(target, now + PENALTY);
        }
    }

    /// Notes that a target has said that it is leaving.
    pub fn note_leaving(&mut self, target: &id::Target, revision: Revision, now: Millis) {
        let leaver = Leaver {
            target: target.clone(),
            revision,
            at: now,
        };
        match self.find_leaver(target) {
            Ok(index) => self.leaving[index] = leaver,
            Err(index) => self.leaving.insert(index, leaver),
        }
    }

    /// Forgets what was said by targets that the list no longer names.
    pub fn retain_listed(&mut self, list: &List) {
        self.known.retain(|one| list.target(&one.target).is_some());
        self.penalties
            .retain(|one| list.target(&one.target).is_some());
        self.leaving
            .retain(|one| list.target(&one.target).is_some());
    }

    /// Believes the list again about targets that said they were leaving, once
    /// a newer list calls them live and enough time has passed.
    pub fn tick(&mut self, list: &List, now: Millis) {
        self.leaving.retain(|one| {
            let entry = list.target(&one.target);
            let is_live = entry.is_some_and(|entry| entry.state == State::Live);
            let is_newer = list.revision > one.revision;
            !(is_live && is_newer && now >= one.at + LEAVING_MEMORY)
        });
    }

    /// Returns the load that a target is expected to have.
    ///
    /// A target that is not known, or was not heard of lately, counts as cold
    /// and empty but for the calls that were sent there since.
    #[must_use]
    pub fn percent(&self, target: &id::Target, pool: &Pool, now: Millis) -> u32 {
        let Ok(index) = self.find(target) else {
            return 0;
        };
        let load = &self.known[index];
        if load.at + LOAD_MEMORY <= now {
            return 0;
        }
        let is_reported = load.percent > 0;
        let places = if is_reported {
            pool.warm_limit
        } else {
            pool.cold_limit
        };
        let each = 100 / u32::from(places).max(1);
        load.percent.saturating_add(load.sent.saturating_mul(each))
    }

    /// Tells whether a target comes last, since it failed or is slow.
    #[must_use]
    pub fn is_last(&self, target: &id::Target, pool: &id::Pool, now: Millis) -> bool {
        let penalty = self.find_penalty(target).ok();
        let is_avoided = penalty.is_some_and(|index| self.penalties[index].until > now);
        is_avoided || self.is_slow(target, pool, now)
    }

    fn is_slow(&self, target: &id::Target, pool: &id::Pool, now: Millis) -> bool {
        let Ok(index) = self.find(target) else {
            return false;
        };
        let load = &self.known[index];
        let found = self.paces.binary_search_by(|one| one.0.cmp(pool));
        let usual = found.map_or(Millis::ZERO, |index| self.paces[index].1.usual());
        let most = Millis(usual.0.saturating_mul(SLOW_TIMES)) + SLOW_MARGIN;
        load.at + LOAD_MEMORY > now && load.pace.recent() > most
    }

    fn is_leaving(&self, target: &id::Target) -> bool {
        self.find_leaver(target).is_ok()
    }

    fn forgive(&mut self, target: &id::Target) {
        if let Ok(index) = self.find_penalty(target) {
            self.penalties.remove(index);
        }
    }

    fn punish(&mut self, target: &id::Target, now: Millis) {
        let index = self.penalty(target, now);
        let penalty = &mut self.penalties[index];
        penalty.strikes += 1;
        let doublings = (penalty.strikes - 1).min(DOUBLINGS_MAX);
        penalty.until = now + Millis(PENALTY.0 << doublings);
    }

    fn avoid(&mut self, target: &id::Target, until: Millis) {
        let index = self.penalty(target, until);
        let penalty = &mut self.penalties[index];
        penalty.until = penalty.until.max(until);
    }

    fn find(&self, target: &id::Target) -> Result<usize, usize> {
        self.known.binary_search_by(|one| one.target.cmp(target))
    }

    fn find_penalty(&self, target: &id::Target) -> Result<usize, usize> {
        self.penalties
            .binary_search_by(|one| one.target.cmp(target))
    }

    fn find_leaver(&self, target: &id::Target) -> Result<usize, usize> {
        self.leaving.binary_search_by(|one| one.target.cmp(target))
    }

    fn load(&mut self, target: &id::Target, now: Millis) -> &mut Load {
        if self.find(target).is_err() && self.known.len() >= LOADS_MAX {
            drop_least(&mut self.known, |one| one.at);
        }
        let index = self.find(target).unwrap_or_else(|index| {
            let load = Load {
                target: target.clone(),
                percent: 0,
                sent: 0,
                pace: Pace::default(),
                at: now,
            };
            self.known.insert(index, load);
            index
        });
        let load = &mut self.known[index];
        if load.at + LOAD_MEMORY <= now {
            load.percent = 0;
            load.sent = 0;
            load.at = now;
        }
        load
    }

    fn penalty(&mut self, target: &id::Target, until: Millis) -> usize {
        if self.find_penalty(target).is_err() && self.penalties.len() >= PENALTIES_MAX {
            drop_least(&mut self.penalties, |one| one.until);
        }
        self.find_penalty(target).unwrap_or_else(|index| {
            let penalty = Penalty {
                target: target.clone(),
                strikes: 0,
                until,
            };
            self.penalties.insert(index, penalty);
            index
        })
    }

    fn pace(&mut self, pool: &id::Pool) -> &mut Pace {
        let found = self.paces.binary_search_by(|one| one.0.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            self.paces.insert(index, (pool.clone(), Pace::default()));
            index
        });
        &mut self.paces[index].1
    }
}

fn drop_least<T, K: Ord>(all: &mut Vec<T>, key: impl Fn(&T) -> K) {
    let least = all.iter().enumerate().min_by_key(|(_, one)| key(one));
    if let Some((index, _)) = least {
        all.remove(index);
    }
}

/// Returns why a target may not be given new work, if there is a reason.
///
/// Any one source that says "out" is enough, whatever the others say.
#[must_use]
pub fn why_out(entry: &Entry, fleet: &Fleet, loads: &Loads) -> Option<Out> {
    if entry.state == State::Leaving {
        return Some(Out::Leaving);
    }
    if fleet.is_out(&entry.domain) {
        return Some(Out::DomainOut);
    }
    loads.is_leaving(&entry.id).then_some(Out::SaidLeaving)
}

scalar! {
    /// Where a target stands among the candidates; the least comes first.
    pub struct Rank {
        /// Whether it failed lately or is slow.
        pub is_last: bool,
        /// Whether a target of its failure domain was tried already.
        pub is_tried: bool,
        /// Whether it is in another failure domain, where that matters.
        pub is_far: bool,
        /// Its rendezvous weight; the heaviest comes first.
        pub weight: Reverse<u64>,
    }

    /// One target of a pool, by its place in the list.
    struct Slot {
        index: usize,
        hash: u64,
    }
}

impl Rank {
    /// Tells whether the two are equal but for affinity.
    fn is_same_class(self, other: Self) -> bool {
        self.is_last == other.is_last
    }
}

/// The targets of one list by pool, so that a choice reads one pool only.
#[derive(Clone, Debug, Default)]
pub struct Index {
    revision: Revision,
    pools: Vec<(id::Pool, Vec<Slot>)>,
}

impl Index {
    /// Sorts the targets of a list by pool, unless that was done already.
    pub fn update(&mut self, list: &List) {
        if list.revision == self.revision && !self.pools.is_empty() {
            return;
        }
        self.revision = list.revision;
        self.pools.clear();
        for (index, entry) in list.targets.iter().enumerate() {
            let hash = hash::text(entry.id.as_str());
            self.slots(&entry.pool).push(Slot { index, hash });
        }
    }

    fn slots(&mut self, pool: &id::Pool) -> &mut Vec<Slot> {
        let found = self.pools.binary_search_by(|one| one.0.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            self.pools.insert(index, (pool.clone(), Vec::new()));
            index
        });
        &mut self.pools[index].1
    }

    fn of_pool(&self, pool: &id::Pool) -> &[Slot] {
        let found = self.pools.binary_search_by(|one| one.0.cmp(pool));
        found.map_or(&[], |index| self.pools[index].1.as_slice())
    }
}

/// Everything that a choice rests on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The published list.
    pub list: &'a List,
    /// Its targets by pool.
    pub index: &'a Index,
    /// What holds for every daemon.
    pub fleet: &'a Fleet,
    /// The pool that the stage needs.
    pub pool: &'a Pool,
    /// What replies have said.
    pub loads: &'a Loads,
    /// The failure domain of the daemon that chooses.
    pub domain: &'a id::Domain,
}

impl<'a> View<'a> {
    /// Returns the targets that may be given the work, with their hashes.
    fn candidates(self, ask: &Ask) -> impl Iterator<Item = (&'a Entry, u64)> {
        let entry = move |slot: &Slot| (&self.list.targets[slot.index], slot.hash);
        let all = self.index.of_pool(&ask.pool).iter().map(entry);
        let untried = all.filter(|(one, _)| !ask.tried.contains(&one.id));
        untried.filter(move |(one, _)| why_out(one, self.fleet, self.loads).is_none())
    }

    /// Chooses any target at random, as the baseline does.
    #[must_use]
    pub fn choose_any(self, ask: &Ask, random: u64) -> Option<&'a Entry> {
        let count = self.candidates(ask).count();
        let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(random % count).ok()?;
        self.candidates(ask).nth(index).map(|(entry, _)| entry)
    }

    /// Chooses the target for a stage.
    #[must_use]
    pub fn choose(self, ask: &Ask, random: u64, now: Millis) -> Option<&'a Entry> {
        let ranked = self.ranked(ask, random, now);
        let load = |entry: &&Entry| self.loads.percent(&entry.id, self.pool, now);
        let is_same_class = |one: &&(Rank, &Entry)| one.0.is_same_class(ranked[0].0);
        let mut best = ranked.iter().take_while(is_same_class).map(|one| one.1);
        let with_room = best.clone().find(|one| load(one) < SPILL_PERCENT);
        with_room.or_else(|| {
            let first = best.by_ref().take(COMPARED);
            first.min_by_key(load)
        })
    }

    /// Returns the candidates for a stage, the first choice first, as they
    /// stand before their loads are looked at.
    #[must_use]
    pub fn ranked(self, ask: &Ask, random: u64, now: Millis) -> Vec<(Rank, &'a Entry)> {
        let has_caches = self.pool.prefix_bytes > 0;
        let by = if has_caches { ask.prefix } else { random };
        let tried = self.tried_domains(ask);
        let rank = |(entry, hash): (&'a Entry, u64)| {
            let is_last = self.loads.is_last(&entry.id, &entry.pool, now);
            let is_tried = tried.contains(&&entry.domain);
            let is_far = !has_caches && entry.domain != *self.domain;
            let weight = Reverse(hash::mix(by, hash));
            let rank = Rank {
                is_last,
                is_tried,
                is_far,
                weight,
            };
            (rank, entry)
        };
        let mut ranked: Vec<_> = self.candidates(ask).map(rank).collect();
        ranked.sort_unstable_by_key(|one| one.0);
        ranked
    }

    fn tried_domains(self, ask: &Ask) -> Vec<&'a id::Domain> {
        let tried = ask.tried.iter();
        let entries = tried.filter_map(|id| self.list.target(id));
        entries.map(|entry| &entry.domain).collect()
    }
}
