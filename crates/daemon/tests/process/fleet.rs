//! The test fleet: daemon processes, stand-ins for the platform and the targets,
//! and an HTTP caller.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_connectors::http_client::HttpClient;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::settings::TargetKind;
use gooseberry_standin::platform;
use gooseberry_standin::platform::Endpoint;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::target;
use gooseberry_standin::target::Plan;
use gooseberry_standin::target::Target;
use gooseberry_wire::header;
use http::HeaderMap;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde_json::Value;

use crate::process::Process;

/// How long a test waits for a condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// How often a test checks a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The failure domains; each has one daemon and one target per pool.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The fleet's settings document, with short time limits.
pub const FLEET_SETTINGS: &str = r#"{ "freshness_ms": 800, "exchange_ms": 100, "horizon_ms": 4000,
  "dropped_memory_ms": 30000, "readers": 1, "out": [] }"#;

/// The team's settings document. Both workspaces may use the same pipelines, but
/// only the attempt numbers of `one` are trusted.
pub const TEAM_SETTINGS: &str = r#"{
  "pools": {
    "ledger": { "kind": "service", "cold_limit": 2, "warm_limit": 8, "queue_limit": 64,
      "longest_call_ms": 1500, "warm_after": 4, "prefix_bytes": 64 },
    "llm": { "kind": "engine", "model": "m", "cold_limit": 2, "warm_limit": 8, "queue_limit": 64,
      "longest_call_ms": 1500, "warm_after": 4, "prefix_bytes": 64 }
  },
  "pipelines": {
    "post": { "deadline_ms": 5000,
      "stages": [{ "name": "post", "pool": "ledger", "idempotent": false, "attempts": 1 }] },
    "read": { "deadline_ms": 5000, "stages": [{ "name": "read", "pool": "ledger" }] },
    "brief": { "deadline_ms": 8000, "stages": [
      { "name": "encode", "pool": "ledger" }, { "name": "generate", "pool": "llm", "weight": 2 }] }
  },
  "workspaces": {
    "one": { "credential_sha256": "535a38e776781038a8227164b34a9e40e53c87f6f7827e586a6480860bc2bf8e",
      "weight": 1, "pipelines": ["post", "read", "brief"], "trusts_attempt_number": true },
    "two": { "credential_sha256": "8acb653d8459094d9fecd5c5f4f42941e7d6b031d307e4755f1227cc954ecd27",
      "weight": 1, "pipelines": ["post", "read", "brief"] }
  }
}"#;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub workspace: &'static str,
    pub pipeline: &'static str,
    pub body: String,
    pub key: Option<String>,
    pub attempt: u32,
}

impl Call {
    /// Makes a request without a key.
    pub fn new(pipeline: &'static str, body: impl Into<String>) -> Self {
        Self {
            workspace: "one",
            pipeline,
            body: body.into(),
            key: None,
            attempt: 1,
        }
    }

    /// Makes a request that must run at most once; its key is its body.
    pub fn post(body: impl Into<String>) -> Self {
        let mut call = Self::new("post", body);
        call.key = Some(call.body.clone());
        call
    }

    /// Returns the same request with the next attempt number.
    pub fn next_try(&self) -> Self {
        let attempt = self.attempt + 1;
        Self {
            attempt,
            ..self.clone()
        }
    }

    /// Returns the body that the targets answer with.
    pub fn expected_body(&self) -> Vec<u8> {
        let first = target::output(TargetKind::Service, self.body.as_bytes());
        match self.pipeline {
            "brief" => target::output(TargetKind::Engine, &first),
            _ => first,
        }
    }
}

/// The answer that a caller got.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerAnswer {
    pub fn outcome(&self) -> &str {
        header::text(&self.headers, header::OUTCOME).unwrap_or_default()
    }

    pub fn error(&self) -> &str {
        header::text(&self.headers, header::ERROR).unwrap_or_default()
    }

    pub fn is_replayed(&self) -> bool {
        header::read(&self.headers, header::REPLAYED) == Some(true)
    }
}

/// A stand-in target and the id under which it is listed.
pub struct ListedTarget {
    pub id: String,
    pub domain: &'static str,
    pub target: Target,
}

/// A running fleet; dropping it ends all daemons and stand-ins.
pub struct Fleet {
    pub platform: Platform,
    /// The platform's addresses, one for each daemon; empty if they share one.
    pub platform_ports: Vec<Endpoint>,
    pub targets: Vec<ListedTarget>,
    pub daemons: Vec<Process>,
    pub client: HttpClient,
}

impl Fleet {
    /// Starts with the default settings and targets.
    pub async fn start_default() -> Self {
        Self::start(FLEET_SETTINGS, Plan::default()).await
    }

