//! What targets say in their answers about the work that they want.

use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::client_address;
use crate::platform::start_one;
use crate::platform::wait_until;

const LEAVING: (&str, &str) = ("Server-Leaving", "1");

/// Sends a request; returns the status of its answer, which must say nothing of the
/// target.
async fn status(daemon: &Daemon, path: &str) -> Option<u16> {
    let answer = ClientRequest::new(path).send(client_address(daemon)).await;
    answer.map(|answer| {
        assert_eq!(answer.header("Server-Leaving"), "");
        answer.status
    })
}

/// Sends requests until each of the targets has had one.
async fn reach_all(daemon: &Daemon, targets: &[Target; 2]) {
    for _ in 0..50 {
        assert_eq!(status(daemon, "/read/").await, Some(200));
        if targets.iter().all(|target| !target.received().is_empty()) {
            return;
        }
    }
    panic!("not all targets have got a request");
}

#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_no_more_requests() {
    let (platform, daemon) = start_one().await;
    // The store cannot tell of it.
    platform.store.set_mode(store::Mode::Busy);
    let [leaving, staying] = &platform.plain;
    leaving.add_headers(&[LEAVING]);
    reach_all(&daemon, &platform.plain).await;
    let before = leaving.received().len();
    for _ in 0..20 {
        assert_eq!(status(&daemon, "/read/").await, Some(200));
    }
    assert_eq!(leaving.received().len(), before);
    // An entry of the same run that still calls it ready changes nothing.
    platform.store.set_mode(store::Mode::Normal);
    platform.list_target(leaving, "plain", "ready");
    platform.store.put("op/evacuate/z-9", "{}");
    wait_until("the entry was read", || {
        daemon.context().state().taken_out().len() == 1
    })
    .await;
    for _ in 0..20 {
        assert_eq!(status(&daemon, "/read/").await, Some(200));
    }
    assert_eq!(leaving.received().len(), before);
    assert!(!staying.received().is_empty());
}

#[tokio::test]
async fn a_restarted_target_gets_requests_again() {
    let (platform, daemon) = start_one().await;
    let [leaving, _] = &platform.plain;
    leaving.add_headers(&[LEAVING]);
    reach_all(&daemon, &platform.plain).await;
    leaving.add_headers(&[]);
    let entry = leaving.entry("plain", "z-1", "ready");
    let entry = entry.replacen('{', "{\"born\": 1700000000000, ", 1);
    platform.store.put("servers/plain-1", &entry);
    let before = leaving.received().len();
    wait_until("the target is usable", || {
        let service = name::Service::new("plain");
        let now = daemon.context().now();
        daemon.context().state().stage_targets(&service, now).len() == 2
    })
    .await;
    for _ in 0..50 {
        assert_eq!(status(&daemon, "/read/").await, Some(200));
    }
    assert!(leaving.received().len() > before);
}

#[tokio::test]
async fn refusals_reports_and_stage_calls_tell_that_a_target_leaves() {
    let (platform, daemon) = start_one().await;
    platform.store.set_mode(store::Mode::Busy);
    let usable = |service: &str| {
        let now = daemon.context().now();
        let service = name::Service::new(service);
        daemon.context().state().stage_targets(&service, now).len()
    };
    platform.first[0].add_headers(&[LEAVING]);
    platform.engines[0].add_headers(&[LEAVING]);
    platform.engines[0].queue_modes(&[Mode::NotRun]);
    for number in 0..30 {
        let client = ClientRequest::new("/staged/")
            .with_stage_pieces("2,1")
            .with("Prompt-Prefix", &format!("a{number}:50,bb:50"));
        let answer = client.send(client_address(&daemon)).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
        if usable("first") == 1 && usable("engine") == 1 {
            break;
        }
    }
    assert_eq!((usable("first"), usable("engine")), (1, 1));
    let calls = platform.first[0].received().len();
    let client = ClientRequest::new("/staged/").with_stage_pieces("8,8");
    let answer = client.send(client_address(&daemon)).await;
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    assert_eq!(platform.first[0].received().len(), calls);
}

