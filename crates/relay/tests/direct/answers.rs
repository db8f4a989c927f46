//! Requests without streams: headers passed on, refusals, retries and quarantine.

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;

use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::is_ready_with;
use crate::platform::start_one;
use crate::platform::wait_until;

#[tokio::test]
async fn only_end_to_end_headers_of_the_client_reach_the_target() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/once/a?b=c")
        .with("Tenant", "somebody-else")
        .with("Hold", "h-1")
        .with("Kv-From", "10.0.0.1:1/x")
        .with("Connection", "X-Hop")
        .with("X-Hop", "1")
        .with("X-Kept", "1")
        .body("the body");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 200);
    assert!(answer.header("Response-Seal").starts_with("seal-plain-"));
    assert_eq!(answer.header("Attempt-Id"), client.attempt);
    assert!(answer.body.ends_with(&client.attempt));
    assert_eq!(answer.header("Server-Load"), "");
    let seen: Vec<_> = platform.plain.iter().flat_map(Target::received).collect();
    let [seen] = seen.as_slice() else {
        panic!("the request ran {} times", seen.len());
    };
    assert_eq!(seen.body, "the body");
    assert_eq!(seen.header("Tenant"), "w-1");
    assert!(seen.header("Expect-Instance").starts_with("plain-"));
    assert_eq!(seen.header("X-Kept"), "1");
    let left: u64 = seen.header("Deadline-Ms").parse().expect("a number");
    assert!(left <= 1500, "the route allows less than {left} ms");
    for header in ["X-Api-Key", "Hold", "Kv-From", "X-Hop"] {
        assert_eq!(seen.header(header), "", "{header} was passed on");
    }
}

#[tokio::test]
async fn requests_that_the_settings_do_not_allow_get_the_right_status() {
    let (_platform, daemon) = start_one().await;
    for (client, status) in [
        (ClientRequest::new("/nowhere/"), 404),
        (ClientRequest::new("/once/").with("Host", "b.example"), 404),
        (
            ClientRequest::new("/once/").with("X-Api-Key", "unknown"),
            401,
        ),
        (
            ClientRequest::new("/open/").with("X-Api-Key", "unknown"),
            200,
        ),
        (ClientRequest::new("/once/").body(&"x".repeat(1001)), 413),
        (
            ClientRequest::new("/once/").with("Deadline-Ms", "soon"),
            400,
        ),
        (
            ClientRequest::new("/staged/").with_stage_pieces("1,2,3"),
            400,
        ),
    ] {
        let answer = answer_to(&client, &daemon).await;
        assert_eq!(answer.status, status, "{client:?}");
        assert_eq!(answer.header("Response-Seal").is_empty(), status != 200);
    }
}

#[tokio::test]
async fn a_daemon_without_settings_answers_503_with_retry_after() {
    let platform = TestPlatform::start().await;
    platform
        .store
        .set_mode(gooseberry_platform_standin::store::Mode::Unresponsive);
    let daemon = platform.unready_daemon(1, &[]).await;
    let answer = ClientRequest::new("/once/")
        .send(client_address(&daemon))
        .await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(!answer.header("Retry-After").is_empty());
}

#[tokio::test]
async fn a_non_idempotent_request_is_resent_only_if_the_target_says_it_did_not_run() {
    let (platform, daemon) = start_one().await;
    for target in &platform.plain {
        target.queue_modes(&[Mode::NotRun]);
    }
    let client = ClientRequest::new("/once/");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!((answer.status, platform.runs(&client.attempt)), (503, 2));
    for (mode, status) in [
        (Mode::Disconnect, 502),
        (Mode::OtherAttempt, 502),
        (Mode::Unsigned, 502),
        (Mode::NoAnswer, 504),
        (Mode::Error, 500),
    ] {
        for target in &platform.plain {
            target.queue_modes(&[mode]);
        }
        let client = ClientRequest::new("/once/");
        let answer = answer_to(&client, &daemon).await;
        assert_eq!(answer.status, status, "{mode:?}");
        assert_eq!(platform.runs(&client.attempt), 1, "{mode:?}");
        assert!(!answer.body.contains("not yours"));
        let is_sealed = !answer.header("Response-Seal").is_empty();
        assert_eq!(is_sealed, mode == Mode::Error, "{mode:?}");
        // One target still has its mode set; another request uses it up.
        let cleared = ClientRequest::new("/once/")
            .send(client_address(&daemon))
            .await;
        assert!(cleared.is_some());
    }
}

