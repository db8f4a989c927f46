//! What daemons tell each other, over tarpc.

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
    /// Greets the daemon; it answers in kind.
    async fn hello(hello: Hello) -> Hello;
    /// Returns the newest list that the daemon has read.
    async fn list() -> platform::List;
    /// Returns the lists of late, for a fresh daemon; none if it is fresh too.
    async fn past() -> Option<Vec<Past>>;
    /// Takes in a part of what a leaver hands over.
    async fn hand_over(chunk: Chunk);
    /// Returns all settings that the daemon holds.
    async fn settings() -> platform::Settings;
}

/// A greeting between two daemons, and the reply to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Who says it.
    pub from: CompactString,
    /// The newest list that it has read.
    pub list: u64,
    /// The newest settings that it has read.
    pub settings: u64,
    /// How long ago the platform confirmed the list, in milliseconds.
    pub list_age_ms: Option<u64>,
    /// How long ago the platform confirmed the settings, in milliseconds.
    pub settings_age_ms: Option<u64>,
    /// How long its answer may be counted, in milliseconds.
    pub freshness_ms: u64,
    /// How long its earlier answers may still be counted, in milliseconds.
    pub owed_ms: u64,
    /// Whether it knows the lists of late.
    pub knows_past: bool,
    /// Whether its answer counts as an acknowledgement.
    pub is_witness: bool,
    /// Whether it gives up every right and leaves.
    pub is_goodbye: bool,
    /// The daemons that the list has dropped lately.
    pub departed: Vec<Departed>,
    /// The requests under suspicion.
    pub suspects: Vec<Suspect>,
    /// The targets that the platform reported cold lately.
    pub cold: Vec<Cold>,
}

/// A report that a target is cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// The target.
    pub target: CompactString,
    /// How long ago it was reported so, in milliseconds.
    pub age_ms: u64,
}

/// A daemon that the list has dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// The daemon.
    pub id: CompactString,
    /// How long ago it was dropped, in milliseconds.
    pub age_ms: u64,
    /// The list that dropped it; 0 if it is still listed.
    pub dropped_by: u64,
    /// The newest list that it had seen when it said goodbye.
    pub goodbye: Option<u64>,
}

/// A list that was replaced lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Its revision.
    pub revision: u64,
    /// How long it still counts, in milliseconds.
    pub remaining_ms: u64,
    /// Its daemons.
    pub members: Vec<CompactString>,
}

/// A request under suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The digest of the request.
    pub digest: [u8; 32],
    /// How many targets broke while they ran it.
    pub crashes: u16,
    /// How many of these an answer has cleared it of.
    pub cleared: u16,
    /// How long ago the last of them broke, in milliseconds.
    pub age_ms: u64,
}

/// One part of a hand-over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The leaver.
    pub from: CompactString,
    /// The number of this chunk, from 0.
    pub index: u16,
    /// How many chunks there are for this peer.
    pub count: u16,
    /// The lists of the leaver, oldest first; only in chunk 0.
    pub stretches: Vec<Stretch>,
    /// The targets that may still have calls; only in chunk 0.
    pub busy: Vec<CompactString>,
    /// Keys and what became of them.
    pub keys: Vec<Item>,
}

/// A list under which a leaver held rights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stretch {
    /// Its revision.
    pub revision: u64,
    /// Whether it follows the stretch before without a gap.
    pub is_consecutive: bool,
    /// How long ago rights under it began, in milliseconds.
    pub held_for_ms: Option<u64>,
    /// Its daemons.
    pub members: Vec<platform::Instance>,
}

/// A key and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The workspace of the key.
    pub workspace: CompactString,
    /// The pipeline of the key.
    pub pipeline: CompactString,
    /// The caller's text.
    pub text: String,
    /// The digest of its request.
    pub digest: [u8; 32],
    /// The recorded answer.
    pub record: Option<Record>,
    /// How long ago it last changed, in milliseconds.
    pub age_ms: u64,
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The status.
    pub status: u16,
    /// The headers, by name.
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
        let busy = wire.busy.iter().map(|id| id.parse());
        let keys = wire.keys.into_iter().map(TryInto::try_into);
        Ok(Self {
            from: wire.from.parse()?,
            index: wire.index,
            count: wire.count,
            lease_periods: lease_periods.collect::<Result<_, _>>()?,
            busy_targets: busy.collect::<Result<_, _>>()?,
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
