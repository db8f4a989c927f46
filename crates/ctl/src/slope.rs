//! Measures how the cost of a daemon grows with the fleet.
//!
//! For each axis, fleets of growing size run one after the other in this
//! process, and a line is fitted through their resource use.
//! `docs/CAPACITY.md` extrapolates these lines to a large fleet.

use std::fmt;
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::fleet::Fleet;
use crate::fleet::Pipeline;
use crate::fleet::Shape;
use crate::load;
use crate::usage;

/// Longest latency that a histogram holds, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Number of requests that warm up a fleet before a measurement.
const WARM_UP_REQUESTS: usize = 300;
/// Number of requests that are sent one at a time to measure the latency of an
/// idle fleet.
const IDLE_REQUESTS: usize = 400;
/// Number of the first of these requests. It is above the numbers of all other
/// requests, so that their idempotency keys differ.
const FIRST_IDLE_REQUEST: usize = 1_000_000;
/// Pause after a start or a change, before the next measurement.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Number of settings changes that are published.
const SETTINGS_CHANGES: u32 = 10;
/// Rate of requests with a new idempotency key, per second.
const KEYS_RATE: u32 = 1000;

/// The dimension that grows over a series of measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Axis {
    /// Number of daemons.
    Daemons,
    /// Number of targets in the list.
    Targets,
    /// Number of workspaces in the settings.
    Workspaces,
    /// Number of changes of a long list.
    Changes,
    /// Number of daemons, while the settings change.
    Settings,
    /// Rate of requests with one idempotent stage, per second.
    Rate,
    /// Number of targets in the list, at a constant request rate.
    Choices,
    /// Number of idempotency keys that are remembered.
    Keys,
}

/// Measurements of one size.
#[derive(Clone, Debug, Default)]
pub struct Point {
    /// The size along the axis.
    pub size: u64,
    /// The measured quantities, in the order of the table.
    pub values: Vec<Quantity>,
}

/// One measured quantity.
#[derive(Clone, Debug)]
pub struct Quantity {
    /// Name, with the unit.
    pub name: &'static str,
    /// Value in that unit.
    pub value: f64,
}

/// A line fitted through points.
#[derive(Clone, Copy, Debug, Default)]
pub struct Line {
    /// The value at size zero.
    pub at_zero: f64,
    /// The growth per unit of size.
    pub slope: f64,
}

impl Axis {
    /// Every axis, in the order of the report.
    pub const ALL: [Self; 8] = [
        Self::Daemons,
        Self::Targets,
        Self::Workspaces,
        Self::Changes,
        Self::Settings,
        Self::Rate,
        Self::Choices,
        Self::Keys,
    ];

    /// Returns the name on the command line and in tables.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Daemons => "daemons",
            Self::Targets => "targets",
            Self::Workspaces => "workspaces",
            Self::Changes => "changes",
            Self::Settings => "settings",
            Self::Rate => "rate",
            Self::Choices => "choices",
            Self::Keys => "keys",
        }
    }

    /// Returns the sizes that are measured by default.
    #[must_use]
    pub const fn sizes(self) -> &'static [u64] {
        match self {
            Self::Daemons => &[3, 6, 12, 24],
            Self::Settings => &[6, 12, 24, 48],
            Self::Targets | Self::Choices => &[50, 200, 800, 3300],
            Self::Workspaces => &[5, 50, 310],
            Self::Changes => &[1, 32, 64, 96],
            Self::Rate => &[50, 200, 800, 2000],
            Self::Keys => &[2000, 6000, 18_000],
        }
    }
}

impl fmt::Display for Axis {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

impl FromStr for Axis {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|axis| axis.label() == text);
        found.ok_or_else(|| id::Invalid { text: text.into() })
    }
}

impl Point {
    fn add(&mut self, name: &'static str, value: f64) {
        self.values.push(Quantity { name, value });
    }

    fn get(&self, name: &str) -> Option<f64> {
        let found = self.values.iter().find(|quantity| quantity.name == name);
        found.map(|quantity| quantity.value)
    }
}

