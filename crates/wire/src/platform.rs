//! The list, the settings and the load reports, as the platform publishes them in
//! JSON.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::cold_reports;
use gooseberry_kernel::id;
use gooseberry_kernel::published_list;
use gooseberry_kernel::settings;
use serde::Deserialize;
use serde::Serialize;

use crate::entries::Entries;

/// The header with the revision that the platform serves, in replies that say
/// that nothing is newer than the revision asked for.
pub const REVISION: &str = "gooseberry-revision";

/// Whether a listed daemon or target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes new work.
    Live,
    /// It takes no new work and will be removed.
    Leaving,
}

/// A listed daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of this run of the daemon; a restart has another one.
    pub id: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// The address at which it receives control messages from peers.
    pub control: SocketAddr,
    /// The address at which it receives stage calls from peers.
    pub data: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
}

/// A listed target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its id.
    pub id: CompactString,
    /// The pool to which it belongs.
    pub pool: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// The address at which it receives calls.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
}

/// The published list of daemons and targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Its revision; each change increments it by 1.
    pub revision: u64,
    /// The daemons.
    pub instances: Vec<Instance>,
    /// The targets.
    pub targets: Vec<Target>,
}

/// The list in an answer of the platform, in which any target may be malformed.
///
/// A malformed daemon makes the whole list malformed: builds that differ in which they can
/// read would see other members under one revision, and so other owners.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct UncheckedList {
    /// Its revision.
    pub revision: u64,
    /// The daemons.
    pub instances: Vec<Instance>,
    /// The targets.
    pub targets: Entries<Target>,
}

/// One document of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its path in the settings tree.
    pub path: String,
    /// The revision at which it last changed.
    pub revision: u64,
    /// Its text: JSON with comments.
    pub text: String,
}

/// The settings of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// The revision of all documents together; each change increments it by 1.
    pub revision: u64,
    /// All documents of the settings tree.
    pub documents: Vec<Document>,
}

/// A target's load as the platform reports it, with a delay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The target.
    pub target: CompactString,
    /// Number of calls in flight at it.
    pub in_flight: u32,
    /// Whether it is cold.
    pub is_cold: bool,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// The load reports of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// One report per target.
    pub loads: Vec<Load>,
}

/// The load reports in an answer of the platform, any of which may be malformed.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct UncheckedLoads {
    /// One report per target.
    pub loads: Entries<Load>,
}

impl TryFrom<Load> for cold_reports::ColdReport {
    type Error = id::Invalid;

    fn try_from(wire: Load) -> Result<Self, id::Invalid> {
        Ok(Self {
            target: wire.target.parse()?,
            age: Millis(wire.age_ms),
        })
    }
}

impl From<published_list::Lifecycle> for State {
    fn from(state: published_list::Lifecycle) -> Self {
        match state {
            published_list::Lifecycle::Live => Self::Live,
            published_list::Lifecycle::Leaving => Self::Leaving,
        }
    }
}

impl From<State> for published_list::Lifecycle {
    fn from(state: State) -> Self {
        match state {
            State::Live => Self::Live,
            State::Leaving => Self::Leaving,
        }
    }
}

impl TryFrom<Instance> for published_list::Member {
    type Error = id::Invalid;

    fn try_from(wire: Instance) -> Result<Self, id::Invalid> {
        Ok(Self {
            id: wire.id.parse()?,
            domain: wire.domain.parse()?,
            control: wire.control,
            data: wire.data,
            state: wire.state.into(),
        })
    }
}

impl From<&published_list::Member> for Instance {
    fn from(member: &published_list::Member) -> Self {
        Self {
            id: member.id.as_str().into(),
            domain: member.domain.as_str().into(),
            control: member.control,
            data: member.data,
            state: member.state.into(),
        }
    }
}

impl TryFrom<Target> for published_list::ListedTarget {
    type Error = id::Invalid;

    fn try_from(wire: Target) -> Result<Self, id::Invalid> {
        Ok(Self {
            id: wire.id.parse()?,
            pool: wire.pool.parse()?,
            domain: wire.domain.parse()?,
            address: wire.address,
            state: wire.state.into(),
        })
    }
}

impl From<&published_list::ListedTarget> for Target {
    fn from(entry: &published_list::ListedTarget) -> Self {
        Self {
            id: entry.id.as_str().into(),
            pool: entry.pool.as_str().into(),
            domain: entry.domain.as_str().into(),
            address: entry.address,
            state: entry.state.into(),
        }
    }
}

impl TryFrom<List> for published_list::PublishedList {
    type Error = id::Invalid;

    fn try_from(wire: List) -> Result<Self, id::Invalid> {
        let members = wire.instances.into_iter().map(TryInto::try_into);
        let targets = wire.targets.into_iter().map(TryInto::try_into);
        Ok(Self::new(
            published_list::Revision(wire.revision),
            members.collect::<Result<_, _>>()?,
            targets.collect::<Result<_, _>>()?,
        ))
    }
}

impl UncheckedList {
    /// Returns the list of the daemons and the usable targets, and why each of the other
    /// targets is not usable.
    ///
    /// # Errors
    /// Returns an error if the id of a daemon is invalid.
    pub fn check(self) -> Result<(published_list::PublishedList, Vec<CompactString>), id::Invalid> {
        let members = self.instances.into_iter().map(TryInto::try_into);
        let targets = self.targets.convert();
        let list = published_list::PublishedList::new(
            published_list::Revision(self.revision),
            members.collect::<Result<_, _>>()?,
            targets.readable,
        );
        Ok((list, targets.faults))
    }
}

impl From<&published_list::PublishedList> for List {
    fn from(list: &published_list::PublishedList) -> Self {
        Self {
            revision: list.revision.0,
            instances: list.members.iter().map(Into::into).collect(),
            targets: list.targets.iter().map(Into::into).collect(),
        }
    }
}

impl From<Settings> for settings::Tree {
    fn from(wire: Settings) -> Self {
        let to_raw = |document: Document| settings::RawDocument {
            path: document.path,
            revision: published_list::Revision(document.revision),
            text: Arc::from(document.text),
        };
        Self {
            revision: published_list::Revision(wire.revision),
            documents: wire.documents.into_iter().map(to_raw).collect(),
        }
    }
}

impl From<&settings::Tree> for Settings {
    fn from(tree: &settings::Tree) -> Self {
        let to_document = |raw: &settings::RawDocument| Document {
            path: raw.path.clone(),
            revision: raw.revision.0,
            text: raw.text.to_string(),
        };
        Self {
            revision: tree.revision.0,
            documents: tree.documents.iter().map(to_document).collect(),
        }
    }
}
