//! What the daemon counts, for operators.

use std::time::Duration;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::retry::Reason;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::control_stream::Counters;

/// The upper bounds of the latency buckets, in seconds.
const BUCKETS_SECS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 9.0, 30.0,
];

/// The counters of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    violations: IntCounterVec,
    answers: IntCounterVec,
    foreign: IntCounterVec,
    latency: HistogramVec,
    stage_cost: IntCounterVec,
    gauges: IntGaugeVec,
    control_bytes: IntCounterVec,
}

impl Metrics {
    /// Makes the counters; every reason stands at zero from the start.
    ///
    /// # Errors
    /// Returns an error if two counters have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let refusals = counter(
            "gooseberry_refusals_total",
            "Failed requests by kind.",
            &["kind"],
        )?;
        let retries = counter(
            "gooseberry_retries_total",
            "Retries by reason.",
            &["reason"],
        )?;
        let violations = counter(
            "gooseberry_invariant_violations_total",
            "Violated invariants; any is a fault of the program.",
            &["invariant"],
        )?;
        let answers = counter(
            "gooseberry_answers_total",
            "Answered requests.",
            &["workspace", "pipeline", "late"],
        )?;
        let foreign = counter(
            "gooseberry_foreign_replies_total",
            "Replies that belonged to another attempt and were thrown away.",
            &["pool"],
        )?;
        let stage_cost = counter(
            "gooseberry_stage_target_ms_total",
            "Target time by stage and workspace.",
            &["workspace", "pipeline", "stage", "use"],
        )?;
        let control_bytes = counter(
            "gooseberry_control_bytes_total",
            "Bytes of control messages to and from peers.",
            &["direction"],
        )?;
        let options = HistogramOpts::new("gooseberry_request_seconds", "Time to answer.");
        let options = options.buckets(BUCKETS_SECS.to_vec());
        let latency = HistogramVec::new(options, &["pipeline", "stage"])?;
        registry.register(Box::new(latency.clone()))?;
        let gauges = IntGaugeVec::new(Opts::new("gooseberry_state", "State."), &["what"])?;
        registry.register(Box::new(gauges.clone()))?;
        for kind in Kind::ALL {
            refusals.with_label_values(&[kind.row().label]);
        }
        for reason in Reason::ALL {
            retries.with_label_values(&[reason.label()]);
        }
        Ok(Self {
            registry,
            refusals,
            retries,
            violations,
            answers,
            foreign,
            latency,
            stage_cost,
            gauges,
            control_bytes,
        })
    }

    /// Counts a failed request.
    pub fn refusal(&self, kind: Kind) {
        self.refusals.with_label_values(&[kind.row().label]).inc();
    }

    /// Counts a retry.
    pub fn retry(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a violated invariant.
    pub fn violation(&self, name: &str) {
        self.violations.with_label_values(&[name]).inc();
    }

    /// Counts an answered request.
    pub fn answer(&self, workspace: &str, pipeline: &str, is_late: bool) {
        let late = if is_late { "true" } else { "false" };
        let labels = [workspace, pipeline, late];
        self.answers.with_label_values(&labels).inc();
    }

    /// Counts a reply that belonged to another attempt.
    pub fn foreign(&self, pool: &str) {
        self.foreign.with_label_values(&[pool]).inc();
    }

    /// Notes how long a stage took, or a whole pipeline if the stage is `all`.
    pub fn latency(&self, pipeline: &str, stage: &str, time: Duration) {
        let labels = [pipeline, stage];
        let histogram = self.latency.with_label_values(&labels);
        histogram.observe(time.as_secs_f64());
    }

    /// Adds target time, as useful or as wasted.
    pub fn stage_cost(&self, labels: [&str; 3], target_ms: u64, wasted_ms: u64) {
        let [workspace, pipeline, stage] = labels;
        let add = |usage, millis| {
            let labels = [workspace, pipeline, stage, usage];
            self.stage_cost.with_label_values(&labels).inc_by(millis);
        };
        add("useful", target_ms.saturating_sub(wasted_ms));
        add("wasted", wasted_ms);
    }

    /// Sets a gauge.
    pub fn gauge(&self, what: &str, value: i64) {
        self.gauges.with_label_values(&[what]).set(value);
    }

    /// Returns where the bytes of control messages are counted.
    #[must_use]
    pub fn control_bytes(&self) -> Counters {
        Counters {
            sent: self.control_bytes.with_label_values(&["sent"]),
            received: self.control_bytes.with_label_values(&["received"]),
        }
    }

    /// Writes all counters in the text format of Prometheus.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!("metrics cannot be written: {error}");
        }
        text
    }
}
