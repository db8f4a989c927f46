//! Chooses the target of a stage.
//!
//! Candidates are ranked by rendezvous hashing of the prompt prefix, so that
//! calls with the same prefix reach the same engines and their caches. The
//! first candidate with room is chosen; if none has room, the least loaded of
//! the first few. The prefix is hashed together with the workspace, so that no
//! workspace can learn what another one has cached. A pool without a prefix
//! has no caches to reuse, so there the targets of the local failure domain
//! rank first. Targets that failed or are slow rank last; the tables of loads
//! and penalties are bounded.
//! `docs/design/routing.md` compares the alternatives.

use std::cmp::Reverse;

use crate::answer::Kind;
use crate::clock::Millis;
use crate::concurrency_limit::LatencyAverages;
use crate::derive::scalar;
use crate::derive::value;
use crate::hash;
use crate::id;
use crate::published_list::Lifecycle;
use crate::published_list::ListedTarget;
use crate::published_list::PublishedList;
use crate::published_list::Revision;
use crate::settings::Fleet;
use crate::settings::Pool;

value! {
    /// What a stage needs of its target.
    pub struct RouteQuery {
        /// The pool whose targets can serve the stage.
        pub pool: id::Pool,
        /// The hash of the workspace and the prompt prefix.
        pub prefix: u64,
        /// The targets that the stage has tried already; they are skipped.
        pub tried: Vec<id::Target>,
        /// The digest of the request's workspace and body.
        pub digest: id::Digest,
    }

    /// Why a target is currently not a candidate.
    pub enum Exclusion {
        /// The list marks it as leaving.
        Leaving,
        /// The target itself has reported that it is leaving.
        ReportedLeaving,
        /// Operators have taken its failure domain out.
        DomainOut,
    }

    /// What an attempt showed about its target, at the daemon that made it.
    pub struct AttemptResult {
        /// The target.
        pub target: id::Target,
        /// Its pool.
        pub pool: id::Pool,
        /// The target's load in percent of its limit, if its owner reported it.
        pub load_percent: Option<u32>,
        /// How long the target worked on the call, if it answered.
        pub latency: Option<Millis>,
        /// Why the attempt failed; `None` if it succeeded.
        pub failure: Option<Kind>,
        /// The digest of the request's workspace and body.
        pub digest: id::Digest,
        /// How many targets crashed while running the request, as far as the
        /// owner knows.
        pub crashes: u16,
    }
}

/// How long a load reported in a reply stays valid.
const LOAD_TTL: Millis = Millis(5000);
/// How many loads are kept, so that memory does not grow with the fleet.
const LOADS_MAX: usize = 512;
/// How many penalties of failing targets are kept.
const PENALTIES_MAX: usize = 64;
/// How long a target is avoided after its first failure.
const FIRST_PENALTY: Millis = Millis(1000);
/// How many times the penalty doubles at most while the target keeps failing.
const PENALTY_DOUBLINGS_MAX: u32 = 5;
/// How long a target is avoided when its owner cannot be reached or may not give
/// it work.
const OWNER_PENALTY: Millis = Millis(500);
/// How long a target's own report that it is leaving overrides the list.
const LEAVING_TTL: Millis = Millis(60_000);
/// The load, in percent of the limit, from which a candidate is passed over for
/// the next one.
const SPILL_PERCENT: u32 = 80;
/// How many candidates are compared by load when none has room.
const COMPARED_MAX: usize = 4;
/// A target counts as slow when its recent latency exceeds this many times the
/// long-term latency of its pool.
const SLOW_FACTOR: u64 = 3;
/// Added to that bound, so that a brief delay does not make a target of a fast
/// pool count as slow.
const SLOW_MARGIN: Millis = Millis(30);

#[derive(Clone, Debug)]
struct Load {
    target: id::Target,
    /// The load in percent of the target's limit, as of the last reply.
    percent: u32,
    /// How many calls were sent to the target since that reply.
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
    /// The revision of the list when the target reported it.
    revision: Revision,
    reported_at: Millis,
}

