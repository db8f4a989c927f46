//! The test platform: a stand-in store and targets, and daemons that use them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::retry_budget::RetryBudgetLimits;
use gooseberry_platform::boot::Boot;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::store::Store;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

/// How long a test waits for an expected state. It is not a limit that the system
/// has to meet.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The settings with which most tests start.
pub const SETTINGS: &str = r#"{
  "version": 1,
  "routes": [
    {"name": "r-once", "host": "a.example", "prefix": "/once/", "kind": "non_idempotent",
     "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "plain",
     "max_attempts": 1},
    {"name": "r-read", "host": "a.example", "prefix": "/read/", "kind": "idempotent",
     "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "plain",
     "max_attempts": 2},
    {"name": "r-stream", "host": "a.example", "prefix": "/stream/", "kind": "streaming",
     "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1, "service": "engine",
     "max_attempts": 1, "target_gap_ms": 300},
    {"name": "r-resume", "host": "a.example", "prefix": "/resume/", "kind": "streaming",
     "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1, "service": "engine",
     "max_attempts": 2, "resumable": true, "target_gap_ms": 300},
    {"name": "r-staged", "host": "a.example", "prefix": "/staged/", "kind": "streaming",
     "timeout_ms": 8000, "target_latency_ms": 2000, "priority": 0, "service": "engine",
     "max_attempts": 1, "target_gap_ms": 300,
     "stages": [{"service": "first", "after": [], "bytes": 1000},
                {"service": "second", "after": [0], "bytes": 1000}]},
    {"name": "r-long", "host": "a.example", "prefix": "/long/", "kind": "streaming",
     "timeout_ms": 8000, "target_latency_ms": 2000, "priority": 0, "service": "engine",
     "max_attempts": 2, "target_gap_ms": 300, "resumable": true,
     "stages": [{"service": "first", "after": [], "bytes": 1000}]},
    {"name": "r-open", "host": "a.example", "prefix": "/open/", "kind": "idempotent",
     "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "plain",
     "max_attempts": 2, "anonymous": true}
  ],
  "services": [
    {"name": "plain", "max_conns": 100},
    {"name": "engine", "max_conns": 100, "engine": {"slots": 8, "kv_capacity": 1000}},
    {"name": "first", "max_conns": 100, "pieces": {"slots": 1, "queue": 2, "batch": 8,
     "call_ms": 40, "item_ms": 1, "headroom_mb": 10, "handle_s": 3}},
    {"name": "second", "max_conns": 100, "pieces": {"slots": 1, "queue": 2, "batch": 8,
     "call_ms": 40, "item_ms": 1, "headroom_mb": 10, "handle_s": 3}}
  ],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "w-1", "api_keys": ["key-1", "key-2"], "priority": 1}]
}"#;

/// The store and the targets, two for each service.
pub struct TestPlatform {
    pub store: Store,
    pub plain: [Target; 2],
    pub engines: [Target; 2],
    pub first: [Target; 2],
    pub second: [Target; 2],
}

impl TestPlatform {
    pub async fn start() -> Self {
        let store = Store::start().await;
        let pair = async |name: &str| {
            [
                Target::start(&format!("{name}-1")).await,
                Target::start(&format!("{name}-2")).await,
            ]
        };
        let platform = Self {
            plain: pair("plain").await,
            engines: pair("engine").await,
            first: pair("first").await,
            second: pair("second").await,
            store,
        };
        platform.store.put("op/config", SETTINGS);
        for (service, targets) in [
            ("plain", &platform.plain),
            ("engine", &platform.engines),
            ("first", &platform.first),
            ("second", &platform.second),
        ] {
            for target in targets {
                platform.list_target(target, service, "ready");
            }
        }
        platform
    }

    /// Publishes a target in the store: in the failure domain z-1 if its name ends
    /// with 1, else in z-2.
    pub fn list_target(&self, target: &Target, service: &str, state: &str) {
        let zone = if target.name.ends_with('1') {
            "z-1"
        } else {
            "z-2"
        };
        let key = format!("servers/{}", target.name);
        self.store.put(&key, &target.entry(service, zone, state));
    }

    /// Starts a daemon with these seeds, and waits until it knows the settings and
    /// all targets.
    pub async fn daemon(&self, number: u8, seeds: &[SocketAddr]) -> Daemon {
        let daemon = self.unready_daemon(number, seeds).await;
        wait_until("the daemon is ready", || is_ready_with(&daemon, 8)).await;
        daemon
    }

    /// Starts three daemons, and waits until they know each other.
    pub async fn fleet(&self) -> Vec<Daemon> {
        let first = self.daemon(1, &[]).await;
        let seed = first.context().boot.peer_address;
        let mut daemons = vec![first];
        for number in 2..=3 {
            daemons.push(self.daemon(number, &[seed]).await);
        }
        wait_until("all daemons know each other", || {
            let knows_all = |daemon: &Daemon| {
                let now = daemon.context().now();
                daemon.context().state().members().live(now).len() == 3
            };
            daemons.iter().all(knows_all)
        })
        .await;
        daemons
    }

