//! Large settings, passed on between daemons over slow links.

use std::fmt::Write as _;
use std::time::Duration;

use gooseberry_kernel::fleet::chunks::Outline;
use gooseberry_kernel::fleet::mirror::Changes;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::fleet::replica::Contents;
use gooseberry_kernel::hash;
use gooseberry_kernel::name;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::store::Store;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::is_ready_with;
use crate::platform::start_daemon;
use crate::platform::start_one;
use crate::platform::unused_ip;
use crate::platform::wait_until;
use crate::slow_link;

/// The rate of the slowest links, 10 Mbit/s.
const LINK_BYTES_PER_SECOND: u64 = 1_250_000;
/// How long new settings may take to be in force everywhere.
const SETTINGS_TIME: Duration = Duration::from_secs(3);
/// How long a target that leaves may still get requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Routes whose settings take over a second on such a link.
const ROUTES: u64 = 4_200;

/// Returns the settings with this version and this many more routes.
fn settings(version: u64, routes: u64) -> String {
    let mut added = String::new();
    for number in 0..routes {
        let name = hash::mix(1, number);
        let prefix = hash::mix(2, number);
        write!(
            added,
            r#"{{"name": "r-{name:x}", "host": "a.example", "prefix": "/{prefix:x}/",
                "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1900,
                "priority": 0, "service": "engine", "max_attempts": 2, "anonymous": false,
                "sticky": true, "resumable": true, "target_gap_ms": 300}},"#
        )
        .expect("a string can be written to");
    }
    SETTINGS
        .replacen("\"version\": 1", &format!("\"version\": {version}"), 1)
        .replacen("\"routes\": [", &format!("\"routes\": [{added}"), 1)
}

/// Starts a daemon that reads the store, and one that is cut off from the store and
/// reaches the first over a slow link.
async fn start_pair(platform: &TestPlatform) -> [Daemon; 2] {
    let unreachable_store = Store::start().await;
    unreachable_store.set_mode(store::Mode::Unresponsive);
    let first = platform.daemon(1, &[]).await;
    let proxies = [unused_ip(), unused_ip()];
    let seed = (proxies[0], first.context().boot.peer_address.port()).into();
    let second = start_daemon(2, &[seed], unreachable_store.address).await;
    let addresses = [&first, &second].map(|daemon| daemon.context().boot.peer_address);
    slow_link::connect(addresses, proxies, LINK_BYTES_PER_SECOND).await;
    wait_until("the second daemon knows all targets", || {
        is_ready_with(&second, 8)
    })
    .await;
    [first, second]
}

fn version(daemon: &Daemon) -> u64 {
    let state = daemon.context().state();
    state.routing_table().map_or(0, |table| table.version)
}

fn usable_targets(daemon: &Daemon, service: &str) -> usize {
    let state = daemon.context().state();
    let service = name::Service::new(service);
    state.stage_targets(&service, daemon.context().now()).len()
}

/// Returns how long it takes until a condition holds, at most twice the limit.
async fn time_until(limit: Duration, holds: impl Fn() -> bool) -> Duration {
    let begun = Instant::now();
    while !holds() && begun.elapsed() < 2 * limit {
        sleep(Duration::from_millis(10)).await;
    }
    begun.elapsed()
}

#[tokio::test]
async fn large_settings_are_in_force_in_time_behind_a_slow_link() {
    let platform = TestPlatform::start().await;
    let [_first, second] = start_pair(&platform).await;
    platform.store.put("op/config", &settings(2, ROUTES));
    let took = time_until(SETTINGS_TIME, || version(&second) == 2).await;
    assert!(took < SETTINGS_TIME, "large settings took {took:?}");
    platform.store.put("op/config", &settings(3, ROUTES));
    let took = time_until(SETTINGS_TIME, || version(&second) == 3).await;
    assert!(took < SETTINGS_TIME, "a small change took {took:?}");
}

#[tokio::test]
async fn a_leaving_target_gets_no_requests_while_large_settings_arrive_over_a_slow_link() {
    let platform = TestPlatform::start().await;
    let [_first, second] = start_pair(&platform).await;
    platform.store.put("op/config", &settings(2, ROUTES));
    sleep(Duration::from_millis(200)).await;
    platform.list_target(&platform.plain[0], "plain", "draining");
    let took = time_until(DRAIN_TIME, || usable_targets(&second, "plain") == 1).await;
    assert!(took < DRAIN_TIME, "the target was usable for {took:?}");
}

/// A reply of the store with such settings takes longer than the store may take to
/// begin it.
#[tokio::test]
async fn large_settings_are_read_from_the_store_over_a_slow_link() {
    let platform = TestPlatform::start().await;
    let store = slow_link::in_front_of(platform.store.address, LINK_BYTES_PER_SECOND).await;
    platform.store.put("op/config", &settings(2, ROUTES));
    let daemon = start_daemon(1, &[], store).await;
    let took = time_until(SETTINGS_TIME, || is_ready_with(&daemon, 8)).await;
    assert!(took < SETTINGS_TIME, "the first read took {took:?}");
    platform.store.put("op/config", &settings(3, ROUTES));
    let took = time_until(SETTINGS_TIME, || version(&daemon) == 3).await;
    assert!(took < SETTINGS_TIME, "a change took {took:?}");
}

#[tokio::test]
async fn a_store_that_falls_silent_within_an_answer_is_called_again() {
    let platform = TestPlatform::start().await;
    let store = slow_link::in_front_of(platform.store.address, LINK_BYTES_PER_SECOND).await;
    let daemon = start_daemon(1, &[], store).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 8)).await;
    platform.store.set_mode(store::Mode::Truncated);
    platform.store.put("op/config", &settings(2, 100));
    sleep(Duration::from_millis(300)).await;
    platform.store.set_mode(store::Mode::Normal);
    let took = time_until(SETTINGS_TIME, || version(&daemon) == 2).await;
    assert!(took < SETTINGS_TIME, "the settings took {took:?}");
}

/// The peers that told of the settings are lost before they have passed them on.
#[tokio::test]
async fn settings_whose_chunks_no_peer_has_are_read_from_the_store() {
    let (platform, daemon) = start_one().await;
    platform.store.set_mode(store::Mode::Busy);
    let large = settings(2, 500);
    platform.store.put("op/config", &large);
    let known = daemon.context().state().replica().position();
    let revision = Revision(known.revision.0 + 1);
    let outline = Outline::of(&"op/config".into(), revision, large.as_bytes());
    let told = Changes {
        entries: Vec::new(),
        outlines: vec![outline],
        through: revision,
        is_whole: false,
    };
    let now = daemon.context().now();
    let told = Contents::of(known.era, told);
    daemon.context().state().apply_contents(told, "test", now);
    platform.store.set_mode(store::Mode::Normal);
    let took = time_until(SETTINGS_TIME, || version(&daemon) == 2).await;
    assert!(took < SETTINGS_TIME, "the settings took {took:?}");
}
