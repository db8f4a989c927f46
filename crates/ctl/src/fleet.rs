//! Runs a fleet of a given size on the loopback interface, to measure the cost
//! of the control traffic.
//!
//! Only a few targets are running stand-ins. The other entries of the list
//! have the same addresses, in pools that no pipeline calls, so that the list
//! has its full size without a socket for each target.

use std::fmt::Write;
use std::time::Duration;

use anyhow::bail;
use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_connectors::http_client::HttpClient;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id::Digest;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::settings::TargetKind;
use gooseberry_standin::platform;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::target::Plan;
use gooseberry_standin::target::Target;
use gooseberry_wire::header;
use gooseberryd::daemon::Daemon;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;

use crate::embedded;
use crate::score;

/// Names of the failure domains.
const DOMAINS: [&str; 3] = ["one", "two", "three"];
/// Number of targets that run.
const RUNNING_TARGETS: usize = 6;
/// Number of targets in each pool that no pipeline calls.
const POOL_SIZE: usize = 100;
/// The longest call to a target, in milliseconds.
const LONGEST_CALL_MS: u64 = 1000;
/// Interval at which a waiting loop checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time limit for all daemons to become ready.
const READY_LIMIT: Duration = Duration::from_secs(90);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of targets in the list.
    pub targets: usize,
    /// Number of workspaces in the settings.
    pub workspaces: usize,
    /// Interval of the heartbeats to each peer; the freshness is four times
    /// this.
    pub exchange: Millis,
}

impl Shape {
    /// The fleet from which each measurement changes one dimension.
    pub const SMALL: Self = Self {
        daemons: 3,
        targets: 50,
        workspaces: 5,
        exchange: Millis(500),
    };
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-in of the platform.
    pub platform: Platform,
    /// The daemons, all in this process.
    pub daemons: Vec<Daemon>,
    /// The targets that run.
    pub targets: Vec<Target>,
    client: HttpClient,
}

/// The pipeline that a request calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pipeline {
    /// One idempotent stage.
    Read,
    /// One non-idempotent stage.
    Post,
    /// A name that no pipeline has, so that the request is refused.
    Unknown,
}

impl Pipeline {
    const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Post => "post",
            Self::Unknown => "unknown",
        }
    }
}

impl Fleet {
    /// Starts the platform and the targets, but no daemons.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn prepare(shape: &Shape) -> anyhow::Result<Self> {
        let platform = Platform::start().await?;
        let exchange = shape.exchange.0;
        let freshness = exchange * 4;
        let fleet = format!(r#"{{ "freshness_ms": {freshness}, "exchange_ms": {exchange} }}"#);
        platform.put("/fleet", &fleet);
        platform.put("/teams/bench", &team_document(shape));
        let mut targets = Vec::new();
        for _ in 0..RUNNING_TARGETS.min(shape.targets) {
            let plan = Plan {
                kind: TargetKind::Service,
                work: Duration::ZERO,
                is_warm: true,
                ..Plan::default()
            };
            targets.push(Target::start(plan).await?);
        }
        let listed = (0..shape.targets).map(|index| list_entry(&targets, index));
        platform.add_targets(listed.collect());
        Ok(Self {
            platform,
            daemons: Vec::new(),
            targets,
            client: http_client::new(),
        })
    }

