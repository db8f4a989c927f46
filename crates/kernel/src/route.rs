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
use crate::concurrency_limit::LatencyAverages;
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
    pub struct RouteQuery {
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
    pub enum Exclusion {
        /// The list says that it is leaving.
        Leaving,
        /// It said itself that it is leaving.
        ReportedLeaving,
        /// Operators have taken its failure domain out.
        DomainOut,
    }

    /// What an attempt has shown about its target, at the daemon that made it.
    pub struct AttemptResult {
        /// The target.
        pub target: id::Target,
        /// Its pool.
        pub pool: id::Pool,
        /// The target's calls for each hundred places, if its owner told.
        pub load_percent: Option<u32>,
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
const LOAD_TTL: Millis = Millis(5000);
/// How many targets' loads are kept, so that memory does not grow with the fleet.
const LOADS_MAX: usize = 512;
/// How many failing targets are kept.
const PENALTIES_MAX: usize = 64;
/// How long a target is avoided after its first failure.
const FIRST_PENALTY: Millis = Millis(1000);
/// How often that span doubles at most while the target keeps failing.
const PENALTY_DOUBLINGS_MAX: u32 = 5;
/// How long a target is left alone when its owner cannot give it work.
const OWNER_PENALTY: Millis = Millis(500);
/// How long a target that said it is leaving is believed against the list.
const LEAVING_TTL: Millis = Millis(60_000);
/// From which load on the next candidate is looked at.
const SPILL_PERCENT: u32 = 80;
/// How many candidates are compared when none has room.
const COMPARED_MAX: usize = 4;
/// How many times the usual latency of its pool a slow target takes.
const SLOW_FACTOR: u64 = 3;
/// What is added to that, so that fast pools are not judged by a hiccup.
const SLOW_MARGIN: Millis = Millis(30);

#[derive(Clone, Debug)]
struct Load {
    target: id::Target,
    /// Calls for each hundred places, as of the last reply.
    percent: u32,
    /// How many calls were sent there since.
    sent: u32,
    latency: LatencyAverages,
    updated_at: Millis,
}

#[derive(Clone, Debug)]
struct Penalty {
    target: id::Target,
    failures: u32,
    until: Millis,
}

#[derive(Clone, Debug)]
struct LeavingNotice {
    target: id::Target,
    /// The newest list when it said so.
    revision: Revision,
    reported_at: Millis,
}

/// What replies have said about the loads and states of targets.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    targets: Vec<Load>,
    pool_latencies: Vec<(id::Pool, LatencyAverages)>,
    penalties: Vec<Penalty>,
    leaving: Vec<LeavingNotice>,
}

impl Loads {
    /// Takes in what an attempt has shown.
    pub fn record(&mut self, reply: &AttemptResult, now: Millis) {
        let load = self.load_mut(&reply.target, now);
        if let Some(percent) = reply.load_percent {
            load.percent = percent;
            load.sent = 0;
        }
        load.updated_at = now;
        if let Some(latency) = reply.latency {
            load.latency.record(latency, false);
            self.pool_latency(&reply.pool).record(latency, false);
        }
        match reply.failure {
            None => self.clear_penalty(&reply.target),
            Some(Kind::TargetFailed | Kind::DeadlinePassed) => self.penalize(&reply.target, now),
            Some(Kind::NoRight | Kind::NoOwner | Kind::NoTarget) => {
                self.avoid_until(&reply.target, now + OWNER_PENALTY);
            }
            Some(_) => {}
        }
    }

    /// Notes that a call goes to the target, of which no reply tells yet.
    ///
    /// A target that failed is tried again by one call at a time.
    pub fn record_send(&mut self, target: &id::Target, now: Millis) {
        let load = self.load_mut(target, now);
        load.sent = load.sent.saturating_add(1);
        if self.find_penalty(target).is_ok() {
            self.avoid_until(target, now + FIRST_PENALTY);
        }
    }

    /// Notes that a target has said that it is leaving.
    pub fn record_leaving(&mut self, target: &id::Target, revision: Revision, now: Millis) {
        let notice = LeavingNotice {
            target: target.clone(),
            revision,
            reported_at: now,
        };
        match self.find_leaving(target) {
            Ok(index) => self.leaving[index] = notice,
            Err(index) => self.leaving.insert(index, notice),
        }
    }

    /// Forgets what was said by targets that the list no longer names.
    pub fn retain_listed(&mut self, list: &List) {
        self.targets
            .retain(|load| list.target(&load.target).is_some());
        self.penalties
            .retain(|penalty| list.target(&penalty.target).is_some());
        self.leaving
            .retain(|notice| list.target(&notice.target).is_some());
    }

    /// Believes the list again about targets that said they were leaving, once
    /// a newer list calls them live and enough time has passed.
    pub fn expire_leaving(&mut self, list: &List, now: Millis) {
        self.leaving.retain(|notice| {
            let entry = list.target(&notice.target);
            let is_live = entry.is_some_and(|entry| entry.state == State::Live);
            let is_newer = list.revision > notice.revision;
            !(is_live && is_newer && now >= notice.reported_at + LEAVING_TTL)
        });
    }

    /// Returns the load that a target is expected to have.
    ///
    /// A target that is not known, or was not heard of lately, counts as cold
    /// and empty but for the calls that were sent there since.
    #[must_use]
    pub fn expected_load(&self, target: &id::Target, pool: &Pool, now: Millis) -> u32 {
        let Ok(index) = self.find_load(target) else {
            return 0;
        };
        let load = &self.targets[index];
        if load.updated_at + LOAD_TTL <= now {
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
    pub fn is_deprioritized(&self, target: &id::Target, pool: &id::Pool, now: Millis) -> bool {
        let penalty = self.find_penalty(target).ok();
        let is_avoided = penalty.is_some_and(|index| self.penalties[index].until > now);
        is_avoided || self.is_slow(target, pool, now)
    }

    fn is_slow(&self, target: &id::Target, pool: &id::Pool, now: Millis) -> bool {
        let Ok(index) = self.find_load(target) else {
            return false;
        };
        let load = &self.targets[index];
        let found = self.pool_latencies.binary_search_by(|(id, _)| id.cmp(pool));
        let usual_latency = found.map_or(Millis::ZERO, |index| {
            self.pool_latencies[index].1.long_term()
        });
        let longest = Millis(usual_latency.0.saturating_mul(SLOW_FACTOR)) + SLOW_MARGIN;
        load.updated_at + LOAD_TTL > now && load.latency.recent() > longest
    }

    fn is_leaving(&self, target: &id::Target) -> bool {
        self.find_leaving(target).is_ok()
    }

    fn clear_penalty(&mut self, target: &id::Target) {
        if let Ok(index) = self.find_penalty(target) {
            self.penalties.remove(index);
        }
    }

    fn penalize(&mut self, target: &id::Target, now: Millis) {
        let index = self.penalty_index(target, now);
        let penalty = &mut self.penalties[index];
        penalty.failures += 1;
        let doublings = (penalty.failures - 1).min(PENALTY_DOUBLINGS_MAX);
        penalty.until = now + Millis(FIRST_PENALTY.0 << doublings);
    }

    fn avoid_until(&mut self, target: &id::Target, until: Millis) {
        let index = self.penalty_index(target, until);
        let penalty = &mut self.penalties[index];
        penalty.until = penalty.until.max(until);
    }

    fn find_load(&self, target: &id::Target) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|load| load.target.cmp(target))
    }

    fn find_penalty(&self, target: &id::Target) -> Result<usize, usize> {
        self.penalties
            .binary_search_by(|penalty| penalty.target.cmp(target))
    }

    fn find_leaving(&self, target: &id::Target) -> Result<usize, usize> {
        self.leaving
            .binary_search_by(|notice| notice.target.cmp(target))
    }

    fn load_mut(&mut self, target: &id::Target, now: Millis) -> &mut Load {
        if self.find_load(target).is_err() && self.targets.len() >= LOADS_MAX {
            remove_min(&mut self.targets, |load| load.updated_at);
        }
        let index = self.find_load(target).unwrap_or_else(|index| {
            let load = Load {
                target: target.clone(),
                percent: 0,
                sent: 0,
                latency: LatencyAverages::default(),
                updated_at: now,
            };
            self.targets.insert(index, load);
            index
        });
        let load = &mut self.targets[index];
        if load.updated_at + LOAD_TTL <= now {
            load.percent = 0;
            load.sent = 0;
            load.updated_at = now;
        }
        load
    }

    fn penalty_index(&mut self, target: &id::Target, until: Millis) -> usize {
        if self.find_penalty(target).is_err() && self.penalties.len() >= PENALTIES_MAX {
            remove_min(&mut self.penalties, |penalty| penalty.until);
        }
        self.find_penalty(target).unwrap_or_else(|index| {
            let penalty = Penalty {
                target: target.clone(),
                failures: 0,
                until,
            };
            self.penalties.insert(index, penalty);
            index
        })
    }

    fn pool_latency(&mut self, pool: &id::Pool) -> &mut LatencyAverages {
        let found = self.pool_latencies.binary_search_by(|(id, _)| id.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            self.pool_latencies
                .insert(index, (pool.clone(), LatencyAverages::default()));
            index
        });
        &mut self.pool_latencies[index].1
    }
}

