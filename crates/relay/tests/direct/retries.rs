//! The budget for sending requests to a second target.

use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::retry_budget::RetryBudgetLimits;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::endless::Bytes;
use gooseberry_platform_standin::endless::EndlessTarget;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::is_ready_with;
use crate::platform::start_daemon_with;
use crate::platform::start_one;
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

/// Sends a request whose first target, of the two, handles it in the first mode, and whose
/// second one in the second mode. Returns the answer and how many targets got the request.
async fn answer_beside_silence(
    platform: &TestPlatform,
    daemon: &Daemon,
    client: &ClientRequest,
    modes: [Mode; 2],
) -> (Answer, usize) {
    let queue = |modes: &[Mode]| {
        for target in platform.plain.iter().chain(&platform.engines) {
            target.clear_modes();
            target.queue_modes(modes);
        }
    };
    queue(&modes[..1]);
    let set_second = async {
        wait_until("a target has the request", || {
            platform.runs(&client.attempt) == 1
        })
        .await;
        queue(&modes[1..]);
    };
    let (answer, ()) = tokio::join!(answer_to(client, daemon), set_second);
    (answer, platform.runs(&client.attempt))
}

/// The objective of the routes is 150 ms and their deadline 1.5 s.
#[tokio::test]
async fn a_silent_target_is_waited_for_until_another_one_has_answered() {
    let (platform, daemon) = start_one().await;
    let slow = Mode::Delayed(900);
    let send = async |path: &str, second| {
        let client = ClientRequest::new(path);
        let modes = [slow, second];
        let (answer, runs) = answer_beside_silence(&platform, &daemon, &client, modes).await;
        (answer.status, runs)
    };
    // The second target refuses, breaks off, is silent, fails, is slower, and is faster.
    for second in [
        Mode::NotRun,
        Mode::Disconnect,
        Mode::NoAnswer,
        Mode::Error,
        Mode::Delayed(700),
        Mode::Normal,
    ] {
        assert_eq!(send("/read/", second).await, (200, 2), "{second:?}");
    }
    // A request that must not run twice waits for its target alone.
    assert_eq!(send("/once/", Mode::Normal).await, (200, 1));
}

/// The objective of the route is 1 s and its deadline 4 s.
#[tokio::test]
async fn a_silent_stream_is_waited_for_until_another_target_has_not_refused_it() {
    let (platform, daemon) = start_one().await;
    let send = async |second| {
        let client = ClientRequest::new("/resume/").with_stage_pieces("");
        let modes = [Mode::Delayed(2_600), second];
        answer_beside_silence(&platform, &daemon, &client, modes).await
    };
    let (answer, runs) = send(Mode::NotRun).await;
    assert_eq!((answer.status, answer.is_complete, runs), (200, true, 2));
    let abandoned = || -> usize { platform.engines.iter().map(Target::abandoned).sum() };
    assert_eq!(abandoned(), 0);
    // Two targets do not work on it for long.
    let (answer, runs) = send(Mode::Delayed(1_000)).await;
    assert_eq!((answer.status, answer.is_complete, runs), (200, true, 2));
    assert_eq!(abandoned(), 1);
}

#[tokio::test]
async fn a_silent_target_is_waited_for_if_the_retry_budget_or_the_targets_are_used_up() {
    let platform = TestPlatform::start().await;
    let limits = RetryBudgetLimits {
        retries_per_thousand: 0,
        slack_retries: 0,
        ..LIMITS
    };
    let daemon = start(&platform, limits).await;
    let send = async |daemon: &Daemon| {
        let client = ClientRequest::new("/read/");
        let modes = [Mode::Delayed(900), Mode::Normal];
        let (answer, runs) = answer_beside_silence(&platform, daemon, &client, modes).await;
        (answer.status, runs)
    };
    assert_eq!(send(&daemon).await, (200, 1), "there is no budget");
    let daemon = platform.daemon(2, &[]).await;
    platform.store.remove("servers/plain-2");
    wait_until("one target is left", || is_ready_with(&daemon, 7)).await;
    assert_eq!(send(&daemon).await, (200, 1), "there is no other target");
}

#[tokio::test]
async fn an_answer_that_pauses_in_its_body_is_waited_for_if_there_is_no_other_target() {
    let platform = TestPlatform::start().await;
    let bytes = Bytes {
        first: "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\
                Content-Length: 4\r\n\r\nab",
        repeated: "cd",
        pause: Duration::from_millis(900),
    };
    let target = EndlessTarget::start("pausing", bytes).await;
    for target in &platform.plain {
        platform.store.remove(&format!("servers/{}", target.name));
    }
    platform
        .store
        .put("servers/pausing", &target.entry("plain", "z-1"));
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 7)).await;
    let answer = answer_to(&ClientRequest::new("/read/"), &daemon).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "abcd"));
}