#[tokio::test]
async fn a_word_on_leaving_that_has_no_meaning_changes_nothing() {
    let (platform, daemon) = start_one().await;
    for text in ["0", "true", "", "11"] {
        platform.plain[0].add_headers(&[("Server-Leaving", text)]);
        reach_all(&daemon, &platform.plain).await;
        sleep(Duration::from_millis(10)).await;
        let service = name::Service::new("plain");
        let now = daemon.context().now();
        let usable = daemon.context().state().stage_targets(&service, now).len();
        assert_eq!(usable, 2, "{text}");
    }
}

/// Has a target turn the next request away and ask for a pause, and sends requests
/// until it has done so.
async fn pause(daemon: &Daemon, target: &Target, seconds: &str) {
    target.add_headers(&[("Retry-After", seconds)]);
    target.queue_modes(&[Mode::NotRun]);
    let before = target.received().len();
    for _ in 0..50 {
        assert!(status(daemon, "/read/").await.is_some());
        if target.received().len() > before {
            return;
        }
    }
    panic!("the target has got no request");
}

#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let (platform, daemon) = start_one().await;
    let [paused, _] = &platform.plain;
    pause(&daemon, paused, "1.2").await;
    let since = Instant::now();
    let before = paused.received().len();
    while since.elapsed() < Duration::from_secs(1) {
        assert_eq!(status(&daemon, "/read/").await, Some(200));
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(paused.received().len(), before);
    sleep(Duration::from_millis(300)).await;
    for _ in 0..50 {
        assert_eq!(status(&daemon, "/read/").await, Some(200));
    }
    assert!(paused.received().len() > before);
}

#[tokio::test]
async fn a_request_is_refused_at_once_if_all_targets_pause_for_longer_than_it_waits() {
    let (platform, daemon) = start_one().await;
    for target in &platform.plain {
        pause(&daemon, target, "30").await;
    }
    let before = platform.plain_requests();
    let since = Instant::now();
    let answer = ClientRequest::new("/read/")
        .send(client_address(&daemon))
        .await;
    let answer = answer.expect("an answer");
    assert!(since.elapsed() < Duration::from_millis(500));
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.header("Retry-After").parse().expect("a number");
    assert!((20.0..=30.0).contains(&retry_after), "{retry_after}");
    let after = platform.plain_requests();
    assert_eq!(after, before);
}

#[tokio::test]
async fn a_request_waits_for_the_end_of_a_pause_that_leaves_it_time() {
    let (platform, daemon) = start_one().await;
    for target in &platform.plain {
        pause(&daemon, target, "0.6").await;
    }
    assert_eq!(status(&daemon, "/read/").await, Some(200));
}

#[tokio::test]
async fn a_paused_stage_target_gets_no_pieces() {
    let (platform, daemon) = start_one().await;
    let [paused, _] = &platform.first;
    paused.add_headers(&[("Retry-After", "20")]);
    paused.queue_modes(&[Mode::NotRun]);
    let run = async || {
        let client = ClientRequest::new("/staged/").with_stage_pieces("2,1");
        let answer = client.send(client_address(&daemon)).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    };
    for _ in 0..20 {
        run().await;
        if !paused.received().is_empty() {
            break;
        }
    }
    assert_eq!(paused.received().len(), 1);
    sleep(Duration::from_millis(600)).await;
    let reports = paused.report_requests();
    for _ in 0..5 {
        run().await;
    }
    assert_eq!(paused.received().len(), 1);
    assert_eq!(paused.report_requests(), reports);
}

#[tokio::test]
async fn a_time_to_wait_that_is_no_number_of_seconds_changes_nothing() {
    let (platform, daemon) = start_one().await;
    let service = name::Service::new("plain");
    for text in [
        "Fri, 04 Dec 2026 08:00:00 GMT",
        "-3",
        "soon",
        "",
        "1e9",
        ".",
    ] {
        pause(&daemon, &platform.plain[0], text).await;
        let now = daemon.context().now();
        let usable = daemon.context().state().stage_targets(&service, now).len();
        assert_eq!(usable, 2, "{text}");
    }
    // Only a target that turns a request away asks for a pause.
    platform.plain[0].add_headers(&[("Retry-After", "30")]);
    for _ in 0..20 {
        assert_eq!(status(&daemon, "/read/").await, Some(200));
    }
    let now = daemon.context().now();
    let usable = daemon.context().state().stage_targets(&service, now).len();
    assert_eq!(usable, 2);
}
