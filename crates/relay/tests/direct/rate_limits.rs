//! Rate limits that targets name in their answers.

use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::wait_until;

/// The limit of the targets in the tests, in requests a second.
const LIMIT: &str = "1.2";
/// The most requests that may reach such a target in [`WINDOW`]: one and a half times
/// what its limit allows, and 5.
const ALLOWED: usize = 12;
const WINDOW: Duration = Duration::from_secs(4);
/// How long after its first answer with a limit a target may still get others.
const CONTACT: Duration = Duration::from_secs(3);

/// Sends requests, one in each interval and each at the next daemon, for some time;
/// returns how many failed.
async fn send_for(daemons: &[Daemon], path: &str, span: Duration) -> usize {
    let end = Instant::now() + span;
    let mut requests = Vec::new();
    for daemon in daemons.iter().cycle() {
        if Instant::now() >= end {
            break;
        }
        let mut client = ClientRequest::new(path);
        if path == "/staged/" {
            client = client.with_stage_pieces("2,1");
        }
        let address = client_address(daemon);
        requests.push(tokio::spawn(async move { client.send(address).await }));
        sleep(Duration::from_millis(20)).await;
    }
    let mut failed = 0;
    for request in requests {
        let answer = request.await.expect("no panic");
        failed += usize::from(answer.is_none_or(|answer| answer.status != 200));
    }
    failed
}

/// Starts daemons that know each other.
async fn fleet(platform: &TestPlatform, size: u8) -> Vec<Daemon> {
    let first = platform.daemon(1, &[]).await;
    let seed = first.context().boot.peer_address;
    let mut daemons = vec![first];
    for number in 2..=size {
        daemons.push(platform.daemon(number, &[seed]).await);
    }
    wait_until("all daemons know each other", || {
        daemons.iter().all(|daemon| {
            let now = daemon.context().now();
            let mut state = daemon.context().state();
            state.members().live(now).len() == usize::from(size)
        })
    })
    .await;
    daemons
}

fn calls(target: &Target) -> usize {
    target.received().len() + target.report_requests()
}

/// Has one of two targets name a limit, and checks that it gets no more than that,
/// while the other one serves the rest.
async fn check_limit(daemons: &[Daemon], limited: &Target, path: &str) {
    limited.add_headers(&[("Server-Limit", LIMIT)]);
    send_for(daemons, path, CONTACT + Duration::from_millis(500)).await;
    let before = calls(limited);
    let failed = send_for(daemons, path, WINDOW).await;
    let got = calls(limited) - before;
    assert!(got <= ALLOWED, "{got} calls in {WINDOW:?}");
    assert!(got > 0, "the target gets none of what it takes");
    assert_eq!(failed, 0);
}

#[tokio::test]
async fn a_target_gets_no_more_requests_than_its_rate_limit_from_all_daemons_together() {
    let platform = TestPlatform::start().await;
    let daemons = fleet(&platform, 3).await;
    check_limit(&daemons, &platform.plain[0], "/read/").await;
}

#[tokio::test]
async fn a_stage_target_gets_no_more_calls_than_its_rate_limit() {
    let platform = TestPlatform::start().await;
    let daemons = fleet(&platform, 3).await;
    check_limit(&daemons, &platform.first[0], "/staged/").await;
}
