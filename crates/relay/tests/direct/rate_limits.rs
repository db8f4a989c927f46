//! Rate limits that targets name in their answers.

use std::time::Duration;

use futures::future::join_all;
use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::BREAK_OFF;
use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::complete_answer_to;
use crate::platform::distinct;
use crate::platform::is_ready_with;
use crate::platform::start_one;
use crate::platform::wait_for_status;
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

#[tokio::test]
async fn a_daemon_keeps_to_a_limit_that_only_its_peers_were_told() {
    let platform = TestPlatform::start().await;
    let daemons = fleet(&platform, 2).await;
    let [limited, _] = &platform.plain;
    limited.add_headers(&[("Server-Limit", LIMIT)]);
    send_for(&daemons[..1], "/read/", Duration::from_secs(1)).await;
    let is_told = |daemon: &Daemon| {
        let name = name::Target::new(&limited.name);
        daemon.context().state().has_rate_limit(&name)
    };
    wait_until("the peer knows the limit", || is_told(&daemons[1])).await;
    let before = calls(limited);
    assert_eq!(send_for(&daemons[1..], "/read/", WINDOW).await, 0);
    let got = calls(limited) - before;
    assert!(got <= ALLOWED, "{got} calls in {WINDOW:?}");
}

#[tokio::test]
async fn a_target_gets_its_part_of_the_requests_again_after_its_limit() {
    let platform = TestPlatform::start().await;
    let daemons = fleet(&platform, 2).await;
    let [limited, _] = &platform.plain;
    limited.add_headers(&[("Server-Limit", LIMIT)]);
    send_for(&daemons, "/read/", CONTACT).await;
    limited.add_headers(&[]);
    send_for(&daemons, "/read/", CONTACT).await;
    let before = calls(limited);
    send_for(&daemons, "/read/", Duration::from_secs(1)).await;
    let got = calls(limited) - before;
    assert!(got > 10, "{got} of 50 requests");
}

#[tokio::test]
async fn requests_beyond_the_limits_of_all_targets_are_refused_at_once() {
    let platform = TestPlatform::start().await;
    let daemons = fleet(&platform, 1).await;
    for target in &platform.plain {
        target.add_headers(&[("Server-Limit", LIMIT)]);
    }
    send_for(&daemons, "/read/", CONTACT).await;
    let mut waits = Vec::new();
    for _ in 0..20 {
        let address = client_address(&daemons[0]);
        let client = ClientRequest::new("/read/");
        waits.push(tokio::spawn(async move {
            let since = Instant::now();
            let answer = client.send(address).await.expect("an answer");
            (answer, since.elapsed())
        }));
    }
    let mut served = 0;
    for wait in waits {
        let (answer, took) = wait.await.expect("no panic");
        assert_eq!(answer.header("Server-Limit"), "");
        if answer.status == 200 {
            served += 1;
            continue;
        }
        assert_eq!(answer.status, 503);
        assert!(took < Duration::from_millis(500), "{took:?}");
        let retry_after: f64 = answer.header("Retry-After").parse().expect("a number");
        assert!(retry_after > 0.0, "{retry_after}");
    }
    // Those with a place at a target wait for it, within their 1.5 s.
    assert!((2..=6).contains(&served), "{served}");
}

/// Requests a second that a cold target tolerates, and how many may reach it in a second.
const COLD_PER_SECOND: &str = "\"cold_per_s\": 2, \"max_conns\": 100";
const COLD_ALLOWED: usize = 8;

#[tokio::test]
async fn targets_that_are_cold_and_limited_get_no_more_than_cold_ones() {
    let platform = TestPlatform::start().await;
    let settings = SETTINGS
        .replace("\"max_conns\": 100", COLD_PER_SECOND)
        .replace("\"version\": 1", "\"version\": 2");
    platform.store.put("op/config", &settings);
    let daemons = fleet(&platform, 1).await;
    for target in &platform.plain {
        target.add_headers(&[("Server-Limit", "50")]);
    }
    send_for(&daemons, "/read/", Duration::from_secs(1)).await;
    for target in &platform.plain {
        let entry = target.entry("plain", "z-1", "ready");
        let entry = entry.replace("\"cold_left_ms\":0", "\"cold_left_ms\":60000");
        let key = format!("servers/{}", target.name);
        platform.store.put(&key, &entry);
    }
    sleep(Duration::from_secs(1)).await;
    let before = platform.plain.each_ref().map(calls);
    send_for(&daemons, "/read/", Duration::from_secs(1)).await;
    // The last requests wait for up to 1.5 s more.
    for (target, before) in platform.plain.iter().zip(before) {
        let got = calls(target) - before;
        assert!(got <= 3 * COLD_ALLOWED, "{got} requests in about 2.5 s");
    }
}

