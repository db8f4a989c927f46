//! Targets that ask for a pause in answers that are easily lost.

use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use gooseberry_relay::exchange::Callee;
use gooseberry_relay::exchange::Error;
use gooseberry_relay::exchange::Exchange;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::start_one;
use crate::platform::wait_until;

/// The pause for which targets ask, in seconds.
const PAUSE_S: &str = "3";
/// From when on until when requests are counted, after the answer.
const COUNTED: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_900)];
/// How long to wait for the answer to a call that was given up just before.
const ANSWER_WAIT: Duration = Duration::from_millis(90);
/// How many requests may reach the target in that time.
const ALLOWED: usize = 2;

/// Has a target turn the next request away after some time, and ask for a pause.
fn turn_away(target: &Target, after: u64) {
    target.add_headers(&[("Retry-After", PAUSE_S)]);
    target.queue_modes(&[Mode::NotRunAfter(after)]);
}

/// Sends requests that repeat quickly, until one has reached the target.
async fn reach(daemon: &Daemon, target: &Target, limit: Duration) -> ClientRequest {
    for _ in 0..50 {
        let before = target.received().len();
        let client = ClientRequest::new("/read/");
        let answer = timeout(limit, client.send(client_address(daemon))).await;
        if target.received().len() > before {
            return client;
        }
        answer.ok();
    }
    panic!("the target has got no request");
}

/// Sends requests during the pause, which began at `asked_at`, and counts those that reach
/// the target.
async fn check_pause(daemon: &Daemon, target: &Target, asked_at: Instant) {
    target.clear_modes();
    target.add_headers(&[]);
    let mut before = None;
    while asked_at.elapsed() < COUNTED[1] {
        if asked_at.elapsed() >= COUNTED[0] {
            before.get_or_insert_with(|| target.received().len());
        }
        let client = ClientRequest::new("/read/");
        let answer = client.send(client_address(daemon)).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
        sleep(Duration::from_millis(10)).await;
    }
    let before = before.expect("requests were counted");
    let count = target.received().len() - before;
    assert!(count <= ALLOWED, "{count} requests reached the target");
}

/// Publishes the entry of a target's run.
fn list_run(platform: &TestPlatform, target: &Target, started: u64) {
    let entry = target.entry("plain", "z-1", "ready");
    let entry = entry.replacen('{', &format!("{{\"born\": {started}, "), 1);
    platform
        .store
        .put(&format!("servers/{}", target.name), &entry);
}

#[tokio::test]
async fn a_pause_holds_that_a_target_asks_for_as_the_time_limit_of_the_call_passes() {
    let (platform, daemon) = start_one().await;
    let target = &platform.plain[0];
    // The limit is twice the objective of 150 ms.
    turn_away(target, 315);
    reach(&daemon, target, Duration::from_secs(2)).await;
    let asked_at = Instant::now();
    sleep(ANSWER_WAIT).await;
    check_pause(&daemon, target, asked_at).await;
}

#[tokio::test]
async fn a_pause_holds_that_a_target_asks_for_as_the_client_leaves() {
    let (platform, daemon) = start_one().await;
    let target = &platform.plain[0];
    turn_away(target, 160);
    reach(&daemon, target, Duration::from_millis(145)).await;
    let asked_at = Instant::now();
    sleep(ANSWER_WAIT).await;
    check_pause(&daemon, target, asked_at).await;
}

#[tokio::test]
async fn a_pause_holds_if_the_entry_of_the_run_that_asked_for_it_comes_later() {
    let (platform, daemon) = start_one().await;
    let target = &platform.plain[0];
    turn_away(target, 0);
    reach(&daemon, target, Duration::from_secs(2)).await;
    let asked_at = Instant::now();
    list_run(&platform, target, 1_700_000_000_000);
    check_pause(&daemon, target, asked_at).await;
}

#[tokio::test]
async fn a_pause_holds_that_a_target_asks_for_while_it_is_not_listed() {
    let (platform, daemon) = start_one().await;
    let target = &platform.plain[0];
    turn_away(target, 250);
    let leave_and_return = async {
        wait_until("a request has reached the target", || {
            !target.received().is_empty()
        })
        .await;
        platform.store.remove(&format!("servers/{}", target.name));
        sleep(Duration::from_millis(400)).await;
        platform.list_target(target, "plain", "ready");
        Instant::now()
    };
    let reach = reach(&daemon, target, Duration::from_secs(2));
    let (_, asked_at) = futures::future::join(reach, leave_and_return).await;
    check_pause(&daemon, target, asked_at - Duration::from_millis(150)).await;
}

#[tokio::test]
async fn a_target_that_asked_for_a_pause_after_it_was_picked_is_not_taken_for_unreachable() {
    let (platform, daemon) = start_one().await;
    let context = daemon.context();
    let target = &platform.plain[0];
    let name = name::Target::new(&target.name);
    let now = context.now();
    context.state().record_pause(&name, Millis(500), now);
    let callee = Callee::of_stage(name.clone(), target.address);
    let request = Request::new(Full::new(Bytes::new()));
    let begun = Exchange::begin(context, &callee, request).await;
    assert!(matches!(begun, Err(Error::Paused)), "{begun:?}");
    assert_eq!(target.received().len(), 0);
    sleep(Duration::from_millis(600)).await;
    reach(&daemon, target, Duration::from_secs(2)).await;
}