/// The loads, latencies, penalties and leaving notices of targets, as learned
/// from replies.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    targets: Vec<Load>,
    pool_latencies: Vec<(id::Pool, LatencyAverages)>,
    penalties: Vec<Penalty>,
    leaving: Vec<LeavingNotice>,
}

impl Loads {
    /// Records the result of an attempt.
    pub fn record(&mut self, result: &AttemptResult, now: Millis) {
        let load = self.load_mut(&result.target, now);
        if let Some(percent) = result.load_percent {
            load.percent = percent;
            load.sent = 0;
        }
        load.updated_at = now;
        if let Some(latency) = result.latency {
            load.latency.record(latency, false);
            self.pool_latency(&result.pool).record(latency, false);
        }
        match result.failure {
            None => self.clear_penalty(&result.target),
            Some(Kind::TargetFailed | Kind::DeadlinePassed) => self.penalize(&result.target, now),
            Some(Kind::NoRight | Kind::NoOwner | Kind::NoTarget) => {
                self.avoid_until(&result.target, now + OWNER_PENALTY);
            }
            Some(_) => {}
        }
    }

    /// Records that a call is sent to the target, so that it counts as load
    /// before any reply reports it.
    ///
    /// If the target has a penalty, it is extended, so that a failing target is
    /// probed by one call at a time.
    pub fn record_send(&mut self, target: &id::Target, now: Millis) {
        let load = self.load_mut(target, now);
        load.sent = load.sent.saturating_add(1);
        if self.find_penalty(target).is_ok() {
            self.avoid_until(target, now + FIRST_PENALTY);
        }
    }

    /// Records a target's own report that it is leaving.
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

    /// Drops the entries of targets that the list no longer contains.
    pub fn retain_listed(&mut self, list: &PublishedList) {
        self.targets
            .retain(|load| list.target(&load.target).is_some());
        self.penalties
            .retain(|penalty| list.target(&penalty.target).is_some());
        self.leaving
            .retain(|notice| list.target(&notice.target).is_some());
    }

    /// Drops the leaving notices of targets that a newer list marks as live,
    /// once the notices are old enough.
    pub fn expire_leaving(&mut self, list: &PublishedList, now: Millis) {
        self.leaving.retain(|notice| {
            let entry = list.target(&notice.target);
            let is_live = entry.is_some_and(|entry| entry.state == Lifecycle::Live);
            let is_newer = list.revision > notice.revision;
            !(is_live && is_newer && now >= notice.reported_at + LEAVING_TTL)
        });
    }

    /// Returns the estimated load of a target, in percent of its limit.
    ///
    /// It is the last reported load plus the calls sent since. A target without
    /// a recorded load, or with an expired one, counts as empty. Calls to a
    /// target whose reported load is zero are counted against the cold limit.
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
        let limit = if is_reported {
            pool.warm_limit
        } else {
            pool.cold_limit
        };
        let percent_per_call = 100 / u32::from(limit).max(1);
        load.percent
            .saturating_add(load.sent.saturating_mul(percent_per_call))
    }

    /// Returns whether a target ranks last, because it failed or is slow.
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
        let pool_latency = found.map_or(Millis::ZERO, |index| {
            self.pool_latencies[index].1.long_term()
        });
        let bound = Millis(pool_latency.0.saturating_mul(SLOW_FACTOR)) + SLOW_MARGIN;
        load.updated_at + LOAD_TTL > now && load.latency.recent() > bound
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

