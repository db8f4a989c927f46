//! Choice of the engine that gets a request, by the work that the request costs there and
//! the work that each engine still has to do.
//!
//! One daemon, the placer, decides this for all requests of a group of engines, so its
//! [`Ledger`] knows every request that was sent there. See
//! `docs/design/cost-aware-serving.md` and [`crate::fleet::placement`].

use crate::clock::Millis;
use crate::derive::scalar;
use crate::derive::value;
use crate::hash;
use crate::name;
use crate::request::demand::Demand;
use crate::request::routing_table::Rank;
use crate::target::cost;
use crate::target::cost::Cost;
use crate::target::cost::Estimator;
use crate::target::cost::Observation;
use crate::target::cost::Speed;

use cache::Cache;
use workload::Context;
use workload::Prospect;
use workload::Workload;

mod cache;
pub mod summary;
mod workload;

/// Harm of a full engine, larger than that of any wait at another one that is useful.
const FULL_MS: f64 = 60_000.0;
/// Harm of another failure domain than the one that holds the inputs of a request. They are
/// some megabytes, which load the links between domains for everyone.
const OTHER_DOMAIN_MS: f64 = 60.0;
/// Additional harm of reading what another engine has cached, as a multiple of the reading
/// time. The reading takes capacity that all clients need in a burst, so it has to keep
/// somebody from being late, and an answer that is a little earlier is not worth it.
const READ_AGAIN_FACTOR: f64 = 12.0;
/// The largest harm of reading something again, half of that of a late stream.
const READ_AGAIN_MS_MAX: f64 = 1_000.0;
/// Harm of an engine all of whose slots are in use; it grows with the square of the share
/// of them. A prompt that is read later interrupts all streams that run there.
const OCCUPIED_MS: f64 = 400.0;
/// Differences of harm below this are within the error of the estimates. Requests then go
/// by the hash of their prefix, which a new placer, without a ledger, knows too.
const RESOLUTION_MS: f64 = 20.0;

scalar! {
    /// How a placed request ended.
    pub enum End {
        /// The answer is complete.
        Complete,
        /// The answer broke off.
        Broken,
        /// The engine did not run the request, or the request went to another one.
        NotRun,
        /// The client left.
        Abandoned,
    }
}

value! {
    /// An engine that may get a request.
    pub struct Engine {
        /// The name of the target.
        pub target: name::Target,
        /// When it started; a restart loses its cache.
        pub started: u64,
        /// Its failure domain.
        pub domain: name::Domain,
    }

    /// A request that needs an engine.
    pub struct Request {
        /// The attempt.
        pub attempt: name::Attempt,
        /// Its route.
        pub route: name::Route,
        /// Its priority.
        pub rank: Rank,
        /// What it asks of the engine.
        pub demand: Demand,
        /// Hash of the longest prompt prefix that other requests may share.
        pub affinity: Option<u64>,
        /// The longest gap between two events of a stream that is on time; zero if it does
        /// not matter.
        pub gap_max: Millis,
        /// The time until its first event must come to be on time.
        pub time_left: Millis,
        /// The failure domain that holds its inputs.
        pub preferred_domain: Option<name::Domain>,
        /// The targets that it cannot use.
        pub excluded: Vec<name::Target>,
    }

    /// The engine that a request was given.
    pub struct Placed {
        /// The name of the target.
        pub target: name::Target,
        /// The expected time until the first event.
        pub wait: Millis,
        /// The tokens of the prompt that it has cached.
        pub cached_tokens: u32,
    }

    /// How a placed request ended, as the daemon that sent it reports.
    pub struct Finish {
        /// The attempt.
        pub attempt: name::Attempt,
        /// The target that got it.
        pub target: name::Target,
        /// The time from the send to the first event, if one came.
        pub first: Option<Millis>,
        /// Number of events.
        pub events: u32,
        /// The time from the send to the end.
        pub took: Millis,
        /// The longest gap between two events.
        pub longest_gap: Millis,
        /// How long work took on the target's machine, in percent of the usual time.
        pub slowness_percent: Option<u32>,
        /// How it ended.
        pub end: End,
    }
}

