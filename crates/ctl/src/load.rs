//! Sends requests at a site, open loop from a seed, and accounts for each.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_connectors::http_client::HttpClient;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::hash;
use gooseberry_kernel::settings::Pipeline;
use gooseberry_standin::site;
use gooseberry_standin::site::Site;
use gooseberry_standin::site::Traffic;
use gooseberry_standin::target;
use gooseberry_wire::header;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::task::JoinSet;

use crate::embedded::Embedded;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The seed of the arrivals.
    pub seed: u64,
    /// Requests in each second.
    pub rate: u32,
    /// How long requests are sent.
    pub span: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            rate: 100,
            span: Duration::from_secs(10),
        }
    }
}

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was answered whole within its deadline.
    Answered,
    /// It was answered whole after its deadline, and flagged.
    Late,
    /// It was refused or failed, for the reason.
    Refused(Kind),
    /// Its answer was wrong: cut, or another request's.
    Wrong,
    /// There was no answer.
    Lost,
}

/// One request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The workspace.
    pub workspace: &'static str,
    /// The pipeline.
    pub pipeline: &'static str,
    /// When it was sent, from the start of the load.
    pub sent_at: Duration,
    /// How long its answer took.
    pub latency: Duration,
    /// How it ended.
    pub ending: Ending,
    /// What its stages cost, as the answer told.
    pub costs: Vec<StageCost>,
}

/// What one stage of one request cost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StageCost {
    /// The stage.
    pub stage: String,
    /// How many attempts it took.
    pub attempts: u64,
    /// How long targets worked on it, in milliseconds.
    pub target_ms: u64,
    /// How much of that was wasted, in milliseconds.
    pub wasted_ms: u64,
}

/// What came of a load.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// How many requests were sent.
    pub sent: usize,
    /// Each request that ended.
    pub samples: Vec<Sample>,
}

impl Summary {
    /// Counts the requests that ended in a way.
    #[must_use]
    pub fn count(&self, is_meant: impl Fn(&Ending) -> bool) -> usize {
        let ended = self.samples.iter().map(|sample| &sample.ending);
        ended.filter(|ending| is_meant(ending)).count()
    }

    /// Tells whether each request was answered, late and flagged, or refused
    /// with a reason, and none was lost or wrong.
    #[must_use]
    pub fn is_accounted(&self) -> bool {
        let is_told = |ending: &Ending| !matches!(ending, Ending::Wrong | Ending::Lost);
        self.count(is_told) == self.sent
    }
}

/// Runs a load on a site.
pub async fn run(embedded: &Embedded, plan: &Plan) -> Summary {
    let callers: Vec<SocketAddr> = embedded
        .daemons
        .iter()
        .map(|one| one.local().callers)
        .collect();
    let client = http_client::new();
    let started = Instant::now();
    let mut summary = Summary::default();
    let mut running = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut random = plan.seed;
    loop {
        random = hash::mix(random, plan.seed);
        at += gap(random, plan.rate);
        if at >= plan.span {
            break;
        }
        tokio::time::sleep_until((started + at).into()).await;
        let shot = Shot {
            site: embedded.site,
            address: callers[summary.sent % callers.len()],
            traffic: pick(embedded.site.traffic, hash::mix(random, 3)),
            number: summary.sent,
            seed: plan.seed,
            sent_at: at,
        };
        summary.sent += 1;
        running.spawn(shoot(client.clone(), shot));
    }
    while let Some(sample) = running.join_next().await {
        summary.samples.extend(sample.ok());
    }
    summary
}

/// One request that is to be sent.
struct Shot {
    site: Site,
    address: SocketAddr,
    traffic: Traffic,
    number: usize,
    seed: u64,
    sent_at: Duration,
}

async fn shoot(client: HttpClient, shot: Shot) -> Sample {
    let body = format!("{}-{}-{}", shot.traffic.pipeline, shot.seed, shot.number);
    let started = Instant::now();
    let answered = tokio::time::timeout(PATIENCE, send(&client, &shot, &body)).await;
    let latency = started.elapsed();
    let (ending, costs) = match answered {
        Ok(Ok((headers, answer))) => (judge(&shot, &body, &headers, &answer), costs(&headers)),
        _ => (Ending::Lost, Vec::new()),
    };
    Sample {
        workspace: shot.traffic.workspace,
        pipeline: shot.traffic.pipeline,
        sent_at: shot.sent_at,
        latency,
        ending,
        costs,
    }
}

async fn send(client: &HttpClient, shot: &Shot, body: &str) -> anyhow::Result<(HeaderMap, Bytes)> {
    let Traffic {
        workspace,
        pipeline,
        ..
    } = shot.traffic;
    let address = shot.address;
    let uri = format!("http://{address}/v1/workspaces/{workspace}/pipelines/{pipeline}");
    let credential = site::credential(workspace);
    let request = Request::post(uri)
        .header("authorization", format!("Bearer {credential}"))
        .header(header::IDEMPOTENCY_KEY, body)
        .header(header::IDEMPOTENCY_ATTEMPT, 1)
        .body(Full::new(Bytes::from(body.to_owned())))?;
    let response = client.request(request).await?;
    let (head, body) = response.into_parts();
    let whole = body.collect().await?;
    Ok((head.headers, whole.to_bytes()))
}

fn judge(shot: &Shot, body: &str, headers: &HeaderMap, answer: &[u8]) -> Ending {
    if let Some(kind) = header::read(headers, header::ERROR) {
        return Ending::Refused(kind);
    }
    if expected(shot, body).as_deref() != Some(answer) {
        return Ending::Wrong;
    }
    match header::read(headers, header::LATE) {
        Some(true) => Ending::Late,
        _ => Ending::Answered,
    }
}

/// Returns the answer that the stand-ins give to the body.
fn expected(shot: &Shot, body: &str) -> Option<Vec<u8>> {
    let (team, _) = shot.traffic.workspace.split_once('.')?;
    let document = shot.site.document(team)?;
    let pipeline: &Pipeline = document.pipeline(&shot.traffic.pipeline.parse().ok()?)?;
    let mut answer = body.as_bytes().to_vec();
    for stage in &pipeline.stages {
        answer = target::output(document.pool(&stage.pool)?.kind, &answer);
    }
    Some(answer)
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

/// Draws the gap to the next arrival of a Poisson process.
fn gap(random: u64, rate: u32) -> Duration {
    // The upper 53 bits fit a float exactly; one is added to leave zero out.
    #[allow(clippy::cast_precision_loss)]
    let uniform = ((random >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    Duration::from_secs_f64(-uniform.ln() / f64::from(rate.max(1)))
}

fn pick(traffic: &[Traffic], random: u64) -> Traffic {
    let total: u64 = traffic.iter().map(|one| u64::from(one.share)).sum();
    let mut left = random % total.max(1);
    for one in traffic {
        let share = u64::from(one.share);
        if left < share {
            return *one;
        }
        left -= share;
    }
    traffic[0]
}
