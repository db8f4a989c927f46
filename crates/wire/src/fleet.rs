//! Messages between relay daemons, sent over tarpc and encoded with bincode.
//!
//! The clocks of two processes cannot be compared, so every time here is a
//! duration that remains or has passed. Bincode tells fields, variants and calls
//! apart by their order alone, so their order is part of the protocol.
//!
//! - `heartbeat` has what daemons say of their links to targets.
//! - `origin` has where streams began.
//! - `part_evidence` has what is known of parts of prompts that crash targets.
//! - `ledger` has what a daemon that chooses engines knows.
//! - `placement` has requests to the daemon that chooses engines, and reports to it.
//! - `rate_limit` has the rate limits of targets.
//! - `replica` has the contents of the platform's store.
//! - `stream_trace` has questions about the versions at which streams began.

mod heartbeat;
pub mod ledger;
mod origin;
mod part_evidence;
pub mod placement;
mod rate_limit;
mod replica;
mod stream_trace;

use std::net::SocketAddr;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::group;
use serde::Deserialize;
use serde::Serialize;

use crate::control::Suspect;
pub use crate::fleet::heartbeat::Announcement;
pub use crate::fleet::heartbeat::Heartbeat;
use crate::fleet::ledger::EngineSummary;
pub use crate::fleet::origin::Origin;
pub use crate::fleet::part_evidence::PartEvidence;
use crate::fleet::placement::Finish;
use crate::fleet::placement::NotPlaced;
use crate::fleet::placement::Placed;
use crate::fleet::placement::Placement;
pub use crate::fleet::rate_limit::RateLimit;
pub use crate::fleet::replica::Changes;
pub use crate::fleet::replica::Contents;
pub use crate::fleet::replica::ContentsRequest;
pub use crate::fleet::replica::Entry;
pub use crate::fleet::replica::Outline;
pub use crate::fleet::stream_trace::Finding;
pub use crate::fleet::stream_trace::PromptTrace;
pub use crate::fleet::stream_trace::Trace;
pub use crate::fleet::stream_trace::WholeTrace;

/// The service that each daemon offers its peers.
#[tarpc::service]
pub trait Fleet {
    /// Exchanges membership state: the daemon replies with its own greeting.
    async fn greet(greeting: Greeting) -> Greeting;
    /// Returns the changes in the platform's store after a revision; large values
    /// are outlined.
    async fn changes(after: u64) -> Changes;
    /// Computes the pieces of a group on targets of its service.
    async fn make(group: Group) -> Result<Made, Unmade>;
    /// Frees results that are no longer read.
    async fn free(service: CompactString, handles: Vec<CompactString>);
    /// Returns the bytes of those chunks of large values that the daemon has, in any
    /// order. They are asked for by their SHA-256.
    async fn chunks(digests: Vec<[u8; 32]>) -> Vec<Vec<u8>>;
    /// Keeps where the stream of an attempt began.
    async fn back_up_origin(attempt: CompactString, origin: Origin);
    /// Returns where the stream of an attempt began, if the daemon knows.
    async fn origin(attempt: CompactString) -> Option<Origin>;
    /// Returns the [`PROTOCOL_VERSION`] of the daemon. A former build closes the
    /// connection on this call and on those below.
    async fn protocol_version() -> u32;
    /// Like `greet`, with what the former build does not have in its greetings.
    async fn exchange(message: Exchange) -> Exchange;
    /// Returns a part of the contents of the platform's store; large values are outlined.
    async fn contents(request: ContentsRequest) -> Contents;
    /// Like `exchange`, with what a daemon says of its links to targets. It is made only
    /// of daemons of version 2 or later.
    async fn heartbeat(message: Heartbeat) -> Heartbeat;
    /// Chooses the engine of a request. It is made only of daemons of version 3.
    async fn place(request: Placement) -> Result<Placed, NotPlaced>;
    /// Reports how requests ended that the daemon chose engines for, at most
    /// [`placement::FINISHES_MAX`] in one call. It is made only of daemons of version 3.
    async fn finished(reports: Vec<Finish>);
    /// Returns what the daemon knows of the engines of a group that it chooses, or has chosen
    /// from until lately. It is made only of daemons of version 3.
    async fn ledger(service: CompactString, group: u32) -> Vec<EngineSummary>;
    /// Returns at which version of a service the stream with this trace began, as far as the
    /// daemon or the targets know. Only former builds make this call and the next one.
    async fn stream_version(service: CompactString, trace: Trace) -> Finding;
    /// Like `stream_version`, with how much of the prompt a target has read that wrote the
    /// stream.
    async fn trace_stream(service: CompactString, trace: PromptTrace) -> Finding;
    /// Like `trace_stream`, with all parts of the prompt. It is made only of daemons of version 7:
    /// those before take an earlier answer of a session for a stream.
    async fn trace_prompt(service: CompactString, trace: WholeTrace) -> Finding;
}

