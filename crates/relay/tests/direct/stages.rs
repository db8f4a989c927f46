//! The stages of requests: batching, retries, and the release of results.

use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::ReceivedRequest;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::complete_answer_to;
use crate::platform::is_ready_with;
use crate::platform::start_one;
use crate::platform::wait_until;

fn stage_calls(targets: &[Target; 2]) -> Vec<ReceivedRequest> {
    let seen = targets.iter().flat_map(Target::received);
    seen.filter(|seen| seen.path == "/v1/stage-run").collect()
}

/// Returns the engine that requests of the route `r-long` are sent to.
async fn engine_of_long_route<'a>(platform: &'a TestPlatform, daemon: &Daemon) -> &'a Target {
    let probe = ClientRequest::new("/long/").with_stage_pieces("2");
    let answer = probe.send(client_address(daemon)).await;
    assert!(answer.is_some_and(|answer| answer.is_complete));
    let mut engines = platform.engines.iter();
    let first = engines.find(|engine| !engine.received().is_empty());
    first.expect("one engine ran the request")
}

#[tokio::test]
async fn stages_run_in_order_and_their_results_are_passed_on_and_freed() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/staged/").with_stage_pieces("2,3");
    complete_answer_to(&client, &daemon).await;
    let [first] = &stage_calls(&platform.first)[..] else {
        panic!("the pieces of one request are sent in one call");
    };
    let first = String::from_utf8_lossy(&first.body).into_owned();
    assert_eq!(first.matches("piece-key").count(), 2);
    assert!(!first.contains("inputs"));
    let [second] = &stage_calls(&platform.second)[..] else {
        panic!("the pieces of one request are sent in one call");
    };
    let second = String::from_utf8_lossy(&second.body).into_owned();
    assert_eq!(second.matches("inputs").count(), 3);
    assert!(!second.contains("piece-key"));
    let engine: Vec<ReceivedRequest> = platform.engines.iter().flat_map(Target::received).collect();
    assert_eq!(engine[0].header("Inputs").split(',').count(), 3);
    let freed_count = |targets: &[Target; 2]| {
        targets
            .iter()
            .map(|target| target.freed_handles().len())
            .sum::<usize>()
    };
    wait_until("all results are freed", || {
        (freed_count(&platform.first), freed_count(&platform.second)) == (2, 3)
    })
    .await;
}

#[tokio::test]
async fn a_failed_piece_is_retried() {
    for reason in ["error", "room"] {
        let (platform, daemon) = start_one().await;
        for target in &platform.first {
            target.queue_modes(&[Mode::Unmade(reason)]);
        }
        let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
        let answer = answer_to(&client, &daemon).await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{reason}");
    }
    // If an input is gone, the stage that computes it must run again first.
    let (platform, daemon) = start_one().await;
    for target in &platform.second {
        target.queue_modes(&[Mode::Unmade("gone")]);
    }
    let before = stage_calls(&platform.first).len();
    let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
    complete_answer_to(&client, &daemon).await;
    assert!(stage_calls(&platform.first).len() >= before + 2);
}

#[tokio::test]
async fn a_request_whose_stages_cannot_finish_in_time_is_refused_at_once() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
    let client = client.with("Deadline-Ms", "100");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 503);
    assert!(!answer.header("Retry-After").is_empty());
    assert!(stage_calls(&platform.first).is_empty());
    assert_eq!(platform.runs(&client.attempt), 0);
}

#[tokio::test]
async fn concurrent_requests_are_batched_into_shared_calls() {
    let (platform, daemon) = start_one().await;
    for target in &platform.first {
        target.queue_modes(&[Mode::Delayed(60), Mode::Delayed(60)]);
    }
    let address = client_address(&daemon);
    let sends = (0..8).map(|_| async move {
        let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
        client.send(address).await.expect("an answer")
    });
    let answers = futures::future::join_all(sends).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.status == 200 && answer.is_complete)
    );
    let count = stage_calls(&platform.first).len();
    assert!(count <= 5, "eight requests took {count} calls");
}

/// A target without free memory is not a failure: the pieces are sent to another
/// target, or to the same one again, until the request's deadline.
#[tokio::test]
async fn pieces_refused_for_lack_of_memory_are_retried_until_the_deadline() {
    let (platform, daemon) = start_one().await;
    for target in &platform.first {
        target.queue_modes(&[Mode::Unmade("room"); 3]);
    }
    let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
    complete_answer_to(&client, &daemon).await;
}