fn remove_min<T, K: Ord>(items: &mut Vec<T>, key: impl Fn(&T) -> K) {
    let smallest = items.iter().enumerate().min_by_key(|(_, item)| key(item));
    if let Some((index, _)) = smallest {
        items.remove(index);
    }
}

/// Returns why a target may not be given new work, if there is a reason.
///
/// Any one source that says "out" is enough, whatever the others say.
#[must_use]
pub fn exclusion(entry: &Entry, fleet: &Fleet, loads: &Loads) -> Option<Exclusion> {
    if entry.state == State::Leaving {
        return Some(Exclusion::Leaving);
    }
    if fleet.is_out(&entry.domain) {
        return Some(Exclusion::DomainOut);
    }
    loads
        .is_leaving(&entry.id)
        .then_some(Exclusion::ReportedLeaving)
}

scalar! {
    /// Where a target stands among the candidates; the least comes first.
    pub struct Rank {
        /// Whether it failed lately or is slow.
        pub is_deprioritized: bool,
        /// Whether a target of its failure domain was tried already.
        pub is_in_tried_domain: bool,
        /// Whether it is in another failure domain, where that matters.
        pub is_remote_domain: bool,
        /// Its rendezvous weight; the heaviest comes first.
        pub weight: Reverse<u64>,
    }

    /// One target of a pool, by its place in the list.
    struct IndexedTarget {
        list_index: usize,
        hash: u64,
    }
}