/// The version of the calls. Each call after `protocol_version` is made only of daemons
/// that have it.
pub const PROTOCOL_VERSION: u32 = 7;

/// A heartbeat with membership state, or the reply to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The state of the sender.
    pub from: Member,
    /// The state of some other members that the sender knows.
    pub others: Vec<Member>,
    /// Revision up to which the sender has the contents of the platform's store.
    pub through: u64,
    /// How long ago the store confirmed this revision, in milliseconds. The
    /// sender may know this from another daemon.
    pub confirmed_ms: u64,
    /// The waits at the stage services whose calls the sender dispatches.
    pub waits: Vec<Wait>,
    /// The requests that are suspected of crashing targets.
    pub suspects: Vec<Suspect>,
    /// Some of the rate limits that targets have named.
    pub rate_limits: Vec<RateLimit>,
}

/// A greeting with what was added to it since, or the reply to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The greeting.
    pub greeting: Greeting,
    /// The era of the contents that the greeting announces.
    pub era: Option<u64>,
    /// Some of the parts of prompts that may crash targets.
    pub parts: Vec<PartEvidence>,
}

/// The state of a daemon, as it publishes it itself or as others pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name, which is the same after a restart.
    pub name: CompactString,
    /// Start of its process by its wall clock; a later start is higher.
    pub incarnation: u64,
    /// Heartbeat counter, which advances with each round of greetings.
    pub beat: u64,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Its processor share, in thousandths of a core.
    pub strength: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// How long pieces wait at a stage service, by rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// The service.
    pub service: CompactString,
    /// How long pieces that are on time wait, by rank, in milliseconds.
    pub waits_ms: [u64; Rank::LEVELS],
    /// How long pieces that are already late wait, in milliseconds.
    pub late_ms: u64,
}

/// The inputs of pieces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The key of the request; the stage has no input stages.
    Key(String),
    /// Handles of the results of earlier stages.
    Inputs(Vec<CompactString>),
}

/// The pieces of one request at one stage, to be computed together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The stage service that computes them.
    pub service: CompactString,
    /// The daemon that handles the request.
    pub asker: Process,
    /// The attempt id of the request.
    pub attempt: CompactString,
    /// Index of the stage in the request's plan.
    pub stage: u32,
    /// Indexes of the pieces that are still to be computed.
    pub pieces: Vec<u32>,
    /// The inputs of the pieces.
    pub source: Source,
    /// Size of one result, in bytes.
    pub bytes: u64,
    /// Priority of the request; 0 is the most urgent.
    pub rank: u8,
    /// Time within which the pieces must be ready for the answer to be on time,
    /// in milliseconds.
    pub on_time_ms: u64,
    /// Time within which the pieces must be ready to be of any use, in
    /// milliseconds.
    pub until_ms: u64,
    /// Time until the targets drop the inputs, in milliseconds.
    pub inputs_until_ms: u64,
    /// Where the pieces are best computed, if that makes a difference.
    pub near: Option<Near>,
    /// Whether no stage of the request has been computed yet.
    pub is_first: bool,
    /// How much longer the later stages take if the request is late, in
    /// milliseconds, since pieces that are on time go first there too.
    pub late_tail_ms: u64,
    /// The daemons that free the inputs; they are notified as soon as the inputs
    /// have been read.
    pub keepers: Vec<Keeper>,
}

/// One run of a daemon; a restart is a new process at the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Start of the process by its wall clock.
    pub incarnation: u64,
}

/// A daemon that dispatched the computation of some inputs of a group and tracks
/// the memory that they take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    /// The stage service that computed the inputs.
    pub service: CompactString,
    /// The address at which peers reach the daemon.
    pub address: SocketAddr,
    /// Handles of the inputs.
    pub handles: Vec<CompactString>,
}

/// The failure domain in which pieces are best computed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Near {
    /// The domain.
    pub domain: CompactString,
    /// Bytes that cross domains if the pieces are computed elsewhere.
    pub bytes: u64,
}

/// The results of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Made {
    /// Handles of the results, in the order of the pieces' indexes.
    pub handles: Vec<CompactString>,
    /// The failure domain that holds the results; if several domains hold some,
    /// that of the last result.
    pub domain: CompactString,
    /// Whether the daemons in `keepers` were notified that the inputs have been
    /// read.
    pub are_inputs_freed: bool,
}

