//! The state that all tasks of one daemon share.

use std::sync::Arc;

use gooseberry_connectors::platform;
use gooseberry_connectors::target;
use gooseberry_kernel::settings::Local;
use tokio::sync::watch;

use crate::actor::Handle;
use crate::clock::Clock;
use crate::idempotency::RunningKeys;
use crate::metrics::Metrics;
use crate::peers::Peers;

/// The state that all tasks of one daemon share.
#[derive(Debug)]
pub struct Context {
    /// The process settings: instance, failure domain and listen addresses.
    pub local: Local,
    /// The monotonic clock.
    pub clock: Clock,
    /// The handle of the actor that runs the node.
    pub node: Handle,
    /// The connections to peers.
    pub peers: Peers,
    /// The connections to targets.
    pub targets: target::Client,
    /// The client of the platform.
    pub platform: platform::Client,
    /// The keys whose requests run here, so that duplicates can wait for the answer.
    pub running_keys: RunningKeys,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Whether the process ends, so that all requests are answered now.
    pub is_ending: watch::Sender<bool>,
}

impl Context {
    /// Waits until all requests must be answered, since the process ends.
    pub async fn ending(&self) {
        let mut is_ending = self.is_ending.subscribe();
        // The sender lives as long as this value, so this cannot fail.
        is_ending.wait_for(|is_ending| *is_ending).await.ok();
    }
}