/// Returns why a target may not be given new work, if it may not.
///
/// The list, the settings and the target's own reports are checked; any one of
/// them is enough to exclude the target.
#[must_use]
pub fn exclusion(entry: &ListedTarget, fleet: &Fleet, loads: &Loads) -> Option<Exclusion> {
    if entry.state == Lifecycle::Leaving {
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
    /// The sort key of a candidate; the least is preferred.
    pub struct Rank {
        /// Whether the target failed lately or is slow.
        pub is_deprioritized: bool,
        /// Whether a target of its failure domain was tried already.
        pub is_in_tried_domain: bool,
        /// Whether it is in another failure domain than the daemon; always
        /// false in a pool with caches.
        pub is_remote_domain: bool,
        /// Its rendezvous weight; the highest is preferred.
        pub weight: Reverse<u64>,
    }

    /// One target of a pool: its index in the list and the hash of its id.
    struct IndexedTarget {
        list_index: usize,
        hash: u64,
    }
}

impl Rank {
    /// Returns whether both have the same priority apart from failure domains
    /// and rendezvous weight.
    fn is_same_class(self, other: Self) -> bool {
        self.is_deprioritized == other.is_deprioritized
    }
}

/// The targets of one list grouped by pool, so that a choice reads only one
/// pool.
#[derive(Clone, Debug, Default)]
pub struct PoolIndex {
    revision: Revision,
    pools: Vec<(id::Pool, Vec<IndexedTarget>)>,
}

impl PoolIndex {
    /// Rebuilds the index, unless it was built from the same revision of the list.
    pub fn update(&mut self, list: &PublishedList) {
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

/// The inputs of a routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RouteContext<'a> {
    /// The published list.
    pub list: &'a PublishedList,
    /// The targets of the list by pool.
    pub index: &'a PoolIndex,
    /// The fleet settings.
    pub fleet: &'a Fleet,
    /// The pool that the stage needs.
    pub pool: &'a Pool,
    /// What replies have shown about the targets.
    pub loads: &'a Loads,
    /// The failure domain of the daemon that chooses.
    pub domain: &'a id::Domain,
}

impl<'a> RouteContext<'a> {
    /// Returns the untried targets that may be given work, with their hashes.
    fn candidates(self, query: &RouteQuery) -> impl Iterator<Item = (&'a ListedTarget, u64)> {
        let entry =
            move |target: &IndexedTarget| (&self.list.targets[target.list_index], target.hash);
        let all = self.index.targets(&query.pool).iter().map(entry);
        let untried = all.filter(|(entry, _)| !query.tried.contains(&entry.id));
        untried.filter(move |(entry, _)| exclusion(entry, self.fleet, self.loads).is_none())
    }

    /// Chooses a candidate at random, as the baseline policy does.
    #[must_use]
    pub fn choose_random(self, query: &RouteQuery, random: u64) -> Option<&'a ListedTarget> {
        let count = self.candidates(query).count();
        let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(random % count).ok()?;
        self.candidates(query).nth(index).map(|(entry, _)| entry)
    }

    /// Chooses the target for a stage.
    #[must_use]
    pub fn choose(self, query: &RouteQuery, random: u64, now: Millis) -> Option<&'a ListedTarget> {
        let ranked = self.ranked(query, random, now);
        let load = |entry: &&ListedTarget| self.loads.expected_load(&entry.id, self.pool, now);
        let is_same_class =
            |candidate: &&(Rank, &ListedTarget)| candidate.0.is_same_class(ranked[0].0);
        let mut preferred = ranked
            .iter()
            .take_while(is_same_class)
            .map(|(_, entry)| *entry);
        let with_room = preferred.clone().find(|entry| load(entry) < SPILL_PERCENT);
        with_room.or_else(|| {
            let compared = preferred.by_ref().take(COMPARED_MAX);
            compared.min_by_key(load)
        })
    }

    /// Returns the candidates for a stage, the preferred one first. Their loads
    /// are not taken into account.
    #[must_use]
    pub fn ranked(
        self,
        query: &RouteQuery,
        random: u64,
        now: Millis,
    ) -> Vec<(Rank, &'a ListedTarget)> {
        let has_caches = self.pool.prefix_bytes > 0;
        let seed = if has_caches { query.prefix } else { random };
        let tried_domains = self.tried_domains(query);
        let rank = |(entry, hash): (&'a ListedTarget, u64)| {
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
