//! What all parts of one daemon share.

use std::sync::Arc;

use gooseberry_connectors::platform;
use gooseberry_connectors::target;
use gooseberry_kernel::settings::Local;

use crate::actor::Handle;
use crate::clock::Clock;
use crate::idempotency::RunningKeys;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// What all parts of one daemon share.
#[derive(Debug)]
pub struct Context {
    /// Who the daemon is and where it listens.
    pub local: Local,
    /// The clock.
    pub clock: Clock,
    /// The node's actor.
    pub node: Handle,
    /// The connections to peers.
    pub peers: Peers,
    /// The connections to targets.
    pub targets: target::Client,
    /// The connection to the platform.
    pub platform: platform::Client,
    /// The requests that wait for another one with the same key.
    pub running_keys: RunningKeys,
    /// What is counted.
    pub metrics: Arc<Metrics>,
}
