//! The Prometheus metrics of one daemon.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::node::INVARIANTS;
use gooseberry_kernel::retry_policy::Denial;
use gooseberry_kernel::retry_policy::Reason;
use gooseberry_wire::operators::Status;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::control_stream::Counters;
use crate::server::CONNECTIONS_MAX;
use crate::server::ConnectionLimit;

/// The upper bounds of the latency buckets, in seconds.
const BUCKETS_SECS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 9.0, 30.0,
];

/// The names and help texts of the gauges that each scrape reads from the
/// daemon's state, sorted by name.
const GAUGES: [(&str, &str); 12] = [
    (
        "gooseberry_calls_in_flight",
        "Calls at the targets that this daemon owns.",
    ),
    (
        "gooseberry_calls_queued",
        "Calls that wait for a place at a target that this daemon owns.",
    ),
    (
        "gooseberry_list_revision",
        "The revision of the list that this daemon has read.",
    ),
    (
        "gooseberry_members",
        "The daemons that count for a majority.",
    ),
    (
        "gooseberry_owned_targets",
        "The targets that this daemon owns.",
    ),
    (
        "gooseberry_platform_age_ms",
        "How long ago the platform confirmed the list and the settings; -1 if never.",
    ),
    ("gooseberry_ready", "Whether this daemon takes requests."),
    (
        "gooseberry_refused_documents",
        "Settings documents whose newest text has faults.",
    ),
    (
        "gooseberry_requests_in_progress",
        "Requests of callers that are being served.",
    ),
    (
        "gooseberry_rights_held",
        "Whether enough members have acknowledged lately for rights to hold.",
    ),
    (
        "gooseberry_settings_revision",
        "The revision of the settings that this daemon has read.",
    ),
    ("gooseberry_uptime_seconds", "How long this daemon has run."),
];

/// The metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounter,
    abandoned: IntCounter,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    denials: IntCounterVec,
    violations: IntCounterVec,
    answers: IntCounterVec,
    foreign_replies: IntCounterVec,
    connections_refused: IntCounterVec,
    latency: HistogramVec,
    stage_cost: IntCounterVec,
    control_bytes: Counters,
    platform_calls: Mutex<IntCounter>,
    /// In the order of [`GAUGES`].
    gauges: Vec<IntGauge>,
    pool_in_flight: IntGaugeVec,
    pool_limit: IntGaugeVec,
}

