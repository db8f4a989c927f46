//! Event streams: complete, broken and resumed ones.

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::STREAM_EVENTS;

use crate::platform::answer_to;
use crate::platform::start_one;

fn all_events() -> String {
    let events = (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n"));
    events.collect()
}

#[tokio::test]
async fn a_stream_is_forwarded_unchanged() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert!(answer.header("Response-Seal").starts_with("seal-engine-"));
    assert_eq!(platform.runs(&client.attempt), 1);
}

#[tokio::test]
async fn a_broken_non_resumable_stream_is_cut_after_a_complete_event() {
    let (platform, daemon) = start_one().await;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::DisconnectWithin(3)]);
    }
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let answer = answer_to(&client, &daemon).await;
    assert!(
        !answer.is_complete,
        "the stream looks complete: {}",
        answer.body
    );
    assert_eq!(
        answer.body,
        "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
    );
    assert_eq!(platform.runs(&client.attempt), 1);
}

#[tokio::test]
async fn a_broken_resumable_stream_continues_at_another_target_without_gaps_or_repeats() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    // Both engines break off within event 3, whichever is first, so the request
    // runs at both and the client gets the first two events.
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::DisconnectWithin(3)]);
    }
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(platform.runs(&client.attempt), 2);
    assert!(
        !answer.is_complete,
        "the second target broke off within event 3 as well"
    );
    assert_eq!(
        answer.body,
        "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
    );
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let first = platform.engines.iter().position(|engine| {
        let seen = engine.received();
        seen.last()
            .is_some_and(|seen| seen.header("Last-Event-Id").is_empty())
    });
    platform.engines[first.expect("one engine was first")]
        .queue_modes(&[Mode::DisconnectWithin(4)]);
    let answer = answer_to(&client, &daemon).await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
}

#[tokio::test]
async fn a_client_that_sends_last_event_id_gets_the_remaining_events() {
    let (_platform, daemon) = start_one().await;
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let client = client.with("Last-Event-Id", "3");
    let answer = answer_to(&client, &daemon).await;
    assert!(answer.is_complete);
    assert!(answer.body.starts_with("id: 4\n"), "{}", answer.body);
}

#[tokio::test]
async fn a_stream_without_a_reply_times_out_at_its_deadline() {
    let (platform, daemon) = start_one().await;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::NoAnswer]);
    }
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let client = client.with("Deadline-Ms", "400");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 504);
    assert_eq!(answer.header("Retry-After"), "");
}