/// Results are released with the first event of the stream, so no target could
/// resume a broken stream unless its stages were run again.
#[tokio::test]
async fn resuming_a_stream_with_stages_recomputes_its_results() {
    let (platform, daemon) = start_one().await;
    engine_of_long_route(&platform, &daemon)
        .await
        .queue_modes(&[Mode::DisconnectWithin(3)]);
    let client = ClientRequest::new("/long/").with_stage_pieces("2");
    complete_answer_to(&client, &daemon).await;
    let seen = platform.engines.iter().flat_map(Target::received);
    let runs: Vec<ReceivedRequest> = seen
        .filter(|seen| seen.header("Attempt-Id") == client.attempt)
        .collect();
    assert_eq!(runs.len(), 2);
    assert_eq!(
        runs.iter()
            .filter(|run| run.header("Last-Event-Id") == "2")
            .count(),
        1
    );
    for run in runs {
        assert_eq!(run.header("Inputs").split(',').count(), 2);
    }
}

#[tokio::test]
async fn results_missing_at_the_run_are_recomputed() {
    let (platform, daemon) = start_one().await;
    engine_of_long_route(&platform, &daemon)
        .await
        .queue_modes(&[Mode::InputsGone]);
    let before = stage_calls(&platform.first).len();
    let client = ClientRequest::new("/long/").with_stage_pieces("2");
    complete_answer_to(&client, &daemon).await;
    assert_eq!(stage_calls(&platform.first).len(), before + 2);
}