/// An engine that the ledger knows.
#[derive(Clone, Debug)]
struct EngineState {
    target: name::Target,
    /// Hash of the name, for the rendezvous weight.
    hash: u64,
    started: u64,
    speed: Speed,
    workload: Workload,
    cache: Cache,
    /// Tokens of the request being placed that it has cached.
    cached_tokens: u32,
}

/// What the engines of a group still have to do, and what they have cached.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    slots: u32,
    memory_tokens: Option<u32>,
    stride: u32,
    estimator: Estimator,
    /// Sorted by name.
    engines: Vec<EngineState>,
    /// Number of requests that were placed.
    placed: u64,
}

impl Ledger {
    /// Creates an empty ledger of engines with a number of slots, a memory for tokens, and
    /// a number of tokens in one event.
    #[must_use]
    pub fn new(slots: u32, memory_tokens: Option<u32>, stride: u32) -> Self {
        Self {
            slots,
            memory_tokens,
            stride: stride.max(1),
            ..Self::default()
        }
    }

    /// Picks the engine of a request and records the request there; `None` if no engine
    /// can be used.
    pub fn place(&mut self, request: &Request, engines: &[Engine], now: Millis) -> Option<Placed> {
        let clock = cost::millis(now);
        let mut cached_max = 0;
        let mut index = 0;
        for engine in engines {
            index = self.update(engine, index, clock);
            let state = &mut self.engines[index];
            state.cached_tokens = state.cache.cached_tokens(&request.demand);
            cached_max = cached_max.max(state.cached_tokens);
            index += 1;
        }

        let seed = request
            .affinity
            .unwrap_or_else(|| hash::text(request.attempt.as_str()));
        let base = self.estimator.cost(&request.route, &request.demand, 0);
        let mut best: Option<Choice> = None;
        let mut index = 0;
        for engine in engines {
            if request.excluded.contains(&engine.target) {
                continue;
            }
            let Ok(found) = self.position(&engine.target, index) else {
                continue;
            };
            index = found + 1;
            let choice = self.assess(found, request, engine, base, cached_max, clock);
            let choice = Choice {
                weight: hash::mix(seed, self.engines[found].hash),
                ..choice
            };
            if best.is_none_or(|best| choice.is_better(&best)) {
                best = Some(choice);
            }
        }
        let best = best?;
        self.placed += 1;
        let state = &mut self.engines[best.index];
        let context = Context {
            estimator: &self.estimator,
            speed: state.speed,
            stride: self.stride,
            now: clock,
        };
        state.workload.remove(&request.attempt, clock);
        state
            .workload
            .add(self.placed, request, &best.prospect, &context);
        state.cache.record(&request.demand, self.placed, now);
        if let Some(memory_tokens) = self.memory_tokens {
            let used = state.workload.own_tokens();
            state
                .cache
                .shrink(u64::from(memory_tokens).saturating_sub(used));
        }
        Some(Placed {
            target: state.target.clone(),
            wait: cost::whole_millis(best.prospect.first_ms),
            cached_tokens: state.cached_tokens,
        })
    }

    /// Records the end of a request.
    pub fn finish(&mut self, finish: &Finish, now: Millis) {
        let Ok(index) = self.position(&finish.target, 0) else {
            return;
        };
        let state = &mut self.engines[index];
        let Some(entry) = state.workload.remove(&finish.attempt, cost::millis(now)) else {
            return;
        };
        let first = match (finish.end, finish.first) {
            (End::Complete | End::Broken | End::Abandoned, Some(first)) => first,
            (End::NotRun | End::Broken, _) => return state.cache.forget(entry.id),
            (End::Complete | End::Abandoned, None) => return,
        };
        state.cache.confirm(entry.id);
        let tokens = finish.events.saturating_sub(1).saturating_mul(self.stride);
        let is_measured = entry.is_alone && tokens > 0 && finish.end == End::Complete;
        let output_ms = cost::millis(finish.took - first);
        let observation = Observation {
            read_tokens: entry.read_tokens,
            backlog_ms: entry.backlog_ms,
            predicted_ms: entry.first_ms,
            first_ms: cost::millis(first),
            output: is_measured.then_some((tokens, output_ms)),
            slowness_percent: finish.slowness_percent,
        };
        self.estimator.observe(&mut state.speed, &observation);
        if finish.end == End::Complete {
            let output_tokens = finish.events.saturating_mul(self.stride);
            self.estimator
                .observe_length(&entry.route, &entry.demand, output_tokens);
        }
    }

