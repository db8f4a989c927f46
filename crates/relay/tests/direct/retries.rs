//! The budget for sending requests to a second target.

use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::is_ready_with;
use crate::platform::start_daemon_with;
use crate::platform::wait_until;

/// The requests of the tests, fewer than the targets take in one window.
const REQUESTS: usize = 60;
/// The window of the budget, and what it allows for a number of requests in it.
const WINDOW: Duration = Duration::from_secs(10);
const SLACK: u64 = 50;

fn allowed(requests: usize) -> usize {
    requests / 5 + usize::try_from(SLACK).expect("small")
}

/// Starts a daemon, and waits until it knows the settings and all targets.
async fn start(platform: &TestPlatform) -> Daemon {
    let daemon = start_daemon_with(1, &[], platform.store.address, SLACK).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 8)).await;
    daemon
}

/// Has all targets turn all requests away.
fn refuse_all(platform: &TestPlatform) {
    for target in &platform.plain {
        target.queue_modes(&vec![Mode::NotRun; 1_000]);
    }
}

/// Returns how many requests have reached the targets.
fn arrivals(platform: &TestPlatform) -> usize {
    let targets = platform.plain.iter();
    targets.map(|target| target.received().len()).sum()
}

async fn send(daemon: &Daemon, count: usize) {
    for _ in 0..count {
        let request = ClientRequest::new("/read/");
        let answer = request.send(client_address(daemon)).await;
        assert_eq!(answer.map(|answer| answer.status), Some(503));
    }
}

#[tokio::test]
async fn a_restarted_daemon_does_not_spend_its_part_of_the_retry_budget_again() {
    let platform = TestPlatform::start().await;
    refuse_all(&platform);
    let since = Instant::now();
    for _ in 0..3 {
        let daemon = start(&platform).await;
        send(&daemon, REQUESTS).await;
        drop(daemon);
    }
    assert!(since.elapsed() < WINDOW);
    let retries = arrivals(&platform) - 3 * REQUESTS;
    assert!(retries <= allowed(3 * REQUESTS), "{retries} retries");
}

#[tokio::test]
async fn a_daemon_may_retry_beyond_the_ratio_some_time_after_its_start() {
    let platform = TestPlatform::start().await;
    let daemon = start(&platform).await;
    sleep(Duration::from_secs(2)).await;
    refuse_all(&platform);
    send(&daemon, 4).await;
    assert!(arrivals(&platform) > 4);
}
