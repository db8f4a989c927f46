//! Open-loop load generator with seeded arrivals, which records the outcome of
//! each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_connectors::http_client::HttpClient;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::hash;
use gooseberry_kernel::settings::Stage;
use gooseberry_kernel::settings::TeamSettings;
use gooseberry_standin::site;
use gooseberry_standin::site::Traffic;
use gooseberry_standin::target;
use gooseberry_wire::header;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::task::JoinSet;

use crate::embedded::Embedded;
use crate::scenario;
use crate::scenario::CRASH_TEXT;
use crate::scenario::Scenario;

/// Time for which a client waits for an answer: the longest deadline of the
/// example sites plus the time that is allowed for a late answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(75);
/// Interval at which a new request that crashes engines is sent.
const CRASH_INTERVAL: Duration = Duration::from_secs(1);
/// How many times such a request is sent again.
const CRASH_RETRIES: usize = 3;
/// Number of prompt prefixes that the clients of one pipeline share.
const PROMPT_COUNT: u64 = 48;
/// Length of a shared prompt prefix, in bytes.
const PROMPT_BYTES: usize = 520;

/// Parameters of a load run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Requests per second.
    pub rate: u32,
    /// Time for which measured requests are sent.
    pub span: Duration,
    /// Time for which requests are sent before the measurement.
    pub warm_up: Duration,
    /// The disturbance during the run.
    pub scenario: Scenario,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            rate: 100,
            span: Duration::from_secs(10),
            warm_up: Duration::ZERO,
            scenario: Scenario::Calm,
        }
    }
}

/// Purpose of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Brings the site to its usual state before the measurement.
    WarmUp,
    /// Is measured.
    Measured,
    /// Is part of the flood from one workspace.
    Flood,
    /// Crashes the engines that run it.
    Crash,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer within the deadline.
    Answered,
    /// A complete answer after the deadline, flagged as late.
    Late,
    /// An error answer of this kind.
    Refused(Kind),
    /// An answer with the wrong body: truncated, or that of another request.
    Wrong,
    /// No answer, or an incomplete one: the connection failed or the client's
    /// time limit passed.
    Lost,
}

/// One request and its outcome, as seen by the client.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its purpose.
    pub class: Class,
    /// Its body.
    pub body: Bytes,
    /// The workspace.
    pub workspace: &'static str,
    /// The pipeline.
    pub pipeline: &'static str,
    /// Scheduled send time since the start of the measurement; zero if it was
    /// sent before.
    pub sent_at: Duration,
    /// Time from sending to the end of the answer.
    pub latency: Duration,
    /// Its outcome.
    pub outcome: Outcome,
    /// Cost of its stages, from the headers of the answer.
    pub costs: Vec<StageCost>,
}

/// Cost of one stage of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StageCost {
    /// Name of the stage.
    pub stage: String,
    /// Number of attempts.
    pub attempts: u64,
    /// Time that targets worked on it, in milliseconds.
    pub target_ms: u64,
    /// Part of that time that was wasted, in milliseconds.
    pub wasted_ms: u64,
}

/// Result of a load run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Start of the measurement.
    pub origin: Option<Instant>,
    /// Number of requests sent.
    pub sent: usize,
    /// The requests with their outcomes.
    pub samples: Vec<Sample>,
}

impl Summary {
    /// Counts the requests whose outcome matches.
    #[must_use]
    pub fn count(&self, matches: impl Fn(&Outcome) -> bool) -> usize {
        let outcomes = self.samples.iter().map(|sample| &sample.outcome);
        outcomes.filter(|outcome| matches(outcome)).count()
    }

    /// Returns whether every request was answered, answered late with the flag,
    /// or refused with a reason, and none was lost or answered wrongly.
    #[must_use]
    pub fn is_accounted(&self) -> bool {
        let is_accepted = |outcome: &Outcome| !matches!(outcome, Outcome::Wrong | Outcome::Lost);
        self.count(is_accepted) == self.sent
    }
}

/// Runs a load on a site and waits for all answers.
pub async fn run(embedded: &Embedded, plan: &Plan) -> Summary {
    let origin = Instant::now() + plan.warm_up;
    let (mut summary, crashes, ()) = tokio::join!(
        send_arrivals(embedded, plan, origin),
        send_crash_requests(embedded, plan, origin),
        plan.scenario.inject(embedded, origin, plan.span),
    );
    summary.sent += crashes.len();
    summary.samples.extend(crashes);
    summary.origin = Some(origin);
    summary
}

