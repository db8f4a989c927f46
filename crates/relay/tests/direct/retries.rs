//! The budget for sending requests to a second target.

use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::retry_budget::RetryBudgetLimits;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_relay::daemon::Daemon;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::is_ready_with;
use crate::platform::start_daemon_with;
use crate::platform::wait_until;

/// The requests of the tests, fewer than the targets take in one window.
const REQUESTS: usize = 60;
const LIMITS: RetryBudgetLimits = RetryBudgetLimits {
    retries_per_thousand: 200,
    slack_retries: 50,
    window: Millis(10_000),
};

/// Returns how many retries the budget allows for the requests of a window.
fn allowed(requests: usize, limits: RetryBudgetLimits) -> usize {
    requests / 5 + usize::try_from(limits.slack_retries).expect("small")
}

/// Starts a daemon, and waits until it knows the settings and all targets.
async fn start(platform: &TestPlatform, limits: RetryBudgetLimits) -> Daemon {
    let daemon = start_daemon_with(1, &[], platform.store.address, limits).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 8)).await;
    daemon
}

/// Has all targets turn all requests away.
fn refuse_all(platform: &TestPlatform) {
    for target in &platform.plain {
        target.queue_modes(&vec![Mode::NotRun; 1_000]);
    }
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
        let daemon = start(&platform, LIMITS).await;
        send(&daemon, REQUESTS).await;
        daemon.kill().await;
    }
    assert!(since.elapsed() < Duration::from_millis(LIMITS.window.0));
    let retries = platform.plain_requests() - 3 * REQUESTS;
    assert!(
        retries <= allowed(3 * REQUESTS, LIMITS),
        "{retries} retries"
    );
}

#[tokio::test]
async fn a_daemon_may_retry_beyond_the_ratio_some_time_after_its_start() {
    let platform = TestPlatform::start().await;
    let daemon = start(&platform, LIMITS).await;
    sleep(Duration::from_secs(2)).await;
    refuse_all(&platform);
    send(&daemon, 4).await;
    assert!(platform.plain_requests() > 4);
}

/// Sends requests at the same time, without waiting for their answers.
fn send_at_once(daemon: &Daemon, count: usize) -> Vec<JoinHandle<()>> {
    let address = client_address(daemon);
    let requests = (0..count).map(|_| {
        tokio::spawn(async move {
            ClientRequest::new("/read/").send(address).await;
        })
    });
    requests.collect()
}

#[tokio::test]
async fn retries_that_wait_for_a_target_count_when_they_are_sent() {
    let platform = TestPlatform::start().await;
    let limits = RetryBudgetLimits {
        slack_retries: 10,
        window: Millis(1_000),
        ..LIMITS
    };
    let daemon = start(&platform, limits).await;
    sleep(Duration::from_secs(2)).await;
    let [refusing, pausing] = &platform.plain;
    refusing.queue_modes(&vec![Mode::NotRun; 1_000]);
    pausing.add_headers(&[("Retry-After", "1.4")]);
    pausing.queue_modes(&[Mode::NotRun]);
    while pausing.received().is_empty() {
        send(&daemon, 1).await;
    }
    let before = pausing.received().len();
    // Both groups of retries wait for the end of the pause.
    let mut requests = send_at_once(&daemon, REQUESTS);
    sleep(Duration::from_millis(1_150)).await;
    requests.extend(send_at_once(&daemon, REQUESTS));
    for request in requests {
        request.await.expect("no panic");
    }
    let retries = pausing.received().len() - before;
    assert!(retries <= allowed(REQUESTS, limits), "{retries} retries");
    assert!(retries > 0);
}
