//! What targets say in their answers about the work that they want.

use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::client_address;
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
    let platform = TestPlatform::start().await;
    let daemon = platform.daemon(1, &[]).await;
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
    let platform = TestPlatform::start().await;
    let daemon = platform.daemon(1, &[]).await;
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
    let platform = TestPlatform::start().await;
    let daemon = platform.daemon(1, &[]).await;
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
    let platform = TestPlatform::start().await;
    let daemon = platform.daemon(1, &[]).await;
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