    /// Starts a daemon with these seeds.
    pub async fn unready_daemon(&self, number: u8, seeds: &[SocketAddr]) -> Daemon {
        start_daemon(number, seeds, self.store.address).await
    }

    /// Returns how many requests have reached the targets of the plain service.
    pub fn plain_requests(&self) -> usize {
        let targets = self.plain.iter();
        targets.map(|target| target.received().len()).sum()
    }

    /// Returns how many requests of an attempt have reached targets.
    pub fn runs(&self, attempt: &str) -> usize {
        let all = [&self.plain, &self.engines];
        let seen = all.into_iter().flatten().flat_map(Target::received);
        seen.filter(|request| request.header("Attempt-Id") == attempt)
            .count()
    }
}

/// Starts the platform, and one daemon that is ready.
pub async fn start_one() -> (TestPlatform, Daemon) {
    let platform = TestPlatform::start().await;
    let daemon = platform.daemon(1, &[]).await;
    (platform, daemon)
}

/// Sends a request to a daemon, and returns the answer.
pub async fn answer_to(client: &ClientRequest, daemon: &Daemon) -> Answer {
    let answer = client.send(client_address(daemon)).await;
    answer.expect("an answer")
}

/// Sends a request to a daemon, and returns the answer, which must be whole.
pub async fn complete_answer_to(client: &ClientRequest, daemon: &Daemon) -> Answer {
    let answer = answer_to(client, daemon).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    answer
}

/// Starts a daemon that reads this store. It may retry soon after its start, since its
/// part of the retry budget's slack is large.
pub async fn start_daemon(number: u8, seeds: &[SocketAddr], store_address: SocketAddr) -> Daemon {
    let limits = RetryBudgetLimits {
        retries_per_thousand: 200,
        slack_retries: 10_000,
        window: Millis(10_000),
    };
    start_daemon_with(number, seeds, store_address, limits).await
}

/// Starts a daemon that reads this store, with this retry budget.
pub async fn start_daemon_with(
    number: u8,
    seeds: &[SocketAddr],
    store_address: SocketAddr,
    retry_budget: RetryBudgetLimits,
) -> Daemon {
    let [client_address, ready_address, peer_address, detour_address] = unused_addresses();
    let boot = Boot {
        name: name::Member::new(&format!("d-{number}")),
        domain: name::Domain::new("z-1"),
        client_address,
        ready_address,
        peer_address,
        detour_address: Some(detour_address),
        ip: client_address.ip(),
        seeds: seeds.to_vec(),
        store_address,
        cpu_millicores: 250,
        memory_bytes: 260 << 20,
        max_connections: 1_000,
        shutdown_grace: Millis(4_000),
        retry_budget,
        leaving_time: Millis(2_000),
        store_history: Millis(20_000),
    };
    Daemon::start(boot).await.expect("the ports are free")
}

/// Returns the address at which clients reach a daemon.
pub fn client_address(daemon: &Daemon) -> SocketAddr {
    daemon.context().boot.client_address
}

/// Returns whether a daemon is ready and knows this number of targets.
pub fn is_ready_with(daemon: &Daemon, targets: usize) -> bool {
    let state = daemon.context().state();
    state.is_ready() && state.listed_count() == targets
}

/// How often the stream of a request breaks off until it is in quarantine, which ends its answer.
pub const BREAKS: usize = 3;

/// The modes of engines that break a stream off within its third event until its answer ends.
pub const BREAK_OFF: [Mode; BREAKS] = [Mode::DisconnectWithin(3); BREAKS];

/// Makes a request differ from all others, so that the quarantine of its stream is its own.
pub fn distinct(client: ClientRequest) -> ClientRequest {
    let body = client.attempt.clone();
    client.body(&body)
}

/// Waits until a condition holds; `description` completes "waiting until".
pub async fn wait_until(description: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < end,
            "timed out waiting until {description}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Sends requests until one gets this status.
pub async fn wait_for_status(daemon: &Daemon, client: impl Fn() -> ClientRequest, status: u16) {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = client().send(client_address(daemon)).await;
        let found = answer.map(|answer| answer.status);
        if found == Some(status) {
            return;
        }
        assert!(
            Instant::now() < end,
            "timed out waiting for status {status}, got {found:?}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns addresses that no other daemon uses: for clients, readiness, peers and
/// detours.
fn unused_addresses() -> [SocketAddr; 4] {
    let ip = unused_ip();
    [8001, 8002, 8003, 8004].map(|port| (ip, port).into())
}

/// Returns a loopback address that nothing else uses.
///
/// Each daemon gets an address of its own, since a port that was free a moment ago
/// may have become the source port of another test's connection.
pub fn unused_ip() -> Ipv4Addr {
    static DAEMONS: AtomicU32 = AtomicU32::new(1);
    let number = DAEMONS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() % 65_536;
    let part = |value: u32| u8::try_from(value % 256).expect("it is below 256");
    let octets = [127, 1 + part(process) / 2, part(process >> 8), part(number)];
    let ip = octets.into();
    // A run may start more daemons than there are numbers, while early ones still serve.
    if TcpListener::bind((ip, 8001)).is_err() {
        return unused_ip();
    }
    ip
}
