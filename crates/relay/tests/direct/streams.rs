//! Streams of events, whole, broken and resumed.

use gooseberry_platform_standin::client::Client;
use gooseberry_platform_standin::target::EVENTS;
use gooseberry_platform_standin::target::Mode;

use crate::world::World;
use crate::world::front;

fn whole() -> String {
    let events = (1..=EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n"));
    events.collect()
}

#[tokio::test]
async fn a_stream_passes_as_it_is() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let client = Client::new("/stream/").generates("");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole);
    assert_eq!(answer.body, whole());
    assert!(answer.header("Response-Seal").starts_with("seal-engine-"));
    assert_eq!(world.runs(&client.attempt), 1);
}

#[tokio::test]
async fn a_stream_that_must_not_be_resumed_breaks_off_after_a_whole_event() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    for engine in &world.engines {
        engine.then(&[Mode::BreakWithin(3)]);
    }
    let client = Client::new("/stream/").generates("");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert!(!answer.is_whole, "it looks complete: {}", answer.body);
    assert_eq!(
        answer.body,
        "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
    );
    assert_eq!(world.runs(&client.attempt), 1);
}

#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_target_without_a_seam() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let client = Client::new("/resume/").generates("");
    // Whichever engine is first breaks off; the second one would, too, but
    // begins after that event.
    for engine in &world.engines {
        engine.then(&[Mode::BreakWithin(3)]);
    }
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!(world.runs(&client.attempt), 2);
    assert!(
        !answer.is_whole,
        "the second one broke off within event 3 as well"
    );
    assert_eq!(
        answer.body,
        "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
    );
    let client = Client::new("/resume/").generates("");
    let first = world.engines.iter().position(|engine| {
        let seen = engine.seen();
        seen.last()
            .is_some_and(|seen| seen.header("Last-Event-Id").is_empty())
    });
    world.engines[first.expect("one was first")].then(&[Mode::BreakWithin(4)]);
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(answer.body, whole());
}

#[tokio::test]
async fn a_client_that_resumes_gets_the_rest() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let client = Client::new("/resume/").generates("");
    let client = client.with("Last-Event-Id", "3");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert!(answer.is_whole);
    assert!(answer.body.starts_with("id: 4\n"), "{}", answer.body);
}

#[tokio::test]
async fn a_stream_ends_at_the_routes_time() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    for engine in &world.engines {
        engine.then(&[Mode::Mute]);
    }
    let client = Client::new("/stream/").generates("");
    let client = client.with("Deadline-Ms", "400");
    let answer = client.send(front(&daemon)).await.expect("an answer");
    assert_eq!(answer.status, 504);
    assert_eq!(answer.header("Retry-After"), "");
}