    /// Starts the daemons and waits until they hold their leases and calls of
    /// a previous owner cannot run any more.
    ///
    /// # Errors
    /// Returns an error if a daemon does not become ready in time.
    pub async fn start_daemons(&mut self, shape: &Shape) -> anyhow::Result<()> {
        for index in 0..shape.daemons {
            let domain = DOMAINS[index % DOMAINS.len()];
            let instance = format!("bench-{index}");
            let local = embedded::loopback_settings(&instance, domain, self.platform.address())?;
            self.daemons.push(Daemon::start(local).await?);
        }
        self.platform.change_list(|list| {
            list.instances
                .extend(self.daemons.iter().map(embedded::list_entry));
        });
        let ready = async {
            for daemon in &self.daemons {
                while !is_ready(daemon).await {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        if tokio::time::timeout(READY_LIMIT, ready).await.is_err() {
            bail!("the daemons were not ready within {READY_LIMIT:?}");
        }
        // Until then a new owner assumes that calls of the previous owner may
        // still run.
        tokio::time::sleep(Duration::from_millis(LONGEST_CALL_MS)).await;
        Ok(())
    }

    /// Publishes the settings again, under the next revision.
    pub fn publish_settings(&self, shape: &Shape) {
        self.platform.put("/teams/bench", &team_document(shape));
    }

    /// Waits until every daemon has adopted the newest settings.
    pub async fn wait_until_settings_adopted(&self) {
        let newest = self.platform.settings().revision;
        for daemon in &self.daemons {
            let read = |node: &Node, _| node.settings().revision().0;
            while daemon.context().node.read(read).await.unwrap_or(u64::MAX) < newest {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Shuts all daemons down concurrently.
    pub async fn shut_down(&self) {
        let all = self.daemons.iter().map(Daemon::shut_down);
        futures::future::join_all(all).await;
    }

    /// Returns the number of bytes of control messages that all daemons have
    /// sent and received so far.
    #[must_use]
    pub fn control_bytes(&self) -> u64 {
        let texts = self.daemons.iter();
        let texts = texts.map(|daemon| daemon.context().metrics.encode());
        texts
            .map(|text| score::counter_total(&text, "gooseberry_control_bytes_total"))
            .sum()
    }

    /// Sends a request through a daemon and returns whether the response has
    /// the expected status. `number` selects the daemon, and sets the key and the
    /// body.
    pub async fn send(&self, pipeline: Pipeline, number: usize) -> bool {
        let callers = self.daemons[number % self.daemons.len()].local().callers;
        let name = pipeline.label();
        let uri = format!("http://{callers}/v1/workspaces/bench.w0/pipelines/{name}");
        let request = Request::post(uri)
            .header("authorization", format!("Bearer {}", credential(0)))
            .header(header::IDEMPOTENCY_KEY, format!("key-{number}"))
            .header(header::IDEMPOTENCY_ATTEMPT, 1);
        let expected = match pipeline {
            Pipeline::Read | Pipeline::Post => StatusCode::OK,
            Pipeline::Unknown => StatusCode::NOT_FOUND,
        };
        self.exchange(request, number).await == Some(expected)
    }

    /// Sends the same body to a target directly and returns whether it was
    /// answered with status 200.
    pub async fn send_directly(&self, number: usize) -> bool {
        let address = self.targets[number % self.targets.len()].address();
        let request = Request::post(format!("http://{address}/v1/call"));
        let attempt = format!("{:032x}-0-1", 1);
        let request = request.header(header::ATTEMPT, attempt);
        self.exchange(request, number).await == Some(StatusCode::OK)
    }

    async fn exchange(&self, request: http::request::Builder, number: usize) -> Option<StatusCode> {
        let body = Bytes::from(format!("request {number}"));
        let request = request.body(Full::new(body)).ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status)
    }
}

async fn is_ready(daemon: &Daemon) -> bool {
    let read = |node: &Node, now| node.ready().is_ok() && node.holds_leases(now);
    daemon.context().node.read(read).await.unwrap_or(false)
}

fn list_entry(targets: &[Target], index: usize) -> gooseberry_wire::platform::Target {
    let pool = if index < RUNNING_TARGETS {
        "bench.p0".to_owned()
    } else {
        format!("bench.p{}", 1 + index / POOL_SIZE)
    };
    let domain = DOMAINS[index % DOMAINS.len()];
    let address = targets[index % targets.len()].address();
    platform::live_target(&format!("bench-target-{index}"), &pool, domain, address)
}

/// Returns the API credential of the workspace with this index.
fn credential(index: usize) -> String {
    format!("bench-{index}")
}

fn team_document(shape: &Shape) -> String {
    let mut workspaces = String::new();
    for index in 0..shape.workspaces {
        let credential = Digest::of(credential(index).as_bytes());
        // Writing to a string does not fail.
        writeln!(
            workspaces,
            r#"    "w{index}": {{ "credential_sha256": "{credential}", "weight": 1, "pipelines": ["post", "read"], "trusts_attempt_number": true }},"#
        )
        .ok();
    }
    format!(
        r#"{{
  "pools": {{
    "p0": {{ "kind": "service", "cold_limit": 64, "warm_limit": 512, "queue_limit": 512, "longest_call_ms": {LONGEST_CALL_MS}, "warm_after": 4, "prefix_bytes": 0 }}
  }},
  "pipelines": {{
    "read": {{ "deadline_ms": 5000, "stages": [{{ "name": "read", "pool": "p0", "weight": 1 }}] }},
    "post": {{ "deadline_ms": 5000, "stages": [{{ "name": "post", "pool": "p0", "idempotent": false, "attempts": 1, "weight": 1 }}] }}
  }},
  "workspaces": {{
{}
  }}
}}"#,
        workspaces.trim_end().trim_end_matches(',')
    )
}
