//! What daemons say of their links to targets.

use std::net::SocketAddr;

use compact_str::CompactString;
use gooseberry_kernel::fleet::detour;
use gooseberry_kernel::name;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Exchange;

/// An exchange with what was added to it since, or the reply to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The exchange.
    pub exchange: Exchange,
    /// What the sender says of its links to targets.
    pub announcement: Announcement,
}

/// What a daemon says of its links to targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Where it takes requests that it is to send for others; `None` if it takes none.
    pub address: Option<SocketAddr>,
    /// The services of which it reaches no target.
    pub unreached: Vec<CompactString>,
}

impl From<&detour::Announcement> for Announcement {
    fn from(announcement: &detour::Announcement) -> Self {
        let unreached = announcement.unreached.iter();
        Self {
            address: announcement.address,
            unreached: unreached.map(|service| service.as_str().into()).collect(),
        }
    }
}

impl From<Announcement> for detour::Announcement {
    fn from(announcement: Announcement) -> Self {
        let unreached = announcement.unreached.iter();
        let mut unreached: Vec<name::Service> = unreached
            .map(|service| name::Service::new(service))
            .collect();
        unreached.sort_unstable();
        Self {
            address: announcement.address,
            unreached,
        }
    }
}
