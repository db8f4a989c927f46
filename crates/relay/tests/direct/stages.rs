//! The stages of requests: batching, retries, and the release of results.

use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::ReceivedRequest;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::complete_answer_to;
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

/// Has both targets of the second stage end a call: inputs are released early only at
/// those that have.
async fn warm_up_second_stage(platform: &TestPlatform, daemon: &Daemon) {
    let address = client_address(daemon);
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
}

/// Guards against lost inputs: a stage reads them when its call begins, and their memory
/// could be free for others then. If a piece fails late in that call, only that piece must be
/// computed again, and not the inputs of its group, also if other groups wait meanwhile at
/// the service that computed them.
#[tokio::test]
async fn a_piece_that_fails_late_is_retried_with_the_same_inputs() {
    for backlog in [0, 3] {
        let (platform, daemon) = start_one().await;
        let address = client_address(&daemon);
        warm_up_second_stage(&platform, &daemon).await;
        for target in &platform.second {
            target.clear_modes();
            target.queue_modes(&[Mode::UnmadeAfter(300, "error")]);
        }
        let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
        let attempt = client.attempt.clone();
        let calls = |targets: &[Target; 2]| {
            let calls = stage_calls(targets).into_iter();
            let of_attempt = calls.filter(|call| {
                let body = String::from_utf8_lossy(&call.body).into_owned();
                body.contains(&format!("\"{attempt}\""))
            });
            of_attempt.count()
        };
        let waiting = tokio::spawn(async move { client.send(address).await.expect("an answer") });
        wait_until("the second stage has its call", || {
            calls(&platform.second) == 1
        })
        .await;
        for target in &platform.second {
            target.clear_modes();
        }
        for target in &platform.first {
            target.queue_modes(&[Mode::Delayed(350)]);
        }
        let sends = (0..backlog).map(|_| async move {
            let client = ClientRequest::new("/long/").with_stage_pieces("8");
            client.send(address).await.expect("an answer")
        });
        futures::future::join_all(sends).await;
        let answer = waiting.await.expect("the task did not panic");
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(
            (calls(&platform.first), calls(&platform.second)),
            (1, 2),
            "{backlog}"
        );
        let text = daemon.context().metrics.text().expect("it can be encoded");
        let retried = "gooseberry_relay_stage_events_total{event=\"retried\"} 1\n";
        assert!(String::from_utf8_lossy(&text).contains(retried));
    }
}

/// Guards against targets that became slow and get calls that are given up again and again.
/// Each call is expected to take 41 ms and was given up after 423 ms.
#[tokio::test]
async fn calls_to_slow_targets_are_given_up_only_until_their_pace_is_known() {
    let (platform, daemon) = start_one().await;
    for target in &platform.first {
        target.queue_modes(&[Mode::Delayed(500); 40]);
    }
    let mut calls_of_request = Vec::new();
    for _ in 0..10 {
        let before = stage_calls(&platform.first).len();
        let client = ClientRequest::new("/long/").with_stage_pieces("1");
        let answer = answer_to(&client, &daemon).await;
        let calls = stage_calls(&platform.first).len() - before;
        calls_of_request.push((answer.status, calls));
        if calls_of_request.ends_with(&[(200, 1)]) {
            return;
        }
    }
    panic!("all requests had calls that were given up: {calls_of_request:?}");
}

/// Settings with which a target of the service `first` has no memory for the results of a
/// full call of `/long/` beside the result that the second stage of `/staged/` reads.
fn with_short_memory() -> String {
    let settings = SETTINGS.replacen("\"headroom_mb\": 10", "\"headroom_mb\": 1", 1);
    let first_stage = "\"stages\": [{\"service\": \"first\", \"after\": [], \"bytes\": ";
    let settings = settings.replace(
        &format!("{first_stage}1000}},"),
        &format!("{first_stage}900000}},"),
    );
    settings.replace(
        &format!("{first_stage}1000}}]"),
        &format!("{first_stage}20000}}]"),
    )
}

/// Sends a request of which the second stage takes 400 ms, and meanwhile this number of other
/// requests, each with a full call for the targets of the first stage. Returns whether its input was freed while
/// the second stage ran.
async fn is_input_freed_early(platform: &TestPlatform, daemon: &Daemon, backlog: usize) -> bool {
    let address = client_address(daemon);
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
    // The pieces for which no target is free, or has memory, wait.
    for target in &platform.first {
        target.clear_modes();
        target.queue_modes(&[Mode::Delayed(350)]);
    }
    let backlog = (0..backlog).map(|_| async move {
        let client = ClientRequest::new("/long/").with_stage_pieces("8");
        client.send(address).await.expect("an answer")
    });
    let backlog = tokio::spawn(futures::future::join_all(backlog));
    wait_until("the input is freed", || freed_count() > freed_before).await;
    // An input that is freed after the call has ended is freed at the same time
    // as the request is sent to its engine.
    sleep(Duration::from_millis(100)).await;
    let is_early = platform.runs(&attempt) == 0;
    let answer = waiting.await.expect("the task did not panic");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    for answer in backlog.await.expect("the task did not panic") {
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    is_early
}

/// The first calls of a dispatcher that replaces another one wait at the targets
/// behind the other's calls. Their inputs must not be freed before the target
/// has started on them. Those of later calls are freed while the call runs if another call
/// needs their memory.
#[tokio::test]
async fn inputs_are_freed_early_only_by_a_sole_dispatcher_and_for_a_call_without_room() {
    let platform = TestPlatform::start().await;
    platform.store.put("op/config", &with_short_memory());
    let daemon = platform.daemon(1, &[]).await;
    let mut freed_early = Vec::new();
    for _ in 0..40 {
        freed_early.push(is_input_freed_early(&platform, &daemon, 2).await);
        if freed_early.ends_with(&[true]) {
            break;
        }
    }
    assert!(
        !freed_early[0],
        "another daemon's calls may still be running"
    );
    assert_eq!(freed_early.last(), Some(&true), "{freed_early:?}");
}

/// Guards against the release of inputs only because groups wait at their service: if a
/// piece failed then, the stages of its request ran a second time.
#[tokio::test]
async fn inputs_stay_while_there_is_room_for_the_calls_that_wait() {
    let (platform, daemon) = start_one().await;
    for _ in 0..8 {
        assert!(!is_input_freed_early(&platform, &daemon, 3).await);
    }
}
