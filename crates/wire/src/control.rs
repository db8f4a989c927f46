//! Messages between daemons, sent over tarpc and encoded with bincode.
//!
//! Each type corresponds to one of the kernel and is converted here. Bincode
//! tells fields, variants and calls apart by their order alone, so their order is
//! part of the protocol. Times are sent as durations that have passed or remain,
//! since the clocks of two processes cannot be compared.
//!
//! A lease is the right of one daemon, limited in time, to use a target or an
//! idempotency key.

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::cold_reports;
use gooseberry_kernel::handover;
use gooseberry_kernel::heartbeat;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency;
use gooseberry_kernel::lease;
use gooseberry_kernel::published_list::Revision;
use gooseberry_kernel::quarantine;
use serde::Deserialize;
use serde::Serialize;

use crate::platform;

/// The service that each daemon offers its peers.
#[tarpc::service]
pub trait Control {
    /// Exchanges heartbeats: the daemon replies with its own.
    async fn hello(hello: Hello) -> Hello;
    /// Returns the newest published list that the daemon has read.
    async fn list() -> platform::List;
    /// Returns the recently replaced lists, which a daemon that has just started
    /// asks for; `None` if the daemon asked does not know them either.
    async fn past() -> Option<Vec<Past>>;
    /// Receives one part of the state that a departing daemon hands over.
    async fn hand_over(chunk: Chunk);
    /// Returns all settings documents that the daemon holds.
    async fn settings() -> platform::Settings;
}

/// A heartbeat from one daemon to another, or the reply to one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Id of the sender.
    pub from: CompactString,
    /// Revision of the newest list that the sender has read.
    pub list: u64,
    /// Revision of the newest settings that the sender has read.
    pub settings: u64,
    /// How long ago the platform last confirmed the list, in milliseconds;
    /// `None` if it never did.
    pub list_age_ms: Option<u64>,
    /// How long ago the platform last confirmed the settings, in milliseconds;
    /// `None` if it never did.
    pub settings_age_ms: Option<u64>,
    /// How long this message is valid as an acknowledgement of the list, in
    /// milliseconds.
    pub freshness_ms: u64,
    /// How long acknowledgements that the sender gave before may still be valid,
    /// in milliseconds.
    pub owed_ms: u64,
    /// Whether the sender knows the recently replaced lists.
    pub knows_past: bool,
    /// Whether the message counts as an acknowledgement; it does not while the
    /// sender has run for less than the freshness, the time for which an
    /// acknowledgement is valid.
    pub is_witness: bool,
    /// Whether the sender has relinquished all leases and shuts down.
    pub is_goodbye: bool,
    /// The daemons that were dropped from the list or departed recently.
    pub departed: Vec<Departed>,
    /// The requests that are suspected of crashing targets.
    pub suspects: Vec<Suspect>,
    /// The targets that the platform recently reported as cold.
    pub cold: Vec<Cold>,
}

/// A report that a target is cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// The target.
    pub target: CompactString,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// A daemon that was dropped from the list or announced its departure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// The daemon.
    pub id: CompactString,
    /// How long ago it departed, in milliseconds.
    pub age_ms: u64,
    /// Revision of the list that dropped it; 0 if it is still listed.
    pub dropped_by: u64,
    /// Revision of the newest list that it had read when it announced its
    /// departure; `None` if it has not announced one.
    pub goodbye: Option<u64>,
}

/// A recently replaced list. For some time, leases still need a majority of its
/// daemons too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Its revision.
    pub revision: u64,
    /// How much longer leases need a majority of its daemons, in milliseconds.
    pub remaining_ms: u64,
    /// Ids of its daemons.
    pub members: Vec<CompactString>,
}

/// A request that is suspected of crashing targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest that identifies the request.
    pub digest: [u8; 32],
    /// How many targets crashed while running it.
    pub crashes: u16,
    /// How many of these crashes a later answer has cleared.
    pub cleared: u16,
    /// How long ago the last of these targets crashed, in milliseconds.
    pub age_ms: u64,
}

/// One part of the state that a departing daemon hands over to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The departing daemon.
    pub from: CompactString,
    /// The number of this chunk, from 0.
    pub index: u16,
    /// How many chunks there are for this peer.
    pub count: u16,
    /// The lease periods of the departing daemon, oldest first; only in chunk 0.
    pub stretches: Vec<Stretch>,
    /// The targets that may still run calls of the departing daemon; only in
    /// chunk 0.
    pub busy: Vec<CompactString>,
    /// Idempotency keys and their recorded answers.
    pub keys: Vec<Item>,
}