impl Rank {
    /// Tells whether the two are equal but for affinity.
    fn is_same_class(self, other: Self) -> bool {
        self.is_deprioritized == other.is_deprioritized
    }
}

/// The targets of one list by pool, so that a choice reads one pool only.
#[derive(Clone, Debug, Default)]
pub struct PoolIndex {
    revision: Revision,
    pools: Vec<(id::Pool, Vec<IndexedTarget>)>,
}

impl PoolIndex {
    /// Sorts the targets of a list by pool, unless that was done already.
    pub fn update(&mut self, list: &List) {
        if list.revision == self.revision && !self.pools.is_empty() {
            return;
        }
        self.revision = list.revision;
        self.pools.clear();
        for (index, entry) in list.targets.iter().enumerate() {
            let hash = hash::text(entry.id.as_str());
            self.targets_mut(&entry.pool).push(IndexedTarget {
                list_index: index,
                hash,
            });
        }
    }

    fn targets_mut(&mut self, pool: &id::Pool) -> &mut Vec<IndexedTarget> {
        let found = self.pools.binary_search_by(|(id, _)| id.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            self.pools.insert(index, (pool.clone(), Vec::new()));
            index
        });
        &mut self.pools[index].1
    }

    fn targets(&self, pool: &id::Pool) -> &[IndexedTarget] {
        let found = self.pools.binary_search_by(|(id, _)| id.cmp(pool));
        found.map_or(&[], |index| self.pools[index].1.as_slice())
    }
}

