//! Streams that break off, and next targets whose replies do not go on with them.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::endless::Bytes;
use gooseberry_platform_standin::endless::EndlessTarget;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;

use crate::partitions::Fleet;
use crate::platform::BREAK_OFF;
use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::is_ready_with;
use crate::platform::start_one;
use crate::platform::wait_until;
use crate::streams::all_events;

const EVENT_STREAM: &str = "text/event-stream";
/// Replies that go on with no stream.
const NO_CONTINUATIONS: [Mode; 9] = [
    Mode::Error,
    Mode::Reply("text/plain", "engine failed: no memory\n\n"),
    Mode::Reply("text/plain; charset=utf-8", "id: 3\ndata: event 3\n\n"),
    Mode::Reply("application/json", "{\"error\": \"no memory\"}\n\n"),
    Mode::Reply("", "engine failed\n\n"),
    Mode::Reply("", ""),
    Mode::Reply(
        EVENT_STREAM,
        "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
    ),
    Mode::Reply(EVENT_STREAM, "error: no memory\n\n"),
    Mode::Reply(EVENT_STREAM, "data: no memory\n\n"),
];

/// Returns a request that differs from all others, since one whose streams break off
/// several times is not sent any more.
fn resumable() -> ClientRequest {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    ClientRequest::new(&format!("/resume/{number}")).with_stage_pieces("")
}

/// Has the first engine break its stream off after two events, and the next ones handle it
/// in these modes.
async fn answer_of_broken(daemon: &Daemon, engine: &Target, next: &[Mode]) -> Answer {
    engine.clear_modes();
    engine.queue_modes(&[Mode::DisconnectWithin(3)]);
    engine.queue_modes(next);
    answer_to(&resumable(), daemon).await
}

/// Has all engines share the queue of modes of the first one.
fn share_modes(platform: &TestPlatform, more: &[Target]) -> Target {
    let [first, second] = &platform.engines;
    for engine in more.iter().chain([second]) {
        engine.share_modes(first);
    }
    first.clone()
}

/// Guards against errors of targets in the middle of a stream.
#[tokio::test]
async fn a_reply_that_does_not_go_on_with_a_stream_is_not_passed_on() {
    let fleet = Fleet::start().await;
    let engine = share_modes(&fleet.platform, &[]);
    fleet.cut_off_until_known(0).await;
    // The first daemon sends through its peers.
    for daemon in &fleet.daemons[..2] {
        for mode in NO_CONTINUATIONS {
            let answer = answer_of_broken(daemon, &engine, &[mode]).await;
            assert_eq!(answer.body, all_events(), "{mode:?}");
            assert!(answer.is_complete, "{mode:?}");
        }
    }
}

/// Guards against streams that end though a third target would go on with them.
#[tokio::test]
async fn a_stream_goes_on_at_the_target_after_one_that_did_not_go_on_with_it() {
    let platform = TestPlatform::start().await;
    let third = Target::start("engine-3").await;
    platform.list_target(&third, "engine", "ready");
    let engine = share_modes(&platform, &[third]);
    let settings = SETTINGS.replace("\"max_attempts\": 2", "\"max_attempts\": 3");
    platform.store.put("op/config", &settings);
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 9)).await;
    for mode in NO_CONTINUATIONS {
        let answer = answer_of_broken(&daemon, &engine, &[mode]).await;
        assert_eq!(answer.body, all_events(), "{mode:?}");
        assert!(answer.is_complete, "{mode:?}");
    }
}

/// Returns the answer to a client that resumes a stream after its second event.
async fn answer_to_resumed(daemon: &Daemon, broken: &ClientRequest) -> Answer {
    let client = resumable().with("Last-Event-Id", "2");
    answer_to(&client.with("Resumes", &broken.attempt), daemon).await
}

/// Guards against errors that a client takes for the rest of its stream.
#[tokio::test]
async fn a_client_that_resumes_gets_no_success_for_a_reply_that_does_not_go_on() {
    let (platform, daemon) = start_one().await;
    let engine = share_modes(&platform, &[]);
    for mode in NO_CONTINUATIONS {
        let broken = resumable();
        engine.clear_modes();
        engine.queue_modes(&BREAK_OFF);
        assert!(!answer_to(&broken, &daemon).await.is_complete);
        engine.clear_modes();
        engine.queue_modes(&[mode; 2]);
        let answer = answer_to_resumed(&daemon, &broken).await;
        assert!(matches!(answer.status, 500 | 502), "{mode:?}: {answer:?}");
        // The next target goes on with it.
        engine.clear_modes();
        engine.queue_modes(&[mode]);
        let answer = answer_to_resumed(&daemon, &broken).await;
        let rest = "id: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\nid: 5\ndata: event 5\n\n";
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, rest),
            "{mode:?}"
        );
        assert!(answer.is_complete, "{mode:?}");
    }
}

