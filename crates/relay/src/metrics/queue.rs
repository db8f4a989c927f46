//! The metrics of requests that wait for a target.

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The metrics of requests that wait for a target.
#[derive(Debug)]
pub struct Queue {
    ends: IntCounterVec,
    depth: IntGauge,
}

impl Queue {
    /// Creates and registers the metrics.
    pub(super) fn register(registry: &Registry) -> anyhow::Result<Self> {
        let options = Opts::new(
            "gooseberry_relay_queue_total",
            "Requests that waited for a target, by why they left the queue.",
        );
        let ends = IntCounterVec::new(options, &["end"])?;
        registry.register(Box::new(ends.clone()))?;
        let depth = IntGauge::new(
            "gooseberry_relay_queue_depth",
            "Requests that wait for a target.",
        )?;
        registry.register(Box::new(depth.clone()))?;
        Ok(Self { ends, depth })
    }

    /// Counts a request that waited for a target; `end` says why it left the queue.
    pub fn end(&self, end: &str) {
        self.ends.with_label_values(&[end]).inc();
    }

    /// Changes the number of requests that wait for a target.
    pub fn depth(&self, change: i64) {
        self.depth.add(change);
    }
}
