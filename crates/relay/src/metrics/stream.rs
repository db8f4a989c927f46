//! The metrics of streams.

use gooseberry_kernel::request::punctuality::Lateness;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

/// The counters of streams.
#[derive(Clone, Debug)]
pub(super) struct Streams {
    complete: IntCounterVec,
    resumptions: IntCounterVec,
}

impl Streams {
    /// Creates and registers the counters.
    ///
    /// # Errors
    /// Returns an error if the registry already has a metric of one of their names.
    pub(super) fn register(registry: &Registry) -> anyhow::Result<Self> {
        let options = Opts::new(
            "gooseberry_relay_streams_total",
            "Complete streams by whether their first event, a gap or both were late.",
        );
        let complete = IntCounterVec::new(options, &["late"])?;
        registry.register(Box::new(complete.clone()))?;
        let options = Opts::new(
            "gooseberry_relay_resumptions_total",
            "Streams that broke off or paused, by whether another target went on with them, or why not.",
        );
        let resumptions = IntCounterVec::new(options, &["end"])?;
        registry.register(Box::new(resumptions.clone()))?;
        Ok(Self {
            complete,
            resumptions,
        })
    }

    /// Counts a complete stream.
    pub(super) fn complete(&self, late: Lateness) {
        self.complete.with_label_values(&[late.label()]).inc();
    }

    /// Counts a stream that broke off or paused; `end` says whether it goes on, or why not.
    pub(super) fn resumption(&self, end: &str) {
        self.resumptions.with_label_values(&[end]).inc();
    }
}