#[tokio::test]
async fn a_booked_stream_is_not_sent_to_a_target_that_has_changed_its_version() {
    let platform = TestPlatform::start().await;
    let [limited, other] = &platform.engines;
    platform.store.remove(&format!("servers/{}", other.name));
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 7)).await;
    limited.add_headers(&[("Server-Limit", "1")]);
    limited.queue_modes(&BREAK_OFF);
    let stream = || ClientRequest::new("/resume/").with_stage_pieces("");
    let broken = distinct(stream());
    assert!(!answer_to(&broken, &daemon).await.is_complete);
    limited.clear_modes();
    let resumed = stream()
        .with("Last-Event-Id", "2")
        .with("Resumes", &broken.attempt);
    let changing = async {
        sleep(Duration::from_millis(200)).await;
        let entry = limited.entry("engine", "z-1", "ready");
        let entry = entry.replace("\"v1\"", "\"v2\"");
        platform.store.put("servers/engine-1", &entry);
    };
    let (answer, ()) = futures::future::join(answer_to(&resumed, &daemon), changing).await;
    assert_eq!(platform.runs(&resumed.attempt), 0, "{answer:?}");
    assert_eq!(answer.status, 503);
}

/// Guards against a stop that cuts the requests that wait for their turn.
#[tokio::test]
async fn a_stop_answers_all_that_wait_for_their_turn_under_a_rate_limit() {
    let platform = TestPlatform::start().await;
    let patient = r#""routes": [
    {"name": "r-patient", "host": "a.example", "prefix": "/patient/", "kind": "idempotent",
     "timeout_ms": 20000, "target_latency_ms": 5000, "service": "plain", "max_attempts": 1},"#;
    let settings = SETTINGS.replacen("\"routes\": [", patient, 1);
    platform.store.put("op/config", &settings);
    let daemon = platform.daemon(1, &[]).await;
    for target in &platform.plain {
        target.add_headers(&[("Server-Limit", "0.5")]);
    }
    let context = daemon.context();
    wait_for_status(&daemon, || ClientRequest::new("/patient/"), 200).await;
    let booked = || {
        let text = context.metrics.text().expect("it is encoded");
        let text = String::from_utf8_lossy(&text).into_owned();
        let name = "gooseberry_relay_rate_limited_total{end=\"booked\"} ";
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.parse::<u32>().expect("it is a count"))
    };
    let mut sent = Vec::new();
    while booked() < 4 {
        let client = ClientRequest::new("/patient/").with("Deadline-Ms", "15000");
        let address = client_address(&daemon);
        sent.push(tokio::spawn(async move { client.send(address).await }));
        sleep(Duration::from_millis(20)).await;
        assert!(sent.len() < 100, "no request waits for its turn");
    }
    daemon.shut_down().await;
    assert!(sent.iter().all(JoinHandle::is_finished));
    let mut refused = 0;
    for answer in join_all(sent).await {
        let answer = answer.expect("no panic").expect("an answer");
        let status = answer.status;
        assert!(
            matches!(status, 200 | 503) && answer.is_complete,
            "{answer:?}"
        );
        refused += usize::from(status == 503);
    }
    assert!(refused > 0, "all had their turn before the end");
}

// A report is a request, too: those that precede broken streams would go beyond the limit.
#[tokio::test]
async fn a_target_with_a_rate_limit_is_not_asked_for_its_run_before_a_stream_goes_on() {
    let (platform, daemon) = start_one().await;
    for engine in &platform.engines {
        engine.add_headers(&[("Server-Limit", "100")]);
    }
    let is_limited = |engine: &Target| {
        let name = name::Target::new(&engine.name);
        daemon.context().state().has_rate_limit(&name)
    };
    while !platform.engines.iter().all(is_limited) {
        let client = ClientRequest::new("/resume/").with_stage_pieces("");
        complete_answer_to(&client, &daemon).await;
    }
    platform.engines[0].share_modes(&platform.engines[1]);
    platform.engines[0].queue_modes(&[Mode::DisconnectWithin(3)]);
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    complete_answer_to(&client, &daemon).await;
    assert_eq!(platform.runs(&client.attempt), 2);
    let reports = platform.engines.iter().map(Target::report_requests);
    assert_eq!(reports.sum::<usize>(), 0);
}