/// Parameters of a series of measurements.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Time for which each size is measured.
    pub span: Duration,
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Interval of the heartbeats from a daemon to each peer.
    pub exchange: Millis,
}

/// Measures the sizes of one axis.
///
/// Memory that one fleet frees is reused by the next, so memory figures are
/// reliable only if a process measures a single size.
///
/// # Errors
/// Returns an error if a fleet cannot be started.
pub async fn measure(axis: Axis, sizes: &[u64], setup: &Setup) -> anyhow::Result<Vec<Point>> {
    let mut points = Vec::new();
    for size in sizes {
        points.push(measure_one(axis, *size, setup).await?);
    }
    Ok(points)
}

async fn measure_one(axis: Axis, size: u64, setup: &Setup) -> anyhow::Result<Point> {
    let Setup { span, seed, .. } = *setup;
    let mut point = Point {
        size,
        ..Point::default()
    };
    let count = usize::try_from(size).unwrap_or(usize::MAX);
    let mut shape = Shape {
        exchange: setup.exchange,
        ..Shape::SMALL
    };
    match axis {
        Axis::Daemons => shape.daemons = count,
        Axis::Targets | Axis::Choices => shape.targets = count,
        Axis::Workspaces => shape.workspaces = count,
        Axis::Changes => {
            // With 12 daemons each failure domain has some that are not readers
            // of the platform.
            shape.daemons = 12;
            shape.targets = 3300;
        }
        Axis::Settings => {
            shape.daemons = count;
            shape.workspaces = 310;
        }
        Axis::Rate | Axis::Keys => {}
    }
    let mut fleet = Fleet::prepare(&shape).await?;
    let memory_before = usage::memory_bytes();
    fleet.start_daemons(&shape).await?;
    let fleet = Arc::new(fleet);
    tokio::time::sleep(SETTLE_TIME).await;
    let memory = usage::memory_bytes();
    match axis {
        Axis::Daemons | Axis::Targets | Axis::Workspaces => {
            add_memory(&mut point, &shape, memory_before, memory);
            measure_idle_fleet(&mut point, &fleet, &shape, span).await;
        }
        Axis::Changes => measure_list_changes(&mut point, &fleet, &shape, count).await,
        Axis::Settings => measure_settings_changes(&mut point, &fleet, &shape).await,
        Axis::Rate => measure_under_load(&mut point, &fleet, rate_of(size), span, seed).await,
        Axis::Choices => measure_under_load(&mut point, &fleet, 200, span, seed).await,
        Axis::Keys => measure_keys(&mut point, &fleet, count, seed).await,
    }
    fleet.shut_down().await;
    Ok(point)
}

fn add_memory(point: &mut Point, shape: &Shape, before: u64, after: u64) {
    let grown = after.saturating_sub(before);
    point.add("KiB a daemon", ratio(grown, shape.daemons) / 1024.0);
}

/// Measures a fleet without requests.
async fn measure_idle_fleet(point: &mut Point, fleet: &Fleet, shape: &Shape, span: Duration) {
    let calls = fleet.platform.calls();
    let bytes = fleet.control_bytes();
    let cpu = usage::cpu();
    tokio::time::sleep(span).await;
    let cpu = usage::cpu().saturating_sub(cpu);
    let bytes = fleet.control_bytes() - bytes;
    let calls = fleet.platform.calls() - calls;
    let secs = span.as_secs_f64();
    let percent = cpu.as_secs_f64() * 100.0 / secs;
    point.add("% of a core a daemon", percent / as_float(shape.daemons));
    point.add("control B/s a daemon", ratio(bytes, shape.daemons) / secs);
    point.add("platform calls/s of all", ratio(calls, 1) / secs);
}