/// Why pieces were not computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unmade {
    /// They cannot be computed in the remaining time.
    Late,
    /// An input no longer exists.
    Gone,
    /// The queue is full; a retry may succeed after this many milliseconds.
    Full(u64),
    /// The targets failed.
    Failed,
    /// This daemon does not know the service yet or is shutting down, so another
    /// one has to dispatch the group.
    Elsewhere,
}

impl From<&membership::MemberState> for Member {
    fn from(member: &membership::MemberState) -> Self {
        Self {
            name: member.name.as_str().into(),
            incarnation: member.incarnation,
            beat: member.beat,
            address: member.address,
            strength: member.cpu_millicores,
            is_leaving: member.is_leaving,
        }
    }
}

impl From<Member> for membership::MemberState {
    fn from(member: Member) -> Self {
        Self {
            name: name::Member::new(&member.name),
            incarnation: member.incarnation,
            beat: member.beat,
            address: member.address,
            cpu_millicores: member.strength,
            is_leaving: member.is_leaving,
        }
    }
}

impl From<membership::Process> for Process {
    fn from(process: membership::Process) -> Self {
        Self {
            address: process.address,
            incarnation: process.incarnation,
        }
    }
}

impl From<Process> for membership::Process {
    fn from(process: Process) -> Self {
        Self {
            address: process.address,
            incarnation: process.incarnation,
        }
    }
}

impl From<&deadline_admission::ServiceWait> for Wait {
    fn from(wait: &deadline_admission::ServiceWait) -> Self {
        Self {
            service: wait.service.as_str().into(),
            waits_ms: wait.wait_by_rank.map(|wait| wait.0),
            late_ms: wait.late_wait.0,
        }
    }
}

impl From<Wait> for deadline_admission::ServiceWait {
    fn from(wait: Wait) -> Self {
        Self {
            service: name::Service::new(&wait.service),
            wait_by_rank: wait.waits_ms.map(Millis),
            late_wait: Millis(wait.late_ms),
        }
    }
}

impl Group {
    /// Encodes a group for the daemon that dispatches the calls of its service.
    /// `keepers` is left empty.
    #[must_use]
    pub fn new(
        service: &name::Service,
        group: &group::Group,
        asker: membership::Process,
        now: Millis,
    ) -> Self {
        Self {
            service: service.as_str().into(),
            asker: asker.into(),
            attempt: group.attempt.as_str().into(),
            stage: u32::try_from(group.stage).unwrap_or(u32::MAX),
            pieces: group.pieces.clone(),
            source: match &group.source {
                group::Source::Key(key) => Source::Key(key.clone()),
                group::Source::Inputs(handles) => {
                    let handles = handles.iter().map(|handle| handle.as_str().into());
                    Source::Inputs(handles.collect())
                }
            },
            bytes: group.result_bytes,
            rank: group.rank.0,
            on_time_ms: (group.on_time_deadline - now).0,
            until_ms: (group.deadline - now).0,
            inputs_until_ms: (group.inputs_expire_at - now).0,
            near: group.preferred_domain.as_ref().map(|preferred| Near {
                domain: preferred.domain.as_str().into(),
                bytes: preferred.transfer_bytes,
            }),
            is_first: group.is_first,
            late_tail_ms: group.late_extra.0,
            keepers: Vec::new(),
        }
    }

    /// Decodes the group; its durations become times on this process's clock.
    #[must_use]
    pub fn decode(self, now: Millis) -> (name::Service, group::Group) {
        let group = group::Group {
            attempt: name::Attempt::new(&self.attempt),
            stage: usize::try_from(self.stage).unwrap_or(usize::MAX),
            pieces: self.pieces,
            source: match self.source {
                Source::Key(key) => group::Source::Key(key),
                Source::Inputs(handles) => {
                    let handles = handles.iter().map(|handle| name::Handle::new(handle));
                    group::Source::Inputs(handles.collect())
                }
            },
            result_bytes: self.bytes,
            rank: Rank(self.rank),
            on_time_deadline: now + Millis(self.on_time_ms),
            deadline: now + Millis(self.until_ms),
            inputs_expire_at: now + Millis(self.inputs_until_ms),
            preferred_domain: self.near.map(|near| group::PreferredDomain {
                domain: name::Domain::new(&near.domain),
                transfer_bytes: near.bytes,
            }),
            is_first: self.is_first,
            late_extra: Millis(self.late_tail_ms),
        };
        (name::Service::new(&self.service), group)
    }
}
