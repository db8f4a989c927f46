//! Requests to the daemon that chooses engines, and reports to it.

use std::fmt;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::target::placement;
use serde::Deserialize;
use serde::Serialize;

/// The largest number of targets that a placement excludes.
pub const EXCLUDED_MAX: usize = 16;
/// The largest number of reports in one call.
pub const FINISHES_MAX: usize = 256;
/// The longest duration of a usable message, in milliseconds: no request takes an hour.
const DURATION_MAX_MS: u64 = 3_600_000;
/// The slowness that a target can have, in percent, as the platform specifies it.
const SLOWNESS_PERCENT: std::ops::RangeInclusive<u32> = 10..=10_000;

/// A request that needs an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The service of the engines.
    pub service: CompactString,
    /// The group of engines.
    pub group: u32,
    /// The attempt id of the request.
    pub attempt: CompactString,
    /// Its route.
    pub route: CompactString,
    /// Its priority; 0 is the most urgent.
    pub rank: u8,
    /// What it asks of the engine.
    pub demand: Demand,
    /// Hash of the longest prompt prefix that other requests may share.
    pub affinity: Option<u64>,
    /// The longest gap between two events of a stream that is on time, in milliseconds.
    pub gap_ms: u64,
    /// The time until its first event must come to be on time, in milliseconds.
    pub left_ms: u64,
    /// The failure domain that holds its inputs.
    pub preferred_domain: Option<CompactString>,
    /// The targets that it cannot use, at most [`EXCLUDED_MAX`].
    pub excluded: Vec<CompactString>,
}

/// What a request asks of an engine, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// For each part of the prompt, the hash of its id and of those before it, and its
    /// length.
    pub parts: Vec<(u64, u32)>,
    /// The largest length of the answer.
    pub max_output_tokens: u32,
    /// The client's estimate of the length of the answer.
    pub output_hint: Option<u32>,
}

/// The engine that a request was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// The name of the target.
    pub target: CompactString,
    /// The expected time until the first event, in milliseconds.
    pub wait_ms: u64,
    /// The tokens of the prompt that it has cached.
    pub cached_tokens: u32,
}

/// Why a request was given no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotPlaced {
    /// The daemon does not choose engines of the service: it is shutting down, or does not
    /// know the service or the group.
    Elsewhere,
    /// No engine of the group can be used.
    NoEngine,
}

/// How a placed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The service of the engine.
    pub service: CompactString,
    /// The group of the engine.
    pub group: u32,
    /// The attempt id of the request.
    pub attempt: CompactString,
    /// The target that it was given.
    pub target: CompactString,
    /// The time from the send to the first event, if one came, in milliseconds.
    pub first_ms: Option<u64>,
    /// Number of events.
    pub events: u32,
    /// The time from the send to the end, in milliseconds.
    pub took_ms: u64,
    /// The longest gap between two events, in milliseconds.
    pub longest_gap_ms: u64,
    /// How long work took on the target's machine, in percent of the usual time.
    pub slowness_percent: Option<u32>,
    /// How it ended.
    pub end: End,
}

/// The end of a placed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// The answer broke off.
    Broken,
    /// The target did not run it.
    NotRun,
    /// The client left.
    Abandoned,
}

/// What is wrong with a message of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// A name is empty.
    Name,
    /// The rank does not exist.
    Rank,
    /// There are too many parts, or too many tokens.
    Demand,
    /// A duration is too long, or contradicts another one.
    Duration,
    /// There are too many entries.
    Length,
    /// The slowness is out of range.
    Slowness,
}

impl fmt::Display for Malformed {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Name => "a name is empty",
            Self::Rank => "the rank does not exist",
            Self::Demand => "too many parts or tokens",
            Self::Duration => "a duration is too long or contradicts another one",
            Self::Length => "too many entries",
            Self::Slowness => "the slowness is out of range",
        })
    }
}

impl std::error::Error for Malformed {}

impl Placement {
    /// Encodes a request for the daemon that chooses engines of a group.
    #[must_use]
    pub fn new(service: &name::Service, group: u32, request: &placement::Request) -> Self {
        let preferred_domain = request.preferred_domain.as_ref();
        let excluded = request.excluded.iter().take(EXCLUDED_MAX);
        Self {
            service: service.as_str().into(),
            group,
            attempt: request.attempt.as_str().into(),
            route: request.route.as_str().into(),
            rank: request.rank.0,
            demand: (&request.demand).into(),
            affinity: request.affinity,
            gap_ms: request.gap_max.0.min(DURATION_MAX_MS),
            left_ms: request.time_left.0.min(DURATION_MAX_MS),
            preferred_domain: preferred_domain.map(|domain| domain.as_str().into()),
            excluded: excluded.map(|target| target.as_str().into()).collect(),
        }
    }
}

impl TryFrom<Placement> for placement::Request {
    type Error = Malformed;

