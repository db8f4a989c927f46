//! The stages before a request's run.

use gooseberry_platform_standin::client::Client;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Seen;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;

use crate::world::SETTINGS;
use crate::world::World;
use crate::world::front;
use crate::world::until;

fn calls(targets: &[Target; 2]) -> Vec<Seen> {
    let seen = targets.iter().flat_map(Target::seen);
    seen.filter(|seen| seen.path == "/v1/stage-run").collect()
}

/// Returns the engine that requests to the long route go to.
async fn engine_of_long<'a>(world: &'a World, daemon: &Daemon) -> &'a Target {
    let probe = Client::new("/long/").generates("2");
    let answer = probe.send(front(daemon)).await;
    assert!(answer.is_some_and(|answer| answer.is_whole));
    let mut engines = world.engines.iter();
    let first = engines.find(|engine| !engine.seen().is_empty());
    first.expect("one ran it")
}

#[tokio::test]
async fn stages_are_made_in_order_and_their_results_are_handed_on_and_freed() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let client = Client::new("/staged/").generates("2,3");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    let [first] = &calls(&world.first)[..] else {
        panic!("the pieces of one request go in one call");
    };
    let first = String::from_utf8_lossy(&first.body).into_owned();
    assert_eq!(first.matches("piece-key").count(), 2);
    assert!(!first.contains("inputs"));
    let [second] = &calls(&world.second)[..] else {
        panic!("the pieces of one request go in one call");
    };
    let second = String::from_utf8_lossy(&second.body).into_owned();
    assert_eq!(second.matches("inputs").count(), 3);
    assert!(!second.contains("piece-key"));
    let engine: Vec<Seen> = world.engines.iter().flat_map(Target::seen).collect();
    assert_eq!(engine[0].header("Inputs").split(',').count(), 3);
    let freed = |targets: &[Target; 2]| targets.iter().map(|one| one.freed().len()).sum::<usize>();
    until("all results are freed", || {
        (freed(&world.first), freed(&world.second)) == (2, 3)
    })
    .await;
}

#[tokio::test]
async fn a_piece_that_was_not_made_is_made_again() {
    for reason in ["error", "room"] {
        let world = World::start().await;
        let daemon = world.daemon(1, &[]).await;
        for target in &world.first {
            target.then(&[Mode::Unmade(reason)]);
        }
        let client = Client::new("/staged/").generates("1,1");
        let answer = client.send(front(&daemon)).await.expect("an answer");
        assert_eq!((answer.status, answer.is_whole), (200, true), "{reason}");
    }
    // An input that is gone has to be made again first.
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    for target in &world.second {
        target.then(&[Mode::Unmade("gone")]);
    }
    let before = calls(&world.first).len();
    let client = Client::new("/staged/").generates("1,1");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert!(calls(&world.first).len() >= before + 2);
}

#[tokio::test]
async fn a_request_whose_stages_cannot_be_made_in_time_is_refused_at_once() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let client = Client::new("/staged/").generates("1,1");
    let client = client.with("Deadline-Ms", "100");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(!answer.header("Retry-After").is_empty());
    assert!(calls(&world.first).is_empty());
    assert_eq!(world.runs(&client.attempt), 0);
}

#[tokio::test]
async fn requests_that_arrive_together_share_calls() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    for target in &world.first {
        target.then(&[Mode::Slow(60), Mode::Slow(60)]);
    }
    let address = front(&daemon);
    let sends = (0..8).map(|_| async move {
        let client = Client::new("/staged/").generates("1,1");
        client.send(address).await.expect("an answer")
    });
    let answers = futures::future::join_all(sends).await;
    assert!(
        answers
            .iter()
            .all(|answer| answer.status == 200 && answer.is_whole)
    );
    let count = calls(&world.first).len();
    assert!(count <= 5, "eight requests took {count} calls");
}

/// A target without room is a wait, not a failure: the pieces go elsewhere, or
/// there again, for as long as their request has time.
#[tokio::test]
async fn pieces_without_room_are_tried_for_as_long_as_there_is_time() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    for target in &world.first {
        target.then(&[Mode::Unmade("room"); 3]);
    }
    let client = Client::new("/staged/").generates("1,1");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

/// Found by reading the story of a broken request: its results had been freed
/// with its first event, so no target would resume it.
#[tokio::test]
async fn a_stream_with_stages_is_resumed_with_results_that_were_made_again() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    engine_of_long(&world, &daemon)
        .await
        .then(&[Mode::BreakWithin(3)]);
    let client = Client::new("/long/").generates("2");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    let seen = world.engines.iter().flat_map(Target::seen);
    let runs: Vec<Seen> = seen
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
async fn results_that_are_gone_at_the_run_are_made_again() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    engine_of_long(&world, &daemon)
        .await
        .then(&[Mode::InputsGone]);
    let before = calls(&world.first).len();
    let client = Client::new("/long/").generates("2");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(calls(&world.first).len(), before + 2);
}

/// Found in a day's logs: a dispatcher that had followed another one left room
/// unused for four seconds, though its targets had lost the other's results.
#[tokio::test]
async fn room_that_another_dispatcher_had_filled_is_used_once_it_is_free() {
    let world = World::start().await;
    let lasting = SETTINGS
        .replace("\"handle_s\": 3", "\"handle_s\": 600")
        .replace("\"bytes\": 1000", "\"bytes\": 2000000");
    world.store.put("op/config", &lasting);
    for target in &world.first {
        target.set_free(0);
    }
    let daemon = world.daemon(1, &[]).await;
    let address = front(&daemon);
    let waiting = tokio::spawn(async move {
        let client = Client::new("/long/").generates("2");
        client.send(address).await.expect("an answer")
    });
    until("the daemon has asked its targets", || {
        world.first.iter().all(|target| target.asked() > 0)
    })
    .await;
    for target in &world.first {
        target.set_free(9);
    }
    let answer = waiting.await.expect("it did not panic");
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

/// Found in a day's logs: each time that a dispatcher followed another one its
/// first calls waited behind the other's, and their inputs had been given up
/// when their turn came.
#[tokio::test]
async fn inputs_are_given_up_early_only_by_a_dispatcher_that_is_alone() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let address = front(&daemon);
    // Each request has one piece at the first stage.
    let all_freed = || {
        let freed = world.first.iter().map(|target| target.freed().len());
        freed.sum::<usize>() == calls(&world.first).len()
    };
    let mut early = Vec::new();
    for _ in 0..40 {
        until("the former results are given up", all_freed).await;
        let before = calls(&world.second).len();
        let runs = || world.engines.iter().map(|one| one.seen().len());
        let had = runs().sum::<usize>();
        for target in &world.second {
            target.recover();
            target.then(&[Mode::Slow(400)]);
        }
        let waiting = tokio::spawn(async move {
            let client = Client::new("/staged/").generates("1,1");
            client.send(address).await.expect("an answer")
        });
        until("the second stage has its call", || {
            calls(&world.second).len() > before
        })
        .await;
        until("the inputs are given up", all_freed).await;
        early.push(runs().sum::<usize>() == had);
        let answer = waiting.await.expect("it did not panic");
        assert_eq!((answer.status, answer.is_whole), (200, true));
        if early.ends_with(&[true]) {
            break;
        }
    }
    assert!(!early[0], "another daemon's calls could still go on");
    assert_eq!(early.last(), Some(&true), "{early:?}");
}