impl Metrics {
    /// Registers the metrics; every known label value starts at zero.
    ///
    /// # Errors
    /// Returns an error if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let labelled_counter =
            |name, help, labels| register_labelled_counter(&registry, name, help, labels);
        let counter = |name, help| register_counter(&registry, name, help);
        let requests = counter(
            "gooseberry_requests_total",
            "Requests of callers that have come in at this daemon.",
        )?;
        let abandoned = counter(
            "gooseberry_abandoned_total",
            "Requests whose callers hung up before the answer.",
        )?;
        let refusals = labelled_counter(
            "gooseberry_refusals_total",
            "Refused and failed requests by kind, counted where they came in.",
            &["kind"],
        )?;
        let retries = labelled_counter(
            "gooseberry_retries_total",
            "Retries by reason.",
            &["reason"],
        )?;
        let denials = labelled_counter(
            "gooseberry_retry_denials_total",
            "Failed attempts that were not made again, by reason.",
            &["reason"],
        )?;
        let violations = labelled_counter(
            "gooseberry_invariant_violations_total",
            "Violated invariants; any is a fault of the program.",
            &["invariant"],
        )?;
        let answers = labelled_counter(
            "gooseberry_answers_total",
            "Answered requests, counted where they came in.",
            &["workspace", "pipeline", "late"],
        )?;
        let foreign_replies = labelled_counter(
            "gooseberry_foreign_replies_total",
            "Replies that belonged to another attempt and were thrown away.",
            &["pool"],
        )?;
        let connections_refused = labelled_counter(
            "gooseberry_connections_refused_total",
            "Connections above the limit of a port, which were closed at once.",
            &["port"],
        )?;
        let stage_cost = labelled_counter(
            "gooseberry_stage_target_ms_total",
            "Target time by stage and workspace.",
            &["workspace", "pipeline", "stage", "use"],
        )?;
        let options = HistogramOpts::new("gooseberry_request_seconds", "Time to answer.");
        let options = options.buckets(BUCKETS_SECS.to_vec());
        let latency = HistogramVec::new(options, &["team", "pipeline", "stage"])?;
        registry.register(Box::new(latency.clone()))?;
        let platform_calls = counter(
            "gooseberry_platform_calls_total",
            "Calls to the platform; a waiting watch counts as one.",
        )?;
        let gauges = register_gauges(&registry)?;
        let pool_gauge = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["pool"])?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let pool_in_flight = pool_gauge(
            "gooseberry_pool_calls_in_flight",
            "Calls at the owned targets of a pool.",
        )?;
        let pool_limit = pool_gauge(
            "gooseberry_pool_calls_limit",
            "Calls that the owned targets of a pool bear now.",
        )?;
        let control_bytes = Counters::register(&registry)?;
        let metrics = Self {
            registry,
            requests,
            abandoned,
            refusals,
            retries,
            denials,
            violations,
            answers,
            foreign_replies,
            connections_refused,
            latency,
            stage_cost,
            platform_calls: Mutex::new(platform_calls),
            gauges,
            control_bytes,
            pool_in_flight,
            pool_limit,
        };
        metrics.start_at_zero();
        Ok(metrics)
    }

    /// Exports every known label value at zero; a rate needs a first sample.
    fn start_at_zero(&self) {
        for kind in Kind::ALL {
            self.refusals.with_label_values(&[kind.row().label]);
        }
        for reason in Reason::ALL {
            self.retries.with_label_values(&[reason.label()]);
        }
        for name in INVARIANTS {
            self.violations.with_label_values(&[name]);
        }
        for denial in Denial::ALL {
            self.denials.with_label_values(&[denial.label()]);
        }
    }

    /// Counts a received request.
    pub fn count_request(&self) {
        self.requests.inc();
    }

    /// Counts a request whose caller hung up before the answer.
    pub fn count_abandoned(&self) {
        self.abandoned.inc();
    }

    /// Counts a refused or failed request.
    pub fn count_refusal(&self, kind: Kind) {
        self.refusals.with_label_values(&[kind.row().label]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a failed attempt that is not retried.
    pub fn count_retry_denial(&self, denial: Denial) {
        self.denials.with_label_values(&[denial.label()]).inc();
    }

    /// Counts a violated invariant.
    pub fn count_violation(&self, name: &str) {
        self.violations.with_label_values(&[name]).inc();
    }

    /// Counts an answered request.
    pub fn count_answer(&self, workspace: &str, pipeline: &str, is_late: bool) {
        let late = if is_late { "true" } else { "false" };
        let labels = [workspace, pipeline, late];
        self.answers.with_label_values(&labels).inc();
    }

    /// Counts a reply that belonged to another attempt.
    pub fn count_foreign_reply(&self, pool: &str) {
        self.foreign_replies.with_label_values(&[pool]).inc();
    }

    /// Returns the connection limit of a port, with its counter of refusals.
    #[must_use]
    pub fn connection_limit(&self, port: &str) -> ConnectionLimit {
        ConnectionLimit {
            max_connections: CONNECTIONS_MAX,
            refused: self.connections_refused.with_label_values(&[port]),
        }
    }

    /// Records the latency of a stage, or of the whole pipeline as stage `all`.
    ///
    /// Pipelines are unique within a team, and the workspace names the team.
    pub fn observe_latency(&self, workspace: &str, pipeline: &str, stage: &str, time: Duration) {
        let team = workspace.split('.').next().unwrap_or_default();
        let labels = [team, pipeline, stage];
        let histogram = self.latency.with_label_values(&labels);
        histogram.observe(time.as_secs_f64());
    }

    /// Adds target time, split into useful and wasted; the labels are workspace,
    /// pipeline and stage.
    pub fn add_stage_cost(&self, labels: [&str; 3], target_ms: u64, wasted_ms: u64) {
        let [workspace, pipeline, stage] = labels;
        let add_millis = |usage, millis| {
            let labels = [workspace, pipeline, stage, usage];
            self.stage_cost.with_label_values(&labels).inc_by(millis);
        };
        add_millis("useful", target_ms.saturating_sub(wasted_ms));
        add_millis("wasted", wasted_ms);
    }

    /// Sets the gauges from the state of the daemon.
    pub fn set_gauges(&self, status: &Status, uptime: Millis, platform_calls: u64) {
        let owned = status.owned.len();
        for (name, value) in [
            ("gooseberry_calls_in_flight", to_i64(status.calls_in_flight)),
            ("gooseberry_calls_queued", to_i64(status.calls_queued)),
            ("gooseberry_list_revision", to_i64(status.list_revision)),
            ("gooseberry_members", to_i64(status.members.len())),
            ("gooseberry_owned_targets", to_i64(owned)),
            (
                "gooseberry_platform_age_ms",
                status.read_age_ms.map_or(-1, to_i64),
            ),
            ("gooseberry_ready", i64::from(status.ready)),
            (
                "gooseberry_refused_documents",
                to_i64(status.refused_documents.len()),
            ),
            ("gooseberry_requests_in_progress", to_i64(status.requests)),
            ("gooseberry_rights_held", i64::from(status.holds_rights)),
            (
                "gooseberry_settings_revision",
                to_i64(status.settings_revision),
            ),
            ("gooseberry_uptime_seconds", to_i64(uptime.0 / 1000)),
        ] {
            if let Ok(index) = GAUGES.binary_search_by(|(gauge, _)| (*gauge).cmp(name)) {
                self.gauges[index].set(value);
            }
        }
        self.set_pool_gauges(status);
        let counter = self.platform_calls.lock();
        let counter = counter.unwrap_or_else(PoisonError::into_inner);
        counter.inc_by(platform_calls.saturating_sub(counter.get()));
    }

    fn set_pool_gauges(&self, status: &Status) {
        // Removes the pools of which this daemon owns no target any more.
        self.pool_in_flight.reset();
        self.pool_limit.reset();
        for owned in &status.owned {
            let labels = [owned.pool.as_str()];
            let in_flight = self.pool_in_flight.with_label_values(&labels);
            in_flight.add(to_i64(owned.in_flight));
            let limit = self.pool_limit.with_label_values(&labels);
            limit.add(i64::from(owned.limit.unwrap_or_default()));
        }
    }

    /// Returns the counters of the bytes of control messages.
    #[must_use]
    pub fn control_bytes(&self) -> Counters {
        self.control_bytes.clone()
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            log::error!("metrics cannot be encoded: {error}");
        }
        text
    }
}

/// Converts to the gauge type; larger numbers become `i64::MAX`.
fn to_i64(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}

fn register_labelled_counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn register_counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

/// Registers the gauges in the order of [`GAUGES`].
fn register_gauges(registry: &Registry) -> prometheus::Result<Vec<IntGauge>> {
    let mut gauges = Vec::new();
    for (name, help) in GAUGES {
        let gauge = IntGauge::new(name, help)?;
        registry.register(Box::new(gauge.clone()))?;
        gauges.push(gauge);
    }
    Ok(gauges)
}