    fn try_from(message: Placement) -> Result<Self, Malformed> {
        if message.excluded.len() > EXCLUDED_MAX {
            return Err(Malformed::Length);
        }
        if usize::from(message.rank) >= Rank::LEVELS {
            return Err(Malformed::Rank);
        }
        let excluded = message.excluded.iter();
        let preferred_domain = message.preferred_domain.as_deref();
        Ok(Self {
            attempt: name::Attempt::new(named(&message.attempt)?),
            route: name::Route::new(&message.route),
            rank: Rank(message.rank),
            demand: message.demand.try_into()?,
            affinity: message.affinity,
            gap_max: duration(message.gap_ms)?,
            time_left: duration(message.left_ms)?,
            preferred_domain: preferred_domain.map(name::Domain::new),
            excluded: excluded.map(|target| name::Target::new(target)).collect(),
        })
    }
}

impl From<&demand::Demand> for Demand {
    fn from(demand: &demand::Demand) -> Self {
        let parts = demand.parts.iter();
        Self {
            prompt_tokens: demand.prompt_tokens,
            parts: parts.map(|part| (part.chain, part.tokens)).collect(),
            max_output_tokens: demand.max_output_tokens,
            output_hint: demand.output_hint,
        }
    }
}

impl TryFrom<Demand> for demand::Demand {
    type Error = Malformed;

    fn try_from(message: Demand) -> Result<Self, Malformed> {
        let counts = [message.prompt_tokens, message.max_output_tokens];
        let counts = counts.into_iter().chain(message.output_hint);
        let mut counts = counts.chain(message.parts.iter().map(|(_, tokens)| *tokens));
        if message.parts.len() > Self::PARTS_MAX || counts.any(|count| count > Self::TOKENS_MAX) {
            return Err(Malformed::Demand);
        }
        let parts = message.parts.into_iter();
        let parts = parts.map(|(chain, tokens)| demand::DemandPart { chain, tokens });
        Ok(Self {
            prompt_tokens: message.prompt_tokens,
            parts: parts.collect(),
            max_output_tokens: message.max_output_tokens,
            output_hint: message.output_hint,
        })
    }
}

impl From<placement::Placed> for Placed {
    fn from(placed: placement::Placed) -> Self {
        Self {
            target: placed.target.as_str().into(),
            wait_ms: placed.wait.0.min(DURATION_MAX_MS),
            cached_tokens: placed.cached_tokens,
        }
    }
}

impl TryFrom<Placed> for placement::Placed {
    type Error = Malformed;

    fn try_from(message: Placed) -> Result<Self, Malformed> {
        if message.cached_tokens > demand::Demand::TOKENS_MAX {
            return Err(Malformed::Demand);
        }
        Ok(Self {
            target: name::Target::new(named(&message.target)?),
            wait: duration(message.wait_ms)?,
            cached_tokens: message.cached_tokens,
        })
    }
}

impl Finish {
    /// Encodes the report for the daemon that chose an engine of a group.
    #[must_use]
    pub fn new(service: &name::Service, group: u32, finish: &placement::Finish) -> Self {
        Self {
            service: service.as_str().into(),
            group,
            attempt: finish.attempt.as_str().into(),
            target: finish.target.as_str().into(),
            first_ms: finish.first.map(|first| first.0.min(DURATION_MAX_MS)),
            events: finish.events,
            took_ms: finish.took.0.min(DURATION_MAX_MS),
            longest_gap_ms: finish.longest_gap.0.min(DURATION_MAX_MS),
            slowness_percent: finish.slowness_percent,
            end: finish.end.into(),
        }
    }
}

impl TryFrom<Finish> for placement::Finish {
    type Error = Malformed;

    fn try_from(message: Finish) -> Result<Self, Malformed> {
        let took = duration(message.took_ms)?;
        let parts = message
            .first_ms
            .unwrap_or_default()
            .max(message.longest_gap_ms);
        if parts > took.0 {
            return Err(Malformed::Duration);
        }
        let slowness = message.slowness_percent;
        if slowness.is_some_and(|percent| !SLOWNESS_PERCENT.contains(&percent)) {
            return Err(Malformed::Slowness);
        }
        Ok(Self {
            attempt: name::Attempt::new(named(&message.attempt)?),
            target: name::Target::new(named(&message.target)?),
            first: message.first_ms.map(Millis),
            events: message.events,
            took,
            longest_gap: Millis(message.longest_gap_ms),
            slowness_percent: slowness,
            end: message.end.into(),
        })
    }
}

impl From<placement::End> for End {
    fn from(end: placement::End) -> Self {
        match end {
            placement::End::Complete => Self::Complete,
            placement::End::Broken => Self::Broken,
            placement::End::NotRun => Self::NotRun,
            placement::End::Abandoned => Self::Abandoned,
        }
    }
}

impl From<End> for placement::End {
    fn from(end: End) -> Self {
        match end {
            End::Complete => Self::Complete,
            End::Broken => Self::Broken,
            End::NotRun => Self::NotRun,
            End::Abandoned => Self::Abandoned,
        }
    }
}

fn named(name: &str) -> Result<&str, Malformed> {
    if name.is_empty() {
        return Err(Malformed::Name);
    }
    Ok(name)
}

fn duration(millis: u64) -> Result<Millis, Malformed> {
    if millis > DURATION_MAX_MS {
        return Err(Malformed::Duration);
    }
    Ok(Millis(millis))
}