/// Everything that a choice rests on.
#[derive(Clone, Copy, Debug)]
pub struct RouteContext<'a> {
    /// The published list.
    pub list: &'a List,
    /// Its targets by pool.
    pub index: &'a PoolIndex,
    /// What holds for every daemon.
    pub fleet: &'a Fleet,
    /// The pool that the stage needs.
    pub pool: &'a Pool,
    /// What replies have said.
    pub loads: &'a Loads,
    /// The failure domain of the daemon that chooses.
    pub domain: &'a id::Domain,
}

impl<'a> RouteContext<'a> {
    /// Returns the targets that may be given the work, with their hashes.
    fn candidates(self, query: &RouteQuery) -> impl Iterator<Item = (&'a Entry, u64)> {
        let entry =
            move |target: &IndexedTarget| (&self.list.targets[target.list_index], target.hash);
        let all = self.index.targets(&query.pool).iter().map(entry);
        let untried = all.filter(|(entry, _)| !query.tried.contains(&entry.id));
        untried.filter(move |(entry, _)| exclusion(entry, self.fleet, self.loads).is_none())
    }

    /// Chooses any target at random, as the baseline does.
    #[must_use]
    pub fn choose_random(self, query: &RouteQuery, random: u64) -> Option<&'a Entry> {
        let count = self.candidates(query).count();
        let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(random % count).ok()?;
        self.candidates(query).nth(index).map(|(entry, _)| entry)
    }

    /// Chooses the target for a stage.
    #[must_use]
    pub fn choose(self, query: &RouteQuery, random: u64, now: Millis) -> Option<&'a Entry> {
        let ranked = self.ranked(query, random, now);
        let load = |entry: &&Entry| self.loads.expected_load(&entry.id, self.pool, now);
        let is_same_class = |candidate: &&(Rank, &Entry)| candidate.0.is_same_class(ranked[0].0);
        let mut best = ranked
            .iter()
            .take_while(is_same_class)
            .map(|(_, entry)| *entry);
        let with_room = best.clone().find(|entry| load(entry) < SPILL_PERCENT);
        with_room.or_else(|| {
            let first = best.by_ref().take(COMPARED_MAX);
            first.min_by_key(load)
        })
    }

    /// Returns the candidates for a stage, the first choice first, as they
    /// stand before their loads are looked at.
    #[must_use]
    pub fn ranked(self, query: &RouteQuery, random: u64, now: Millis) -> Vec<(Rank, &'a Entry)> {
        let has_caches = self.pool.prefix_bytes > 0;
        let seed = if has_caches { query.prefix } else { random };
        let tried_domains = self.tried_domains(query);
        let rank = |(entry, hash): (&'a Entry, u64)| {
            let is_deprioritized = self.loads.is_deprioritized(&entry.id, &entry.pool, now);
            let is_in_tried_domain = tried_domains.contains(&&entry.domain);
            let is_remote_domain = !has_caches && entry.domain != *self.domain;
            let weight = Reverse(hash::mix(seed, hash));
            let rank = Rank {
                is_deprioritized,
                is_in_tried_domain,
                is_remote_domain,
                weight,
            };
            (rank, entry)
        };
        let mut ranked: Vec<_> = self.candidates(query).map(rank).collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked
    }

    fn tried_domains(self, query: &RouteQuery) -> Vec<&'a id::Domain> {
        let tried = query.tried.iter();
        let entries = tried.filter_map(|id| self.list.target(id));
        entries.map(|entry| &entry.domain).collect()
    }
}