/// A dispatcher that replaces another one must notice when its targets free the
/// former one's results. Otherwise that memory stays unused, for four seconds in
/// one case that was observed.
#[tokio::test]
async fn memory_filled_by_a_former_dispatcher_is_used_once_it_is_free() {
    let platform = TestPlatform::start().await;
    let long_lived = SETTINGS
        .replace("\"handle_s\": 3", "\"handle_s\": 600")
        .replace("\"bytes\": 1000", "\"bytes\": 2000000");
    platform.store.put("op/config", &long_lived);
    for target in &platform.first {
        target.set_free_megabytes(0);
    }
    let daemon = platform.daemon(1, &[]).await;
    let address = client_address(&daemon);
    let waiting = tokio::spawn(async move {
        let client = ClientRequest::new("/long/").with_stage_pieces("2");
        client.send(address).await.expect("an answer")
    });
    wait_until("the daemon has queried its targets", || {
        platform
            .first
            .iter()
            .all(|target| target.report_requests() > 0)
    })
    .await;
    for target in &platform.first {
        target.set_free_megabytes(9);
    }
    let answer = waiting.await.expect("the task did not panic");
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

/// Another dispatcher computes results all the time, so its targets always hold
/// some. A daemon that was a dispatcher must not go on to ask for them.
#[tokio::test]
async fn a_former_dispatcher_does_not_query_targets_while_it_is_idle() {
    let platform = TestPlatform::start().await;
    for target in &platform.first {
        target.set_free_megabytes(4);
    }
    let daemon = platform.daemon(1, &[]).await;
    let client = ClientRequest::new("/long/").with_stage_pieces("2");
    let answer = client.send(client_address(&daemon)).await;
    assert!(answer.is_some_and(|answer| answer.is_complete));
    let query_count = || {
        let targets = platform.first.iter();
        targets.map(Target::report_requests).sum::<usize>()
    };
    let queries = query_count();
    assert!(queries > 0, "the memory of the targets is queried at first");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(query_count(), queries);
}

/// A stage reads its inputs when its call begins, and their memory is free for
/// others then. If no other group needs it and a piece fails later in that call,
/// only that piece must be computed again, and not the inputs of its group.
#[tokio::test]
async fn a_piece_that_fails_late_is_retried_with_the_same_inputs() {
    let (platform, daemon) = start_one().await;
    let address = client_address(&daemon);
    // Inputs are released early only at targets that have ended a call.
    let has_idle_target = || {
        let mut targets = platform.second.iter();
        targets.any(|target| target.received().is_empty())
    };
    while has_idle_target() {
        for target in &platform.second {
            target.queue_modes(&[Mode::Delayed(60)]);
        }
        let sends = (0..4).map(|_| async move {
            let client = ClientRequest::new("/staged/").with_stage_pieces("1,8");
            client.send(address).await.expect("an answer")
        });
        futures::future::join_all(sends).await;
    }
    let calls_before = [
        stage_calls(&platform.first).len(),
        stage_calls(&platform.second).len(),
    ];
    for target in &platform.second {
        target.clear_modes();
        target.queue_modes(&[Mode::UnmadeAfter(300, "error")]);
    }
    let waiting = tokio::spawn(async move {
        let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
        client.send(address).await.expect("an answer")
    });
    wait_until("the second stage has its call", || {
        stage_calls(&platform.second).len() > calls_before[1]
    })
    .await;
    for target in &platform.second {
        target.clear_modes();
    }
    let answer = waiting.await.expect("the task did not panic");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(stage_calls(&platform.first).len(), calls_before[0] + 1);
    assert_eq!(stage_calls(&platform.second).len(), calls_before[1] + 2);
}

/// The first calls of a dispatcher that replaces another one wait at the targets
/// behind the other's calls. Their inputs must not be released before the target
/// has started on them. Those of later calls are released while the call runs if
/// their memory may be needed, that is, if other groups wait at their service.
#[tokio::test]
async fn inputs_are_released_early_only_by_a_sole_dispatcher() {
    let (platform, daemon) = start_one().await;
    let address = client_address(&daemon);
    let freed_count = || {
        let freed = platform
            .first
            .iter()
            .map(|target| target.freed_handles().len());
        freed.sum::<usize>()
    };
    let all_freed = || {
        let calls = stage_calls(&platform.first).into_iter();
        let pieces = calls.map(|call| {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            body.matches("remaining_ms").count()
        });
        freed_count() == pieces.sum::<usize>()
    };
    let mut released_early = Vec::new();
    for _ in 0..40 {
        wait_until("the former results are freed", all_freed).await;
        let before = stage_calls(&platform.second).len();
        for target in &platform.second {
            target.clear_modes();
            target.queue_modes(&[Mode::Delayed(400)]);
        }
        let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
        let attempt = client.attempt.clone();
        let waiting = tokio::spawn(async move { client.send(address).await.expect("an answer") });
        wait_until("the second stage has its call", || {
            stage_calls(&platform.second).len() > before
        })
        .await;
        let freed_before = freed_count();
        // Two full calls keep both targets of the first stage busy, and the pieces
        // of a third request wait.
        for target in &platform.first {
            target.clear_modes();
            target.queue_modes(&[Mode::Delayed(350)]);
        }
        let backlog = (0..3).map(|_| async move {
            let client = ClientRequest::new("/long/").with_stage_pieces("8");
            client.send(address).await.expect("an answer")
        });
        let backlog = tokio::spawn(futures::future::join_all(backlog));
        wait_until("the input is freed", || freed_count() > freed_before).await;
        // An input that is freed after the call has ended is freed at the same time
        // as the request is sent to its engine.
        sleep(Duration::from_millis(100)).await;
        released_early.push(platform.runs(&attempt) == 0);
        let answer = waiting.await.expect("the task did not panic");
        assert_eq!((answer.status, answer.is_complete), (200, true));
        for answer in backlog.await.expect("the task did not panic") {
            assert_eq!((answer.status, answer.is_complete), (200, true));
        }
        if released_early.ends_with(&[true]) {
            break;
        }
    }
    assert!(
        !released_early[0],
        "another daemon's calls may still be running"
    );
    assert_eq!(released_early.last(), Some(&true), "{released_early:?}");
}

/// A call of these pieces is expected to take about 40 ms.
#[tokio::test]
async fn a_stage_waits_for_a_silent_target_if_its_other_tries_are_used_up() {
    let (platform, daemon) = start_one().await;
    for target in &platform.first {
        target.queue_modes(&[Mode::Delayed(1_500); 3]);
    }
    let client = ClientRequest::new("/staged/").with_stage_pieces("2,1");
    complete_answer_to(&client, &daemon).await;
    assert_eq!(stage_calls(&platform.first).len(), 3);
}

/// The second request shares the call of the first one's last try.
#[tokio::test]
async fn a_group_that_shares_a_silent_call_uses_its_results_unless_it_was_sent_again() {
    let (platform, daemon) = start_one().await;
    platform.store.remove("servers/first-2");
    wait_until("one target is left", || is_ready_with(&daemon, 7)).await;
    platform.first[0].queue_modes(&[Mode::Delayed(1_500); 3]);
    let requests = [1, 2].map(|_| ClientRequest::new("/staged/").with_stage_pieces("2,1"));
    let second = async {
        wait_until("the second try is sent", || {
            stage_calls(&platform.first).len() == 2
        })
        .await;
        complete_answer_to(&requests[1], &daemon).await;
    };
    tokio::join!(complete_answer_to(&requests[0], &daemon), second);
    assert_eq!(stage_calls(&platform.first).len(), 3);
}

/// The last targets of a service leave. Requests that need it were admitted and waited for
/// as long as their route allows, with the work of their earlier stages done.
#[tokio::test]
async fn a_request_whose_stage_has_no_target_is_refused_at_once() {
    let (platform, daemon) = start_one().await;
    for target in &platform.second {
        platform.list_target(target, "second", "draining");
    }
    wait_until("the targets leave", || {
        let service = gooseberry_kernel::name::Service::new("second");
        let now = daemon.context().now();
        daemon
            .context()
            .state()
            .stage_targets(&service, now)
            .is_empty()
    })
    .await;
    let client = ClientRequest::new("/staged/").with_stage_pieces("2,3");
    let began = Instant::now();
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("Retry-After"), "5.000");
    assert!(began.elapsed() < Duration::from_millis(500));
    assert!(stage_calls(&platform.first).is_empty());
    // Requests that do not need the service are served.
    let client = ClientRequest::new("/staged/").with_stage_pieces("2,0");
    complete_answer_to(&client, &daemon).await;
}
