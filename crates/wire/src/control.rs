//! What daemons tell each other, over tarpc.

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::peer;
use gooseberry_kernel::quarantine;
use gooseberry_kernel::roster::Revision;
use gooseberry_kernel::tenure;
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
    /// How long ago the platform confirmed that, in milliseconds.
    pub read_age_ms: Option<u64>,
    /// Whether its answer counts as an acknowledgement.
    pub is_witness: bool,
    /// Whether it gives up every right and leaves.
    pub is_goodbye: bool,
    /// The daemons that the list has dropped lately.
    pub departed: Vec<Departed>,
    /// The requests under suspicion.
    pub suspects: Vec<Suspect>,
}

/// A daemon that the list has dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// The daemon.
    pub id: CompactString,
    /// How long ago it was dropped, in milliseconds.
    pub age_ms: u64,
    /// Whether it said goodbye.
    pub is_goodbye: bool,
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

impl From<&peer::Hello> for Hello {
    fn from(hello: &peer::Hello) -> Self {
        let is_read = hello.read_age != Millis::NEVER;
        Self {
            from: hello.from.as_str().into(),
            list: hello.list.0,
            settings: hello.settings.0,
            read_age_ms: is_read.then_some(hello.read_age.0),
            is_witness: hello.is_witness,
            is_goodbye: hello.is_goodbye,
            departed: hello.departed.iter().map(Into::into).collect(),
            suspects: hello.suspects.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Hello> for peer::Hello {
    type Error = id::Invalid;

    fn try_from(wire: Hello) -> Result<Self, id::Invalid> {
        let departed = wire.departed.into_iter().map(TryInto::try_into);
        Ok(Self {
            from: wire.from.parse()?,
            list: Revision(wire.list),
            settings: Revision(wire.settings),
            read_age: wire.read_age_ms.map_or(Millis::NEVER, Millis),
            is_witness: wire.is_witness,
            is_goodbye: wire.is_goodbye,
            departed: departed.collect::<Result<_, _>>()?,
            suspects: wire.suspects.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&tenure::Departed> for Departed {
    fn from(departed: &tenure::Departed) -> Self {
        Self {
            id: departed.id.as_str().into(),
            age_ms: departed.age.0,
            is_goodbye: departed.is_goodbye,
        }
    }
}

impl TryFrom<Departed> for tenure::Departed {
    type Error = id::Invalid;

    fn try_from(wire: Departed) -> Result<Self, id::Invalid> {
        Ok(Self {
            id: wire.id.parse()?,
            age: Millis(wire.age_ms),
            is_goodbye: wire.is_goodbye,
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