    /// Starts the platform and, in each failure domain, one daemon and one target
    /// of each pool; waits until the daemons are ready.
    pub async fn start(document: &str, plan: Plan) -> Self {
        let platform = Platform::start().await.unwrap();
        Self::start_on(platform, Vec::new(), document, plan).await
    }

    /// Starts with a separate platform address for each daemon, so that faults
    /// can be set for each one.
    pub async fn start_with_separate_platform_ports(document: &str, plan: Plan) -> Self {
        let platform = Platform::start().await.unwrap();
        let mut platform_ports = Vec::new();
        for _ in DOMAINS {
            platform_ports.push(platform.open_endpoint().await.unwrap());
        }
        Self::start_on(platform, platform_ports, document, plan).await
    }

    async fn start_on(
        platform: Platform,
        platform_ports: Vec<Endpoint>,
        document: &str,
        plan: Plan,
    ) -> Self {
        platform.put("/fleet", document);
        platform.put("/teams/desk", TEAM_SETTINGS);
        let mut fleet = Self {
            platform,
            platform_ports,
            targets: Vec::new(),
            daemons: Vec::new(),
            client: http_client::new(),
        };
        for (pool, kind) in [("ledger", TargetKind::Service), ("llm", TargetKind::Engine)] {
            for domain in DOMAINS {
                let plan = Plan {
                    kind,
                    ..plan.clone()
                };
                fleet.add_target(pool, domain, plan).await;
            }
        }
        for (index, domain) in DOMAINS.iter().enumerate() {
            fleet.start_daemon(&format!("entry-{}", index + 1), domain);
        }
        fleet.publish_daemons();
        fleet.wait_until_settled().await;
        fleet
    }

    /// Starts a target and adds it to the published list.
    pub async fn add_target(&mut self, pool: &str, domain: &'static str, plan: Plan) {
        let target = Target::start(plan).await.unwrap();
        let id = format!("{pool}-{domain}");
        let address = target.address();
        let entry = platform::live_target(&id, &format!("desk.{pool}"), domain, address);
        self.platform.add_targets(vec![entry]);
        self.targets.push(ListedTarget { id, domain, target });
    }

    /// Returns the index of the daemon that owns the key of a call, according to
    /// the published list.
    pub fn key_owner(&self, call: &Call) -> usize {
        let key = Key {
            workspace: format!("desk.{}", call.workspace).parse().unwrap(),
            pipeline: call.pipeline.parse().unwrap(),
            text: call.key.clone().unwrap(),
        };
        let list = PublishedList::try_from(self.platform.list()).unwrap();
        let owner = list.owner_of_key(key.hash()).unwrap().id.clone();
        let is_owner = |daemon: &Process| daemon.id == owner.as_str();
        self.daemons.iter().position(is_owner).unwrap()
    }

    /// Partitions a daemon from all others, in both directions, and from the
    /// platform if it has its own platform address.
    pub async fn isolate(&self, index: usize) {
        if let Some(platform_port) = self.platform_ports.get(index) {
            platform_port.set_fault(platform::Fault::Down);
        }
        let others = self
            .daemons
            .iter()
            .filter(|daemon| daemon.id != self.daemons[index].id);
        let others: Vec<&str> = others.map(|daemon| daemon.id.as_str()).collect();
        self.set_blocked_peers(index, &others).await;
        for other in 0..self.daemons.len() {
            if other != index {
                self.set_blocked_peers(other, &[&self.daemons[index].id])
                    .await;
            }
        }
    }

    /// Ends all partitions.
    pub async fn end_isolation(&self) {
        for platform_port in &self.platform_ports {
            platform_port.set_fault(platform::Fault::None);
        }
        for index in 0..self.daemons.len() {
            self.set_blocked_peers(index, &[]).await;
        }
    }

    async fn set_blocked_peers(&self, index: usize, peers: &[&str]) {
        let body = serde_json::json!({ "cut": peers }).to_string();
        let answer = self.post_operators(index, "/v1/faults", &body).await;
        assert_eq!(answer.status, 200);
    }

    /// Starts a daemon that is not yet listed.
    pub fn start_daemon(&mut self, id: &str, domain: &str) -> usize {
        let platform_port = self
            .platform_ports
            .get(self.daemons.len())
            .map(Endpoint::address);
        let address = platform_port.unwrap_or(self.platform.address());
        self.daemons.push(Process::start(id, domain, address));
        self.daemons.len() - 1
    }

    /// Replaces a daemon by a new process at the same addresses.
    pub fn restart(&mut self, index: usize) {
        let fresh = self.daemons[index].restart(self.platform.address());
        self.daemons[index] = fresh;
    }

    /// Publishes every started daemon in one revision of the list.
    pub fn publish_daemons(&self) {
        let listed = self.daemons.iter().map(Process::list_entry).collect();
        self.platform.change_list(|list| list.instances = listed);
    }