/// A target that crashes when it begins to write leaves the same bytes as one that has no
/// event left, if only the end of the connection ends its reply.
#[tokio::test]
async fn a_stream_does_not_end_with_a_continuation_that_may_be_cut_before_its_first_event() {
    let platform = TestPlatform::start().await;
    let engine = Target::start_engine("slow", "v1", 5, Duration::from_millis(100)).await;
    for other in &platform.engines {
        platform.store.remove(&format!("servers/{}", other.name));
    }
    platform.list_target(&engine, "engine", "ready");
    let daemon = platform.unready_daemon(1, &[]).await;
    let bytes = Bytes {
        first: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                Attempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n: wait\n\n",
        repeated: "",
        pause: Duration::ZERO,
    };
    let unframed = EndlessTarget::start("unframed", bytes).await;
    wait_until("the list is known", || is_ready_with(&daemon, 7)).await;
    engine.queue_modes(&[Mode::DisconnectWithin(5)]);
    let broken = resumable();
    let list_unframed = async {
        wait_until("the engine has the request", || {
            !engine.received().is_empty()
        })
        .await;
        let entry = unframed.entry("engine", "z-1");
        platform.store.put("servers/unframed", &entry);
    };
    let answer = tokio::join!(answer_to(&broken, &daemon), list_unframed).0;
    // It was asked for a report, and then for the rest of the stream.
    assert_eq!(unframed.sent().len(), 2);
    assert!(answer.body.contains("id: 5\n"), "{answer:?}");
    assert!(answer.is_complete, "{answer:?}");
    platform.store.remove("servers/slow");
    wait_until("the engine has left", || is_ready_with(&daemon, 7)).await;
    let answer = answer_to_resumed(&daemon, &broken).await;
    assert_eq!(unframed.sent().len(), 4);
    assert_eq!(answer.status, 502, "{answer:?}");
}

/// Guards against successes whose body is cut or lost as it holds no event.
#[tokio::test]
async fn a_first_reply_without_an_event_is_passed_on_whole() {
    let (platform, daemon) = start_one().await;
    let engine = share_modes(&platform, &[]);
    for path in ["/stream/", "/resume/"] {
        for (media, body) in [
            ("application/json", ""),
            ("application/json", "{\"a\": 1}"),
            ("text/plain", "no line\n\nid: 1\n\nno end"),
            (EVENT_STREAM, ""),
            (EVENT_STREAM, ": wait\n\nretry: 9\n\n"),
        ] {
            engine.queue_modes(&[Mode::Reply(media, body)]);
            let client = ClientRequest::new(path).with_stage_pieces("");
            let answer = answer_to(&client, &daemon).await;
            assert_eq!((answer.status, answer.is_complete), (200, true), "{body:?}");
            assert_eq!(answer.body, body);
            assert_eq!(answer.header("Content-Type"), media);
            assert_eq!(platform.runs(&client.attempt), 1);
        }
    }
}

/// A target that goes on after the last event of a stream has none left.
#[tokio::test]
async fn a_continuation_without_an_event_ends_a_stream_if_it_is_a_whole_one() {
    let (platform, daemon) = start_one().await;
    let engine = share_modes(&platform, &[]);
    for media in [EVENT_STREAM, "Text/Event-Stream;charset=utf-8"] {
        let empty = Mode::Reply(media, "");
        let answer = answer_of_broken(&daemon, &engine, &[empty]).await;
        assert!(answer.is_complete, "{media}");
    }
}

/// Guards against requests that are refused since their targets sent bytes that are no events.
#[tokio::test]
async fn a_request_is_not_quarantined_for_what_its_targets_sent() {
    let (platform, daemon) = start_one().await;
    let error = Mode::Reply(EVENT_STREAM, "error: no memory\n\n");
    let send = async || {
        let client = ClientRequest::new("/resume/same").with_stage_pieces("");
        answer_to(&client, &daemon).await.status
    };
    for _ in 0..4 {
        for engine in &platform.engines {
            engine.queue_modes(&[error; 2]);
        }
        assert_eq!(send().await, 502);
        platform.engines.iter().for_each(Target::clear_modes);
    }
    assert_eq!(send().await, 200);
}