/// Measures the cost of list changes.
async fn measure_list_changes(point: &mut Point, fleet: &Fleet, shape: &Shape, count: usize) {
    let memory = usage::memory_bytes();
    let bytes = fleet.control_bytes();
    let cpu = usage::cpu();
    let started = Instant::now();
    for index in 0..count {
        fleet.platform.change_list(|list| {
            let target = index % list.targets.len();
            list.targets[target].state = gooseberry_wire::platform::State::Leaving;
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let secs = started.elapsed().as_secs_f64();
    let cpu = usage::cpu().saturating_sub(cpu);
    let bytes = fleet.control_bytes() - bytes;
    let memory = usage::memory_bytes().saturating_sub(memory);
    point.add("KiB a daemon", ratio(memory, shape.daemons) / 1024.0);
    point.add(
        "CPU ms a daemon",
        cpu.as_secs_f64() * 1000.0 / as_float(shape.daemons),
    );
    point.add("control KiB a daemon", ratio(bytes, shape.daemons) / 1024.0);
    point.add("seconds", secs);
}

/// Measures the cost of a settings change and the time until every daemon has
/// adopted it.
async fn measure_settings_changes(point: &mut Point, fleet: &Fleet, shape: &Shape) {
    let bytes_before = fleet.control_bytes();
    tokio::time::sleep(SETTLE_TIME).await;
    let idle_bytes = fleet.control_bytes() - bytes_before;
    let mut adoption_us = histogram();
    let started = Instant::now();
    let bytes_before = fleet.control_bytes();
    for _ in 0..SETTINGS_CHANGES {
        let published = Instant::now();
        fleet.publish_settings(shape);
        fleet.wait_until_settings_adopted().await;
        adoption_us.saturating_record(as_micros(published.elapsed()));
        tokio::time::sleep(SETTLE_TIME).await;
    }
    let bytes = fleet.control_bytes() - bytes_before;
    let heartbeat_bytes =
        ratio(idle_bytes, 1) * started.elapsed().as_secs_f64() / SETTLE_TIME.as_secs_f64();
    let settings_bytes = (ratio(bytes, 1) - heartbeat_bytes) / as_float(shape.daemons);
    let millis = |quantile| ratio(adoption_us.value_at_quantile(quantile), 1000);
    point.add("in force everywhere, p50 ms", millis(0.5));
    point.add("in force everywhere, max ms", millis(1.0));
    point.add(
        "control KiB a change, a daemon",
        settings_bytes / 1024.0 / f64::from(SETTINGS_CHANGES),
    );
}

/// Measures requests at a rate and compares them with the same calls sent
/// directly to the targets.
async fn measure_under_load(
    point: &mut Point,
    fleet: &Arc<Fleet>,
    rate: u32,
    span: Duration,
    seed: u64,
) {
    for number in 0..WARM_UP_REQUESTS {
        fleet.send(Pipeline::Read, number).await;
        fleet.send_directly(number).await;
    }
    let idle_cpu = cpu_during(tokio::time::sleep(span)).await.1;
    let arrivals = Arrivals { rate, span, seed };
    let direct = run_load(fleet, Route::Direct, arrivals);
    let (direct, direct_cpu) = cpu_during(direct).await;
    let through = run_load(fleet, Route::Through(Pipeline::Read), arrivals);
    let (through, through_cpu) = cpu_during(through).await;
    let daemon_cpu = through_cpu.saturating_sub(direct_cpu);
    let daemon_cpu_secs = daemon_cpu.as_secs_f64() - idle_cpu.as_secs_f64();
    let requests = ratio(through.latency.len(), 1).max(1.0);
    point.add("CPU us a request", daemon_cpu_secs * 1e6 / requests);
    point.add(
        "direct p50 us",
        ratio(direct.latency.value_at_quantile(0.5), 1),
    );
    point.add(
        "through p50 us",
        ratio(through.latency.value_at_quantile(0.5), 1),
    );
    point.add(
        "through p99 us",
        ratio(through.latency.value_at_quantile(0.99), 1),
    );
    point.add("failed", ratio(through.failed + direct.failed, 1));
    let idle = idle_latency(fleet).await;
    point.add("added p50 us", idle.added_us);
    point.add("added p50 us, keyed", idle.keyed_added_us);
    point.add("refusal p50 us", idle.refusal_p50_us);
    point.add("refusal p99 us", idle.refusal_p99_us);
}

/// Latencies of an idle fleet, with one request at a time, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct IdleLatency {
    /// Median of a call through a daemon minus the median of a direct call.
    pub added_us: f64,
    /// The same difference for a non-idempotent call with a key.
    pub keyed_added_us: f64,
    /// Median of a refusal.
    pub refusal_p50_us: f64,
    /// 99th percentile of a refusal.
    pub refusal_p99_us: f64,
}

/// Measures the latency that daemons add to a call in a small idle fleet.
///
/// # Errors
/// Returns an error if the fleet cannot be started.
pub async fn measure_idle_latency() -> anyhow::Result<IdleLatency> {
    let mut fleet = Fleet::prepare(&Shape::SMALL).await?;
    fleet.start_daemons(&Shape::SMALL).await?;
    for number in 0..WARM_UP_REQUESTS {
        fleet.send(Pipeline::Read, number).await;
        fleet.send_directly(number).await;
    }
    let idle = idle_latency(&fleet).await;
    fleet.shut_down().await;
    Ok(idle)
}

/// Measures latencies with one request at a time, alternating between the kinds
/// of request.
async fn idle_latency(fleet: &Fleet) -> IdleLatency {
    let mut direct = histogram();
    let mut through = histogram();
    let mut keyed = histogram();
    let mut refused = histogram();
    for number in FIRST_IDLE_REQUEST..FIRST_IDLE_REQUEST + IDLE_REQUESTS {
        timed(&mut direct, fleet.send_directly(number)).await;
        timed(&mut through, fleet.send(Pipeline::Read, number)).await;
        timed(&mut keyed, fleet.send(Pipeline::Post, number)).await;
        timed(&mut refused, fleet.send(Pipeline::Unknown, number)).await;
    }
    let median = |histogram: &Histogram<u64>| ratio(histogram.value_at_quantile(0.5), 1);
    IdleLatency {
        added_us: median(&through) - median(&direct),
        keyed_added_us: median(&keyed) - median(&direct),
        refusal_p50_us: median(&refused),
        refusal_p99_us: ratio(refused.value_at_quantile(0.99), 1),
    }
}

/// Runs a call and records its duration if it succeeds.
async fn timed(histogram: &mut Histogram<u64>, call: impl Future<Output = bool>) {
    let started = Instant::now();
    if call.await {
        histogram.saturating_record(as_micros(started.elapsed()));
    }
}

/// Measures the cost of remembered idempotency keys.
async fn measure_keys(point: &mut Point, fleet: &Arc<Fleet>, count: usize, seed: u64) {
    for number in 0..WARM_UP_REQUESTS {
        fleet.send(Pipeline::Read, number).await;
    }
    let before = usage::memory_bytes();
    let arrivals = Arrivals {
        rate: KEYS_RATE,
        span: Duration::from_secs_f64(as_float(count) / f64::from(KEYS_RATE)),
        seed,
    };
    let result = run_load(fleet, Route::Through(Pipeline::Post), arrivals);
    let (result, cpu) = cpu_during(result).await;
    let grown = usage::memory_bytes().saturating_sub(before);
    let posted = result.latency.len().max(1);
    point.add(
        "B a key, over all daemons",
        ratio(grown, 1) / ratio(posted, 1),
    );
    point.add("MiB grown", ratio(grown, 1) / 1_048_576.0);
    point.add(
        "CPU us a request, all parts",
        cpu.as_secs_f64() * 1e6 / ratio(posted, 1),
    );
    point.add("p50 us", ratio(result.latency.value_at_quantile(0.5), 1));
    point.add("failed", ratio(result.failed, 1));
}

/// Result of sending requests at a rate.
struct LoadResult {
    latency: Histogram<u64>,
    failed: u64,
}

/// Path of a request to a target.
#[derive(Clone, Copy)]
enum Route {
    /// Directly to a target.
    Direct,
    /// Through a daemon.
    Through(Pipeline),
}

/// Parameters of open-loop arrivals.
#[derive(Clone, Copy)]
struct Arrivals {
    rate: u32,
    span: Duration,
    seed: u64,
}

async fn run_load(fleet: &Arc<Fleet>, route: Route, arrivals: Arrivals) -> LoadResult {
    let started = Instant::now();
    let mut running = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut random = arrivals.seed;
    for number in 0.. {
        if at >= arrivals.span {
            break;
        }
        tokio::time::sleep_until((started + at).into()).await;
        let fleet = fleet.clone();
        running.spawn(async move {
            let started = Instant::now();
            let is_success = match route {
                Route::Direct => fleet.send_directly(number).await,
                Route::Through(pipeline) => fleet.send(pipeline, number).await,
            };
            is_success.then(|| started.elapsed())
        });
        random = hash::mix(random, arrivals.seed);
        at += load::arrival_gap(random, arrivals.rate);
    }
    let mut result = LoadResult {
        latency: histogram(),
        failed: 0,
    };
    for latency in running.join_all().await {
        match latency {
            Some(latency) => result.latency.saturating_record(as_micros(latency)),
            None => result.failed += 1,
        }
    }
    result
}

async fn cpu_during<T>(work: impl Future<Output = T>) -> (T, Duration) {
    let before = usage::cpu();
    let value = work.await;
    (value, usage::cpu().saturating_sub(before))
}

/// Fits a line through a quantity of the points by least squares.
#[must_use]
pub fn fit(points: &[Point], name: &str) -> Line {
    let pairs = points.iter();
    let pairs = pairs.filter_map(|point| Some((ratio(point.size, 1), point.get(name)?)));
    let pairs: Vec<(f64, f64)> = pairs.collect();
    let count = as_float(pairs.len()).max(1.0);
    let mean_x = pairs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = pairs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let squares: f64 = pairs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let products: f64 = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if squares > 0.0 {
        products / squares
    } else {
        0.0
    };
    Line {
        at_zero: mean_y - slope * mean_x,
        slope,
    }
}

/// Formats the points of one axis as a table, with the fitted lines.
#[must_use]
pub fn table(axis: Axis, points: &[Point]) -> String {
    let names = points.first().map(|point| point.values.as_slice());
    let names: Vec<&str> = names
        .unwrap_or_default()
        .iter()
        .map(|quantity| quantity.name)
        .collect();
    let mut out = String::new();
    let sizes: Vec<f64> = points.iter().map(|point| ratio(point.size, 1)).collect();
    row(&mut out, axis.label(), &sizes, "at zero  for each one more");
    for name in names {
        let values = points.iter().filter_map(|point| point.get(name));
        let values: Vec<f64> = values.collect();
        let Line { at_zero, slope } = fit(points, name);
        let line = format!("{at_zero:.3}  {slope:.5}");
        row(&mut out, name, &values, &line);
    }
    out
}

fn row(out: &mut String, name: &str, values: &[f64], last_column: &str) {
    // Writing to a string does not fail.
    write!(out, "{name:30}").ok();
    for value in values {
        write!(out, "{value:11.2}").ok();
    }
    writeln!(out, "   {last_column}").ok();
}

/// Returns the points of one axis as JSON.
#[must_use]
pub fn json(axis: Axis, points: &[Point]) -> Value {
    let point_json = |point: &Point| {
        let values = point.values.iter();
        let values = values.map(|quantity| (quantity.name.to_owned(), json!(quantity.value)));
        json!({ "size": point.size, "values": Value::Object(values.collect()) })
    };
    json!({ "axis": axis.label(), "points": points.iter().map(point_json).collect::<Vec<_>>() })
}

fn rate_of(size: u64) -> u32 {
    u32::try_from(size).unwrap_or(u32::MAX)
}

fn histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_max(LATENCY_MAX_US, 3);
    bounded.unwrap_or_else(|error| unreachable!("the bounds are constants: {error}"))
}

fn as_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn as_float(count: usize) -> f64 {
    ratio(u64::try_from(count).unwrap_or(u64::MAX), 1)
}

/// Returns the quotient of two counts; a divisor of zero counts as one.
fn ratio(part: u64, of: usize) -> f64 {
    // All counts here are far below 2^53, so an f64 holds them exactly.
    #[allow(clippy::cast_precision_loss)]
    let quotient = part as f64 / of.max(1) as f64;
    quotient
}