    /// Waits until every daemon has the published revisions and is ready.
    pub async fn wait_until_settled(&self) {
        for index in 0..self.daemons.len() {
            self.wait_until_daemon_settled(index).await;
        }
    }

    /// Waits until one daemon has the published revisions and is ready.
    pub async fn wait_until_daemon_settled(&self, index: usize) {
        wait_until("the daemon has settled", async || {
            let Some(status) = self.status(index).await else {
                return false;
            };
            status["ready"] == true
                && status["holds_rights"] == true
                && status["list_revision"] == self.platform.list().revision
                && status["settings_revision"] == self.platform.settings().revision
        })
        .await;
    }

    /// Starts a fleet whose calls take this long, and waits until every target is warm.
    pub async fn start_warm(document: &str, work_ms: u64) -> Self {
        let plan = Plan {
            work: Duration::from_millis(work_ms),
            ..Plan::default()
        };
        let fleet = Self::start(document, plan).await;
        fleet.warm_up().await;
        fleet
    }

    /// Sends requests until every target is warm.
    pub async fn warm_up(&self) {
        let mut number = 0;
        wait_until("every target is warm", async || {
            number += 1;
            let call = Call::new("brief", format!("warm-up-{number}"));
            self.send_until_answered(number % 3, &call).await;
            self.targets.iter().all(|listed| listed.target.is_warm())
        })
        .await;
    }

    /// Reads the status page of a daemon; `None` if it does not answer.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let address = self.daemons[index].operators;
        let request = Request::get(format!("http://{address}/v1/status"));
        let request = request.body(Full::default()).unwrap();
        let answer = self.send_http(request).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Posts a JSON body to the operators' port of a daemon.
    pub async fn post_operators(&self, index: usize, path: &str, body: &str) -> CallerAnswer {
        let address = self.daemons[index].operators;
        let request = Request::post(format!("http://{address}{path}"));
        let request = request.body(Full::from(body.to_owned())).unwrap();
        self.send_http(request).await.unwrap()
    }

    /// Sends a request to a daemon.
    pub async fn send(&self, index: usize, call: &Call) -> anyhow::Result<CallerAnswer> {
        let request = request(&self.daemons[index], call);
        self.send_http(request).await
    }

    /// Sends a request to a daemon, with increasing attempt numbers, until it is
    /// answered with status 200.
    pub async fn send_until_answered(&self, index: usize, call: &Call) -> CallerAnswer {
        let mut call = call.clone();
        let started = Instant::now();
        loop {
            let answer = self.send(index, &call).await;
            match answer {
                Ok(answer) if answer.status == 200 => return answer,
                other => assert!(started.elapsed() < WAIT_TIMEOUT, "{call:?} got {other:?}"),
            }
            call = call.next_try();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn send_http(&self, request: Request<Full<Bytes>>) -> anyhow::Result<CallerAnswer> {
        let answer = tokio::time::timeout(WAIT_TIMEOUT, self.client.request(request)).await??;
        let (head, body) = answer.into_parts();
        let body = tokio::time::timeout(WAIT_TIMEOUT, body.collect()).await??;
        Ok(CallerAnswer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    /// Returns how often the targets of the fleet ran the body.
    pub fn run_count(&self, body: &str) -> usize {
        let journals = self.targets.iter().map(|listed| listed.target.journal());
        let entries = journals.flatten();
        entries
            .filter(|entry| entry.body == body.as_bytes())
            .count()
    }

    /// Returns the number of calls above the cold limit, over all targets.
    pub fn overruns(&self) -> usize {
        self.targets
            .iter()
            .map(|listed| listed.target.overruns())
            .sum()
    }

    /// Fails if a daemon has logged a violated invariant.
    pub fn assert_invariants(&self) {
        for daemon in &self.daemons {
            let log = daemon.log();
            assert!(!log.contains("invariant violated"), "{}: {log}", daemon.id);
        }
    }
}

/// Makes the HTTP request of a call.
pub fn request(daemon: &Process, call: &Call) -> Request<Full<Bytes>> {
    let address = daemon.callers;
    let workspace = call.workspace;
    let pipeline = call.pipeline;
    let uri = format!("http://{address}/v1/workspaces/desk.{workspace}/pipelines/{pipeline}");
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(uri)
        .header("authorization", format!("Bearer demo-desk.{workspace}"));
    if let Some(key) = &call.key {
        builder = builder
            .header(header::IDEMPOTENCY_KEY, key)
            .header(header::IDEMPOTENCY_ATTEMPT, call.attempt);
    }
    builder.body(Full::from(call.body.clone())).unwrap()
}

/// Waits until the condition holds, and fails after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