#[tokio::test]
async fn a_failed_idempotent_request_is_retried_at_a_second_target() {
    let (platform, daemon) = start_one().await;
    for mode in [
        Mode::NotRun,
        Mode::Disconnect,
        Mode::OtherAttempt,
        Mode::Unsigned,
        Mode::Error,
        Mode::NoAnswer,
    ] {
        let client = ClientRequest::new("/read/");
        // Whichever target is picked first fails, and so does the other one.
        let (first, second) = (platform.plain[0].clone(), platform.plain[1].clone());
        let before = (first.received().len(), second.received().len());
        first.queue_modes(&[mode]);
        second.queue_modes(&[mode]);
        let answer = answer_to(&client, &daemon).await;
        if mode == Mode::NotRun {
            // Both targets refused, so the client is told that it did not run.
            assert_eq!(answer.status, 503);
            continue;
        }
        assert_eq!(platform.runs(&client.attempt), 2, "{mode:?}");
        let after = (first.received().len(), second.received().len());
        assert_eq!(after, (before.0 + 1, before.1 + 1), "{mode:?}");
    }
    let answer = ClientRequest::new("/read/")
        .send(client_address(&daemon))
        .await;
    assert_eq!(answer.expect("an answer").status, 200);
}

#[tokio::test]
async fn the_target_request_is_cancelled_when_the_client_disconnects() {
    let (platform, daemon) = start_one().await;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::NoAnswer]);
    }
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let address = client_address(&daemon);
    let attempt = client.attempt.clone();
    let waiting = tokio::spawn(async move { client.send(address).await });
    wait_until("the request has arrived", || platform.runs(&attempt) == 1).await;
    waiting.abort();
    let abandoned = || {
        platform
            .engines
            .iter()
            .map(Target::abandoned)
            .sum::<usize>()
            == 1
    };
    wait_until("the target's request is cancelled", abandoned).await;
}

#[tokio::test]
async fn a_request_that_crashed_three_targets_is_quarantined() {
    let (platform, daemon) = start_one().await;
    let send = async || {
        let client = ClientRequest::new("/once/").body("the same body");
        client
            .send(client_address(&daemon))
            .await
            .expect("an answer")
            .status
    };
    for target in &platform.plain {
        target.queue_modes(&[Mode::Disconnect; 3]);
    }
    for _ in 0..3 {
        assert_eq!(send().await, 502);
    }
    let before = platform.plain_requests();
    assert_eq!(send().await, 503);
    let after = platform.plain_requests();
    assert_eq!(after, before);
    let other = ClientRequest::new("/once/").body("another body");
    let answer = answer_to(&other, &daemon).await;
    assert_ne!(answer.status, 503);
}

/// If no second target is found, the first one's error response must not be
/// replaced by a refusal that says that the request did not run.
#[tokio::test]
async fn an_error_answer_is_forwarded_if_no_other_target_is_left() {
    let (platform, daemon) = start_one().await;
    platform.store.remove("servers/plain-2");
    wait_until("one target is left", || is_ready_with(&daemon, 7)).await;
    platform.plain[0].queue_modes(&[Mode::Error]);
    let client = ClientRequest::new("/read/");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 500);
    assert_eq!(answer.header("Response-Seal"), "seal-plain-1");
    assert_eq!(answer.body, "error");
    // After a broken connection there is no response to pass on, and it is
    // unknown whether the request ran.
    platform.plain[0].queue_modes(&[Mode::Disconnect]);
    let answer = ClientRequest::new("/read/")
        .send(client_address(&daemon))
        .await;
    assert_eq!(answer.expect("an answer").status, 502);
}

#[tokio::test]
async fn a_successful_answer_clears_the_crash_count_of_a_request() {
    let (platform, daemon) = start_one().await;
    for _ in 0..4 {
        for target in &platform.plain {
            target.clear_modes();
            target.queue_modes(&[Mode::Disconnect]);
        }
        let broken = ClientRequest::new("/once/").body("the same body");
        let answer = answer_to(&broken, &daemon).await;
        assert_eq!(answer.status, 502);
        for target in &platform.plain {
            target.clear_modes();
        }
        let good = ClientRequest::new("/once/").body("the same body");
        let answer = good.send(client_address(&daemon)).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
}