/// Sends the arrivals of a Poisson process and waits for their answers.
async fn send_arrivals(embedded: &Embedded, plan: &Plan, origin: Instant) -> Summary {
    let callers = callers(embedded);
    let client = http_client::new();
    let started = origin.checked_sub(plan.warm_up).unwrap_or(origin);
    let mut summary = Summary::default();
    let mut running = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut random = plan.seed;
    loop {
        // All draws from `random` but the arrival gap mix in a constant of their
        // own, so that they are independent.
        random = hash::mix(random, plan.seed);
        let measured_at = at.checked_sub(plan.warm_up);
        let factor = measured_at.map_or(1, |at| plan.scenario.rate_factor(at, plan.span));
        at += arrival_gap(random, plan.rate.saturating_mul(factor));
        if at >= plan.warm_up + plan.span {
            break;
        }
        tokio::time::sleep_until((started + at).into()).await;
        let is_flood = is_flood(plan, factor, hash::mix(random, 5));
        let class = match at.checked_sub(plan.warm_up) {
            None => Class::WarmUp,
            Some(_) if is_flood => Class::Flood,
            Some(_) => Class::Measured,
        };
        let traffic = match class {
            Class::Flood => embedded.site.traffic[0],
            _ => pick_traffic(embedded.site.traffic, hash::mix(random, 3)),
        };
        let number = summary.sent;
        let planned = PlannedRequest {
            class,
            documents: embedded.documents.clone(),
            address: callers[number % callers.len()],
            traffic,
            body: body(traffic, plan.seed, number, hash::mix(random, 7)),
            sent_at: at.saturating_sub(plan.warm_up),
        };
        summary.sent += 1;
        running.spawn(send_and_record(client.clone(), planned));
    }
    while let Some(sample) = running.join_next().await {
        summary.samples.extend(sample.ok());
    }
    summary
}

/// Sends the requests that crash engines, each several times, from the start of
/// the disturbance to the end of the run. Does nothing in other scenarios.
async fn send_crash_requests(embedded: &Embedded, plan: &Plan, origin: Instant) -> Vec<Sample> {
    if plan.scenario != Scenario::Crash {
        return Vec::new();
    }
    let callers = callers(embedded);
    let client = http_client::new();
    let (mut at, _) = scenario::disturbance_span(plan.span);
    let mut running = JoinSet::new();
    while at < plan.span {
        tokio::time::sleep_until((origin + at).into()).await;
        let traffic = embedded.site.traffic[0];
        let number = running.len();
        let planned = PlannedRequest {
            class: Class::Crash,
            documents: embedded.documents.clone(),
            address: callers[number % callers.len()],
            traffic,
            body: format!("{CRASH_TEXT}-{}-{number}", plan.seed).into(),
            sent_at: at,
        };
        let client = client.clone();
        running.spawn(async move {
            let mut samples = Vec::new();
            for _ in 0..=CRASH_RETRIES {
                samples.push(send_and_record(client.clone(), planned.clone()).await);
            }
            samples
        });
        at += CRASH_INTERVAL;
    }
    let samples = running.join_all().await;
    samples.into_iter().flatten().collect()
}

fn callers(embedded: &Embedded) -> Vec<SocketAddr> {
    let daemons = embedded.daemons.iter();
    daemons.map(|daemon| daemon.local().callers).collect()
}

/// Returns whether an arrival belongs to the flood instead of the usual load.
/// While the rate is `factor` times the usual one, all but one in `factor` do.
fn is_flood(plan: &Plan, factor: u32, random: u64) -> bool {
    plan.scenario == Scenario::Flood && !random.is_multiple_of(u64::from(factor))
}

/// Makes a body from a shared prompt prefix and a unique suffix. Prefixes with
/// lower numbers are more frequent.
fn body(traffic: Traffic, seed: u64, number: usize, random: u64) -> Bytes {
    let pipeline = traffic.pipeline;
    let prompt = (random % PROMPT_COUNT).min((random >> 32) % PROMPT_COUNT);
    let words = format!("{pipeline} prompt {prompt} ");
    let shared: String = words.chars().cycle().take(PROMPT_BYTES).collect();
    format!("{shared}{pipeline}-{seed}-{number}").into()
}

/// A request before it is sent.
#[derive(Clone)]
struct PlannedRequest {
    class: Class,
    documents: Arc<[TeamSettings]>,
    address: SocketAddr,
    traffic: Traffic,
    body: Bytes,
    sent_at: Duration,
}

async fn send_and_record(client: HttpClient, planned: PlannedRequest) -> Sample {
    let started = Instant::now();
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, send(&client, &planned)).await;
    let latency = started.elapsed();
    let (outcome, costs) = match answered {
        Ok(Ok((headers, answer))) => (
            classify_answer(&planned, &headers, &answer),
            costs(&headers),
        ),
        _ => (Outcome::Lost, Vec::new()),
    };
    Sample {
        class: planned.class,
        body: planned.body,
        workspace: planned.traffic.workspace,
        pipeline: planned.traffic.pipeline,
        sent_at: planned.sent_at,
        latency,
        outcome,
        costs,
    }
}

