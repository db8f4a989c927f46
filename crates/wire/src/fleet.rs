//! What daemons tell each other on the direct path, over tarpc.
//!
//! Moments of two processes are never compared, so every time here is a span
//! that remains or has passed.

use std::net::SocketAddr;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership;
use gooseberry_kernel::fleet::mirror;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::group;
use serde::Deserialize;
use serde::Serialize;

use crate::control::Suspect;

/// The service that each daemon offers its peers.
#[tarpc::service]
pub trait Fleet {
    /// Greets the daemon; it answers in kind.
    async fn greet(greeting: Greeting) -> Greeting;
    /// Returns what changed at the platform after a revision.
    async fn changes(after: u64) -> Changes;
    /// Has the pieces of a group made.
    async fn make(group: Group) -> Result<Made, Unmade>;
    /// Gives up results that nobody reads any more.
    async fn free(service: CompactString, handles: Vec<CompactString>);
}

/// A greeting, and the reply to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Who says it.
    pub from: Member,
    /// The others that it hears.
    pub others: Vec<Member>,
    /// Up to which revision it knows what the platform publishes.
    pub through: u64,
    /// How long ago the store confirmed that, to this daemon or to one that it
    /// heard it from, in milliseconds.
    pub confirmed_ms: u64,
    /// The waits at the stage services that it dispatches for.
    pub waits: Vec<Wait>,
    /// The requests under suspicion.
    pub suspects: Vec<Suspect>,
}

/// A daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: CompactString,
    /// The start of its process.
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

/// How long pieces wait at a service, by rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// The service.
    pub service: CompactString,
    /// The wait of each rank, in milliseconds.
    pub waits_ms: [u64; Rank::LEVELS],
    /// The wait of what is late already, in milliseconds.
    pub late_ms: u64,
}

/// An entry of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: CompactString,
    /// Its value, unless it was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of its last change.
    pub revision: u64,
}

/// Changes at the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changes, or every entry.
    pub entries: Vec<Entry>,
    /// Up to which revision they are complete.
    pub through: u64,
    /// Whether these are all entries.
    pub is_whole: bool,
}

/// From what pieces are made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// The key of the request.
    Key(String),
    /// Results of earlier stages.
    Inputs(Vec<CompactString>),
}

/// The pieces of one request at one stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The service that makes them.
    pub service: CompactString,
    /// The daemon that has the request.
    pub asker: Process,
    /// The request.
    pub attempt: CompactString,
    /// The number of the stage.
    pub stage: u32,
    /// The numbers of the pieces.
    pub pieces: Vec<u32>,
    /// From what they are made.
    pub source: Source,
    /// The size of one result, in bytes.
    pub bytes: u64,
    /// How urgent the request is.
    pub rank: u8,
    /// For how long they help an answer to be on time, in milliseconds.
    pub on_time_ms: u64,
    /// For how long they are of any use, in milliseconds.
    pub until_ms: u64,
    /// For how long the inputs exist, in milliseconds.
    pub inputs_until_ms: u64,
    /// Where they are best made.
    pub near: Option<Near>,
    /// Whether nothing of the request has been made yet.
    pub is_first: bool,
    /// How much longer the later stages take if it is late, in milliseconds.
    pub late_tail_ms: u64,
    /// Who is told as soon as the inputs have been read.
    pub keepers: Vec<Keeper>,
}

/// One run of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The start of its process.
    pub incarnation: u64,
}

/// A daemon that dispatched the inputs of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    /// The service that made them.
    pub service: CompactString,
    /// Where the daemon is reached.
    pub address: SocketAddr,
    /// The inputs.
    pub handles: Vec<CompactString>,
}

/// A failure domain near which pieces are best made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Near {
    /// The domain.
    pub domain: CompactString,
    /// How many bytes cross domains if they are made elsewhere.
    pub bytes: u64,
}

/// Pieces that were made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Made {
    /// The results, in the order of the pieces' numbers.
    pub handles: Vec<CompactString>,
    /// The failure domain in which they lie; that of the last, if they were
    /// made in several.
    pub domain: CompactString,
    /// Whether the keepers of the inputs were told that they have been read.
    pub are_inputs_freed: bool,
}

/// Why pieces were not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unmade {
    /// They cannot be made in the time that remains.
    Late,
    /// An input does not exist any more.
    Gone,
    /// Too much goes before them; there may be room after so many milliseconds.
    Full(u64),
    /// The targets failed.
    Failed,
    /// This daemon does not know the service yet, or is ending.
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

impl From<mirror::Changes> for Changes {
    fn from(changes: mirror::Changes) -> Self {
        let entries = changes.entries.into_iter().map(|entry| Entry {
            key: entry.key,
            value: entry.value,
            revision: entry.revision.0,
        });
        Self {
            entries: entries.collect(),
            through: changes.through.0,
            is_whole: changes.is_whole,
        }
    }
}

impl From<Changes> for mirror::Changes {
    fn from(changes: Changes) -> Self {
        let entries = changes.entries.into_iter().map(|entry| mirror::Entry {
            key: entry.key,
            value: entry.value,
            revision: Revision(entry.revision),
        });
        Self {
            entries: entries.collect(),
            through: Revision(changes.through),
            is_whole: changes.is_whole,
        }
    }
}

impl Group {
    /// Writes a group for the dispatcher of a service.
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

    /// Reads the group, with its spans as moments of this process.
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