/// A lease period: a list under which a departing daemon held leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stretch {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the revision directly follows that of the period before.
    pub is_consecutive: bool,
    /// How long ago leases under the list began, in milliseconds; `None` if they
    /// never did.
    pub held_for_ms: Option<u64>,
    /// The daemons of the list.
    pub members: Vec<platform::Instance>,
}

/// An idempotency key and the outcome of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The workspace of the key.
    pub workspace: CompactString,
    /// The pipeline of the key.
    pub pipeline: CompactString,
    /// The key as the client sent it.
    pub text: String,
    /// The digest of its request.
    pub digest: [u8; 32],
    /// The recorded answer; `None` if the outcome is unknown.
    pub record: Option<Record>,
    /// How long ago the key last changed, in milliseconds.
    pub age_ms: u64,
}

/// An answer that is replayed when its idempotency key is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The HTTP status.
    pub status: u16,
    /// The headers, as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl From<&heartbeat::Heartbeat> for Hello {
    fn from(heartbeat: &heartbeat::Heartbeat) -> Self {
        Self {
            from: heartbeat.from.as_str().into(),
            list: heartbeat.acknowledgement.revision.0,
            settings: heartbeat.settings.0,
            list_age_ms: known_age_ms(heartbeat.list_age),
            settings_age_ms: known_age_ms(heartbeat.settings_age),
            freshness_ms: heartbeat.acknowledgement.freshness.0,
            owed_ms: heartbeat.acknowledgement.earlier_valid_for.0,
            knows_past: heartbeat.acknowledgement.knows_recent_lists,
            is_witness: heartbeat.may_acknowledge,
            is_goodbye: heartbeat.is_departing,
            departed: heartbeat.departed.iter().map(Into::into).collect(),
            suspects: heartbeat.suspects.iter().map(Into::into).collect(),
            cold: heartbeat.cold.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Hello> for heartbeat::Heartbeat {
    type Error = id::Invalid;

    fn try_from(wire: Hello) -> Result<Self, id::Invalid> {
        let departed = wire.departed.into_iter().map(TryInto::try_into);
        let cold = wire.cold.into_iter().map(TryInto::try_into);
        Ok(Self {
            from: wire.from.parse()?,
            acknowledgement: lease::Acknowledgement {
                revision: Revision(wire.list),
                freshness: Millis(wire.freshness_ms),
                earlier_valid_for: Millis(wire.owed_ms),
                knows_recent_lists: wire.knows_past,
            },
            settings: Revision(wire.settings),
            list_age: wire.list_age_ms.map_or(Millis::NEVER, Millis),
            settings_age: wire.settings_age_ms.map_or(Millis::NEVER, Millis),
            may_acknowledge: wire.is_witness,
            is_departing: wire.is_goodbye,
            departed: departed.collect::<Result<_, _>>()?,
            suspects: wire.suspects.into_iter().map(Into::into).collect(),
            cold: cold.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&lease::Departed> for Departed {
    fn from(departed: &lease::Departed) -> Self {
        Self {
            id: departed.id.as_str().into(),
            age_ms: departed.age.0,
            dropped_by: departed.dropped_by.0,
            goodbye: departed.announced_revision.map(|revision| revision.0),
        }
    }
}

impl TryFrom<Departed> for lease::Departed {
    type Error = id::Invalid;

    fn try_from(wire: Departed) -> Result<Self, id::Invalid> {
        Ok(Self {
            id: wire.id.parse()?,
            age: Millis(wire.age_ms),
            dropped_by: Revision(wire.dropped_by),
            announced_revision: wire.goodbye.map(Revision),
        })
    }
}

impl From<&lease::RecentList> for Past {
    fn from(list: &lease::RecentList) -> Self {
        Self {
            revision: list.revision.0,
            remaining_ms: list.remaining.0,
            members: list.members.iter().map(|id| id.as_str().into()).collect(),
        }
    }
}

impl TryFrom<Past> for lease::RecentList {
    type Error = id::Invalid;

    fn try_from(wire: Past) -> Result<Self, id::Invalid> {
        let members = wire.members.iter().map(|id| id.parse());
        Ok(Self {
            revision: Revision(wire.revision),
            remaining: Millis(wire.remaining_ms),
            members: members.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&handover::Chunk> for Chunk {
    fn from(chunk: &handover::Chunk) -> Self {
        Self {
            from: chunk.from.as_str().into(),
            index: chunk.index,
            count: chunk.count,
            stretches: chunk.lease_periods.iter().map(Into::into).collect(),
            busy: chunk
                .busy_targets
                .iter()
                .map(|id| id.as_str().into())
                .collect(),
            keys: chunk.keys.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Chunk> for handover::Chunk {
    type Error = id::Invalid;

    fn try_from(wire: Chunk) -> Result<Self, id::Invalid> {
        let lease_periods = wire.stretches.into_iter().map(TryInto::try_into);
        let busy_targets = wire.busy.iter().map(|id| id.parse());
        let keys = wire.keys.into_iter().map(TryInto::try_into);
        Ok(Self {
            from: wire.from.parse()?,
            index: wire.index,
            count: wire.count,
            lease_periods: lease_periods.collect::<Result<_, _>>()?,
            busy_targets: busy_targets.collect::<Result<_, _>>()?,
            keys: keys.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&handover::LeasePeriod> for Stretch {
    fn from(period: &handover::LeasePeriod) -> Self {
        Self {
            revision: period.revision.0,
            is_consecutive: period.is_consecutive,
            held_for_ms: period.held_for.map(|held_for| held_for.0),
            members: period.members.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Stretch> for handover::LeasePeriod {
    type Error = id::Invalid;

    fn try_from(wire: Stretch) -> Result<Self, id::Invalid> {
        let members = wire.members.into_iter().map(TryInto::try_into);
        Ok(Self {
            revision: Revision(wire.revision),
            is_consecutive: wire.is_consecutive,
            held_for: wire.held_for_ms.map(Millis),
            members: members.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&idempotency::KeyRecord> for Item {
    fn from(key_record: &idempotency::KeyRecord) -> Self {
        Self {
            workspace: key_record.key.workspace.as_str().into(),
            pipeline: key_record.key.pipeline.as_str().into(),
            text: key_record.key.text.clone(),
            digest: key_record.digest.0,
            record: key_record.answer.as_ref().map(Into::into),
            age_ms: key_record.age.0,
        }
    }
}

impl TryFrom<Item> for idempotency::KeyRecord {
    type Error = id::Invalid;

    fn try_from(wire: Item) -> Result<Self, id::Invalid> {
        Ok(Self {
            key: idempotency::Key {
                workspace: wire.workspace.parse()?,
                pipeline: wire.pipeline.parse()?,
                text: wire.text,
            },
            digest: id::Digest(wire.digest),
            answer: wire.record.map(Into::into),
            age: Millis(wire.age_ms),
        })
    }
}

impl From<&idempotency::RecordedAnswer> for Record {
    fn from(record: &idempotency::RecordedAnswer) -> Self {
        Self {
            status: record.status,
            headers: record.headers.clone(),
            body: record.body.to_vec(),
        }
    }
}

impl From<Record> for idempotency::RecordedAnswer {
    fn from(wire: Record) -> Self {
        Self {
            status: wire.status,
            headers: wire.headers,
            body: wire.body.into(),
        }
    }
}

fn known_age_ms(age: Millis) -> Option<u64> {
    (age != Millis::NEVER).then_some(age.0)
}

impl From<&cold_reports::ColdReport> for Cold {
    fn from(report: &cold_reports::ColdReport) -> Self {
        Self {
            target: report.target.as_str().into(),
            age_ms: report.age.0,
        }
    }
}

impl TryFrom<Cold> for cold_reports::ColdReport {
    type Error = id::Invalid;

    fn try_from(wire: Cold) -> Result<Self, id::Invalid> {
        Ok(Self {
            target: wire.target.parse()?,
            age: Millis(wire.age_ms),
        })
    }
}

impl From<&quarantine::Suspect> for Suspect {
    fn from(suspect: &quarantine::Suspect) -> Self {
        Self {
            digest: suspect.digest.0,
            crashes: suspect.crashes,
            cleared: suspect.cleared,
            age_ms: suspect.age.0,
        }
    }
}

impl From<Suspect> for quarantine::Suspect {
    fn from(wire: Suspect) -> Self {
        Self {
            digest: id::Digest(wire.digest),
            crashes: wire.crashes,
            cleared: wire.cleared,
            age: Millis(wire.age_ms),
        }
    }
}
