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

/// What the engines of a group still have to do, and what they have cached.
#[derive(Clone, Debug, Default)]
pub struct Ledger {}

impl Ledger {
    /// Creates an empty ledger of engines with a number of slots, a memory for tokens, and
    /// a number of tokens in one event.
    #[must_use]
    pub fn new(_slots: u32, _memory_tokens: Option<u32>, _stride: u32) -> Self {
        Self {}
    }

    /// Picks the engine of a request and records the request there; `None` if no engine
    /// can be used.
    pub fn place(&mut self, request: &Request, engines: &[Engine], _now: Millis) -> Option<Placed> {
        let usable = engines.iter();
        let usable = usable.filter(|engine| !request.excluded.contains(&engine.target));
        let weight = |engine: &&Engine| {
            let seed = request.affinity.unwrap_or_default();
            hash::mix(seed, hash::text(engine.target.as_str()))
        };
        usable.max_by_key(weight).map(|engine| Placed {
            target: engine.target.clone(),
            wait: Millis::ZERO,
            cached_tokens: 0,
        })
    }

    /// Records the end of a request.
    pub fn finish(&mut self, _finish: &Finish, _now: Millis) {}

    /// Forgets requests of which no end was reported in time, and engines that `is_listed`
    /// does not find any more.
    pub fn expire(&mut self, _is_listed: impl Fn(&name::Target) -> bool, _now: Millis) {}

    /// Returns the mean relative error of the expected times to the first event, in
    /// thousandths; `None` before the first request has ended.
    #[must_use]
    pub fn error_permille(&self) -> Option<u32> {
        None
    }
}
