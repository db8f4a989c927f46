//! The metrics of placement.

use gooseberry_kernel::clock::Millis;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// The upper bounds of the buckets of the time that the choice of an engine takes, in
/// seconds; it is limited to 0.04.
const BUCKETS_SECS: [f64; 7] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05];

/// The metrics of placement.
#[derive(Debug)]
pub struct Placements {
    ends: IntCounterVec,
    time: Histogram,
    error: IntGauge,
}

impl Placements {
    /// Creates and registers the metrics.
    pub(super) fn register(registry: &Registry) -> anyhow::Result<Self> {
        let options = Opts::new(
            "gooseberry_relay_placements_total",
            "Requests whose engine is chosen by cost, by who chose it.",
        );
        let ends = IntCounterVec::new(options, &["end"])?;
        registry.register(Box::new(ends.clone()))?;
        let options = HistogramOpts::new(
            "gooseberry_relay_placement_seconds",
            "Time until a placer has chosen the engine of a request.",
        );
        let time = Histogram::with_opts(options.buckets(BUCKETS_SECS.to_vec()))?;
        registry.register(Box::new(time.clone()))?;
        let error = IntGauge::new(
            "gooseberry_relay_placement_error_permille",
            "Mean relative error of the expected times to the first event, in thousandths, of \
             the group with the largest.",
        )?;
        registry.register(Box::new(error.clone()))?;
        Ok(Self { ends, time, error })
    }

    /// Counts a request whose engine is chosen by cost; `end` says who chose it.
    pub fn end(&self, end: &str) {
        self.ends.with_label_values(&[end]).inc();
    }

    /// Records how long a placer took to choose an engine, as the asking daemon sees it.
    #[allow(clippy::cast_precision_loss, reason = "a span of milliseconds")]
    pub fn time(&self, span: Millis) {
        self.time.observe(span.0 as f64 / 1000.0);
    }

    /// Sets the mean relative error of the expected times to the first event, in
    /// thousandths; `None` if it is not known.
    pub fn error(&self, permille: Option<u32>) {
        self.error.set(permille.unwrap_or(0).into());
    }
}