    /// Forgets requests of which no end was reported in time, and engines that `is_listed`
    /// does not find any more.
    pub fn expire(&mut self, is_listed: impl Fn(&name::Target) -> bool, now: Millis) {
        self.engines.retain(|engine| is_listed(&engine.target));
        for engine in &mut self.engines {
            engine.workload.expire(cost::millis(now));
        }
        let speeds = self.engines.iter_mut().map(|engine| &mut engine.speed);
        self.estimator.rebase(speeds);
    }

    /// Returns the mean relative error of the expected times to the first event, in
    /// thousandths; `None` before the first request has ended.
    #[must_use]
    pub fn error_permille(&self) -> Option<u32> {
        self.estimator.error_permille()
    }

    /// Brings an engine up to date and returns its index. `guess` is the likely index.
    fn update(&mut self, engine: &Engine, guess: usize, clock: f64) -> usize {
        let index = match self.position(&engine.target, guess) {
            Ok(index) => index,
            Err(index) => {
                self.engines
                    .insert(index, EngineState::new(&engine.target, engine.started));
                index
            }
        };
        let state = &mut self.engines[index];
        if state.started != engine.started {
            *state = EngineState::new(&engine.target, engine.started);
        }
        state.workload.expire(clock);
        index
    }

    /// Finds an engine. Callers that go through a sorted list pass the likely index, which
    /// saves the search.
    fn position(&self, target: &name::Target, guess: usize) -> Result<usize, usize> {
        if self
            .engines
            .get(guess)
            .is_some_and(|state| state.target == *target)
        {
            return Ok(guess);
        }
        self.engines
            .binary_search_by(|state| state.target.cmp(target))
    }

    fn assess(
        &self,
        index: usize,
        request: &Request,
        engine: &Engine,
        base: Cost,
        cached_max: u32,
        clock: f64,
    ) -> Choice {
        let state = &self.engines[index];
        let read_tokens = base.read_tokens.saturating_sub(state.cached_tokens);
        let cost = Cost {
            read_tokens,
            read_ms: self.estimator.read_ms(read_tokens),
            ..base
        };
        let context = Context {
            estimator: &self.estimator,
            speed: state.speed,
            stride: self.stride,
            now: clock,
        };
        let prospect = state.workload.prospect(request, cost, &context);
        let mut harm_ms = prospect.harm_ms;
        let read_again = cached_max.saturating_sub(state.cached_tokens);
        harm_ms += (self.estimator.read_ms(read_again) * READ_AGAIN_FACTOR).min(READ_AGAIN_MS_MAX);
        let preferred = request.preferred_domain.as_ref();
        if preferred.is_some_and(|preferred| *preferred != engine.domain) {
            harm_ms += OTHER_DOMAIN_MS;
        }
        let slots = usize::try_from(self.slots).unwrap_or(usize::MAX);
        let memory =
            state.workload.memory_tokens() + u64::from(read_tokens) + u64::from(base.output_tokens);
        let occupied = f64::from(u32::try_from(state.workload.len()).unwrap_or(u32::MAX));
        harm_ms += (occupied / f64::from(self.slots.max(1))).powi(2) * OCCUPIED_MS;
        let has_memory = self
            .memory_tokens
            .is_none_or(|max| memory <= u64::from(max));
        if state.workload.len() >= slots || !has_memory {
            harm_ms += FULL_MS + state.workload.next_end_ms(clock);
        }
        Choice {
            index,
            prospect,
            harm: (harm_ms / RESOLUTION_MS).floor(),
            weight: 0,
        }
    }
}

/// A possible choice.
#[derive(Clone, Copy, Debug)]
struct Choice {
    index: usize,
    prospect: Prospect,
    harm: f64,
    weight: u64,
}

impl Choice {
    fn is_better(&self, other: &Self) -> bool {
        let order = self.harm.total_cmp(&other.harm);
        order.then(other.weight.cmp(&self.weight)).is_lt()
    }
}

impl EngineState {
    fn new(target: &name::Target, started: u64) -> Self {
        Self {
            target: target.clone(),
            hash: hash::text(target.as_str()),
            started,
            speed: Speed::default(),
            workload: Workload::default(),
            cache: Cache::default(),
            cached_tokens: 0,
        }
    }
}
