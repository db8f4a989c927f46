//! The metrics of the daemon, in the text format of Prometheus.
//!
//! - `placement` has those of placement, `queue` those of requests that wait, and `stream`
//!   those of streams.

mod placement;
mod queue;
mod stream;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::replica::Era;
use gooseberry_kernel::request::punctuality::Lateness;
use gooseberry_runtime::control_stream::Counters;
use gooseberry_runtime::logs;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::metrics::placement::Placements;
use crate::metrics::queue::Queue;
use crate::metrics::stream::Streams;

/// The upper bounds of the latency buckets, in seconds.
const BUCKETS_SECS: [f64; 10] = [0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 1.5, 2.5, 5.0, 15.0];

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    streams: Streams,
    retries: IntCounterVec,
    rate_limited: IntCounterVec,
    queue: Queue,
    pieces: IntCounterVec,
    store: IntCounterVec,
    store_era: IntGauge,
    peer_fetches: IntCounterVec,
    latency: HistogramVec,
    connections: IntCounter,
    links_down: IntGauge,
    detours: IntCounterVec,
    /// Those of placement.
    pub placements: Placements,
    logs_dropped: IntGauge,
    control_bytes: Counters,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    /// Returns an error if two of them have the same name.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            anyhow::Ok(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            anyhow::Ok(gauge)
        };
        let requests = counters(
            "gooseberry_relay_requests_total",
            "Requests by how they ended.",
            &["form", "end"],
        )?;
        let streams = Streams::register(&registry)?;
        let retries = counters(
            "gooseberry_relay_repeats_total",
            "Requests that were sent again, by reason.",
            &["reason"],
        )?;
        let rate_limited = counters(
            "gooseberry_relay_rate_limited_total",
            "Requests all of whose targets limit the rate of their requests.",
            &["end"],
        )?;
        let queue = Queue::register(&registry)?;
        let pieces = counters(
            "gooseberry_relay_pieces_total",
            "Pieces that this daemon dispatched, by what became of them.",
            &["end"],
        )?;
        let store = counters(
            "gooseberry_relay_store_calls_total",
            "Calls to the platform's store.",
            &["end"],
        )?;
        let store_era = gauge(
            "gooseberry_relay_store_era",
            "The era of the platform's store; it rises when the store goes back to an older copy.",
        )?;
        let peer_fetches = counters(
            "gooseberry_relay_peer_fetches_total",
            "Calls that fetch the store's contents from peers.",
            &["what", "end"],
        )?;
        let detours = counters(
            "gooseberry_relay_detours_total",
            "Requests sent through peers, or taken from peers, by what became of them.",
            &["direction", "end"],
        )?;
        let options = HistogramOpts::new(
            "gooseberry_relay_seconds",
            "Time from the head of a request to a point of its answer; the point gap is the longest gap between two events.",
        );
        let latency =
            HistogramVec::new(options.buckets(BUCKETS_SECS.to_vec()), &["form", "point"])?;
        registry.register(Box::new(latency.clone()))?;
        let connections = IntCounter::new(
            "gooseberry_relay_target_connections_total",
            "Connections that were made to targets.",
        )?;
        registry.register(Box::new(connections.clone()))?;
        let links_down = gauge(
            "gooseberry_relay_links_down",
            "Services of which this daemon reaches no target.",
        )?;
        let placements = Placements::register(&registry)?;
        let logs_dropped = gauge(
            "gooseberry_relay_log_lines_dropped",
            "Log lines that nobody read in time.",
        )?;
        let control_bytes = Counters::register(&registry)?;
        Ok(Self {
            registry,
            requests,
            streams,
            retries,
            rate_limited,
            queue,
            pieces,
            store,
            store_era,
            peer_fetches,
            latency,
            connections,
            links_down,
            detours,
            placements,
            logs_dropped,
            control_bytes,
        })
    }

    /// Counts a request that has ended; `end` says how.
    pub fn request(&self, form: &str, end: &str) {
        self.requests.with_label_values(&[form, end]).inc();
    }

    /// Records how long a request took to a point of its response, `first` byte or
    /// `whole`, how long it was `queued`, or the longest `gap` between its events.
    #[allow(clippy::cast_precision_loss, reason = "a span of minutes at most")]
    pub fn latency(&self, form: &str, point: &str, span: Millis) {
        let secs = span.0 as f64 / 1000.0;
        self.latency.with_label_values(&[form, point]).observe(secs);
    }

    /// Counts a complete stream, and records its longest gap.
    pub fn stream(&self, late: Lateness, longest_gap: Millis) {
        self.streams.complete(late);
        self.latency("stream", "gap", longest_gap);
    }

    /// Counts a stream that broke off or paused; `end` says whether it goes on, or why not.
    pub fn resumption(&self, end: &str) {
        self.streams.resumption(end);
    }

    /// Counts a request that is sent again.
    pub fn retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Counts a request all of whose targets limit the rate of their requests; `end`
    /// says whether it got a place at one of them.
    pub fn rate_limited(&self, end: &str) {
        self.rate_limited.with_label_values(&[end]).inc();
    }

    /// Counts requests that begin to wait for a target, or, if negative, that end.
    pub fn queue_depth(&self, change: i64) {
        self.queue.depth(change);
    }

    /// Counts a request that waited for a target; `end` says why it left the queue.
    pub fn queue_end(&self, end: &str) {
        self.queue.end(end);
    }

    /// Counts dispatched pieces; `end` says how their call ended. A group that
    /// expired in the queue counts as one.
    pub fn pieces(&self, end: &str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.pieces.with_label_values(&[end]).inc_by(count);
    }

    /// Counts a call to the store; `end` says how it ended.
    pub fn store_call(&self, end: &str) {
        self.store.with_label_values(&[end]).inc();
    }

    /// Sets the era of the store.
    pub fn store_era(&self, era: Era) {
        self.store_era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
    }

    /// Counts a call to a peer that fetches `what` of the store's contents.
    pub fn peer_fetch(&self, what: &str, is_answered: bool) {
        let end = if is_answered { "answered" } else { "failed" };
        self.peer_fetches.with_label_values(&[what, end]).inc();
    }

    /// Counts an attempt to open a connection to a target.
    pub fn connection(&self) {
        self.connections.inc();
    }

    /// Counts a request that was `sent` through a peer or `taken` from one; `end` says what
    /// became of it.
    pub fn detour(&self, direction: &str, end: &str) {
        self.detours.with_label_values(&[direction, end]).inc();
    }

    /// Sets the number of services of which this daemon reaches no target.
    pub fn links_down(&self, count: usize) {
        self.links_down
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Returns the counters of the bytes exchanged with peers.
    #[must_use]
    pub fn control_bytes(&self) -> Counters {
        self.control_bytes.clone()
    }

    /// Returns all metrics as text.
    ///
    /// # Errors
    /// Returns an error if a metric cannot be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        self.logs_dropped
            .set(i64::try_from(logs::dropped()).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