async fn send(client: &HttpClient, planned: &PlannedRequest) -> anyhow::Result<(HeaderMap, Bytes)> {
    let Traffic {
        workspace,
        pipeline,
        ..
    } = planned.traffic;
    let address = planned.address;
    let uri = format!("http://{address}/v1/workspaces/{workspace}/pipelines/{pipeline}");
    let credential = site::credential(workspace);
    let key = hash::bytes(&planned.body);
    let request = Request::post(uri)
        .header("authorization", format!("Bearer {credential}"))
        .header(header::IDEMPOTENCY_KEY, format!("{key:016x}"))
        .header(header::IDEMPOTENCY_ATTEMPT, 1)
        .body(Full::new(planned.body.clone()))?;
    let response = client.request(request).await?;
    let (head, body) = response.into_parts();
    let collected = body.collect().await?;
    Ok((head.headers, collected.to_bytes()))
}

fn classify_answer(planned: &PlannedRequest, headers: &HeaderMap, answer: &[u8]) -> Outcome {
    if let Some(kind) = header::read(headers, header::ERROR) {
        return Outcome::Refused(kind);
    }
    let inputs = inputs(&planned.documents, &planned.traffic, &planned.body);
    if inputs.last().is_none_or(|expected| expected.body != answer) {
        return Outcome::Wrong;
    }
    match header::read(headers, header::LATE) {
        Some(true) => Outcome::Late,
        _ => Outcome::Answered,
    }
}

/// Input of one stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Input {
    /// The stage; `None` for the answer to the client.
    pub stage: Option<Stage>,
    /// The body.
    pub body: Vec<u8>,
}

/// Returns the inputs of all stages of a request, computed from the output of
/// the stand-in targets, and as the last element the answer to the client. The
/// result is empty if the pipeline is unknown.
#[must_use]
pub fn inputs(documents: &[TeamSettings], traffic: &Traffic, body: &[u8]) -> Vec<Input> {
    let team = traffic
        .workspace
        .split_once('.')
        .map_or("", |(team, _)| team);
    let mut documents = documents.iter();
    let Some(document) = documents.find(|document| document.team.as_str() == team) else {
        return Vec::new();
    };
    let name = traffic.pipeline.parse().ok();
    let Some(pipeline) = name.and_then(|name| document.pipeline(&name)) else {
        return Vec::new();
    };
    let mut body = body.to_vec();
    let mut inputs = Vec::new();
    for stage in &pipeline.stages {
        let kind = document.pool(&stage.pool).map(|pool| pool.kind);
        let output = kind.map(|kind| target::output(kind, &body));
        inputs.push(Input {
            stage: Some(stage.clone()),
            body: std::mem::replace(&mut body, output.unwrap_or_default()),
        });
    }
    inputs.push(Input { stage: None, body });
    inputs
}

fn costs(headers: &HeaderMap) -> Vec<StageCost> {
    let text = header::text(headers, header::COST).unwrap_or_default();
    let stages = text.split(", ").filter(|stage| !stage.is_empty());
    stages.map(read_cost).collect()
}

fn read_cost(text: &str) -> StageCost {
    let mut parts = text.split(';');
    let mut cost = StageCost {
        stage: parts.next().unwrap_or_default().to_owned(),
        ..StageCost::default()
    };
    for (name, value) in parts.filter_map(|part| part.split_once('=')) {
        let value = value.parse().unwrap_or(0);
        match name {
            "attempts" => cost.attempts = value,
            "target-ms" => cost.target_ms = value,
            "wasted-ms" => cost.wasted_ms = value,
            _ => {}
        }
    }
    cost
}

/// Draws the time to the next arrival of a Poisson process, `rate` in arrivals
/// per second.
pub(crate) fn arrival_gap(random: u64, rate: u32) -> Duration {
    // An f64 represents 53 bits exactly; adding one avoids the logarithm of zero.
    #[allow(clippy::cast_precision_loss)]
    let uniform = ((random >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    Duration::from_secs_f64(-uniform.ln() / f64::from(rate.max(1)))
}

fn pick_traffic(traffic: &[Traffic], random: u64) -> Traffic {
    let total: u64 = traffic.iter().map(|entry| u64::from(entry.share)).sum();
    let mut left = random % total.max(1);
    for entry in traffic {
        let share = u64::from(entry.share);
        if left < share {
            return *entry;
        }
        left -= share;
    }
    traffic[0]
}
