//! Faulty targets that send bytes without end, until the daemon closes the connection.

use std::time::Duration;

use gooseberry_platform::store::Store;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::endless::Bytes;
use gooseberry_platform_standin::endless::EndlessTarget;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::endless_targets::BODY_WITHOUT_END;
use crate::endless_targets::BYTES_AFTER_THE_ANSWER;
use crate::endless_targets::CHUNK_EXTENSION_WITHOUT_END;
use crate::endless_targets::CHUNK_SIZE_WITHOUT_END;
use crate::endless_targets::CHUNKS_WITHOUT_END;
use crate::endless_targets::COMMENTS_AFTER_AN_EVENT;
use crate::endless_targets::COMMENTS_WITHOUT_END;
use crate::endless_targets::ERROR_WITHOUT_END;
use crate::endless_targets::HEAD_WITHOUT_END;
use crate::endless_targets::INTERIM_HEADS;
use crate::endless_targets::LATER_BYTES;
use crate::endless_targets::NO_HTTP;
use crate::endless_targets::REFUSAL_WITHOUT_END;
use crate::endless_targets::SLOW_BODY;
use crate::endless_targets::SLOW_COMMENTS;
use crate::endless_targets::SLOW_HEAD;
use crate::endless_targets::TRAILERS_WITHOUT_END;
use crate::endless_targets::endless;
use crate::endless_targets::held_event;
use crate::endless_targets::replace;
use crate::endless_targets::replace_large;
use crate::endless_targets::sound_answer;
use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::wait_until;

/// The most bytes that may be read of an answer that has no end.
const READ_MAX: usize = 2 << 20;
/// The most bytes that a client may get of an answer that has no end.
const ANSWER_MAX: usize = 128 << 10;
/// The most bytes that may be taken of an answer of the store that has no end.
const STORE_READ_MAX: usize = 48 << 20;

async fn send(daemon: &Daemon, path: &str) -> (Option<Answer>, Duration) {
    let mut request = ClientRequest::new(path);
    if path == "/staged/" {
        request = request.with_stage_pieces("2,1");
    }
    if matches!(path, "/resume/" | "/stream/") {
        request = request.with("Model", "m");
    }
    let since = Instant::now();
    let answer = request.send(client_address(daemon)).await;
    (answer, since.elapsed())
}

/// Sends requests until the faulty target has had one, and checks that each gets this
/// status within the timeout of its route, that the faulty target's connections are
/// closed then, and that little was read of what it sends.
async fn check(path: &str, name: &str, service: &str, bytes: Bytes, statuses: &[u16]) {
    let platform = TestPlatform::start().await;
    let target = replace(&platform, name, service, bytes).await;
    let daemon = platform.daemon(1, &[]).await;
    let timeout = match path {
        "/read/" | "/once/" => Duration::from_millis(1_500),
        "/resume/" | "/stream/" => Duration::from_secs(4),
        _ => Duration::from_secs(8),
    };
    for _ in 0..50 {
        let (answer, took) = send(&daemon, path).await;
        let answer = answer.expect("an answer");
        assert!(
            statuses.contains(&answer.status),
            "{} for {bytes:?}",
            answer.status
        );
        assert!(
            answer.is_complete || answer.status != 200,
            "the answer broke off for {bytes:?}"
        );
        assert!(answer.body.len() < ANSWER_MAX, "{}", answer.body.len());
        assert!(took < timeout + Duration::from_millis(500), "{took:?}");
        if !target.sent().is_empty() {
            break;
        }
    }
    let sent = target.sent();
    assert!(!sent.is_empty(), "the target has had no request");
    wait_until("the connection is closed", || {
        target.sent().iter().all(|sent| sent.is_closed)
    })
    .await;
    for sent in target.sent() {
        // What the daemon has not read waits in the buffers of the sockets.
        assert!(sent.bytes < READ_MAX + (8 << 20), "{sent:?} for {bytes:?}");
        assert!(
            sent.span < timeout + Duration::from_millis(500),
            "{sent:?} for {bytes:?}"
        );
    }
}

#[tokio::test]
async fn a_request_is_answered_by_another_target_if_a_head_has_no_end() {
    for bytes in [HEAD_WITHOUT_END, INTERIM_HEADS, NO_HTTP, SLOW_HEAD] {
        check("/read/", "plain-1", "plain", bytes, &[200]).await;
    }
}

#[tokio::test]
async fn a_request_is_answered_by_another_target_if_a_body_has_no_end() {
    for bytes in [
        BODY_WITHOUT_END,
        ERROR_WITHOUT_END,
        REFUSAL_WITHOUT_END,
        CHUNKS_WITHOUT_END,
        TRAILERS_WITHOUT_END,
        CHUNK_SIZE_WITHOUT_END,
        CHUNK_EXTENSION_WITHOUT_END,
        SLOW_BODY,
    ] {
        check("/read/", "plain-1", "plain", bytes, &[200]).await;
    }
}

#[tokio::test]
async fn a_request_that_must_not_run_twice_fails_in_time_if_an_answer_has_no_end() {
    for bytes in [
        HEAD_WITHOUT_END,
        INTERIM_HEADS,
        BODY_WITHOUT_END,
        SLOW_HEAD,
        SLOW_BODY,
    ] {
        check("/once/", "plain-1", "plain", bytes, &[200, 502, 504]).await;
    }
}

#[tokio::test]
async fn a_stream_goes_on_at_another_target_if_an_event_has_no_end() {
    for bytes in [
        HEAD_WITHOUT_END,
        INTERIM_HEADS,
        BODY_WITHOUT_END,
        COMMENTS_WITHOUT_END,
        COMMENTS_AFTER_AN_EVENT,
        SLOW_COMMENTS,
        CHUNK_SIZE_WITHOUT_END,
    ] {
        check("/resume/", "engine-1", "engine", bytes, &[200]).await;
    }
}

#[tokio::test]
async fn pieces_are_computed_by_another_target_if_a_reply_has_no_end() {
    for bytes in [
        HEAD_WITHOUT_END,
        INTERIM_HEADS,
        BODY_WITHOUT_END,
        CHUNK_SIZE_WITHOUT_END,
        SLOW_BODY,
    ] {
        check("/staged/", "first-1", "first", bytes, &[200]).await;
    }
}

#[tokio::test]
async fn a_connection_is_closed_if_bytes_without_end_follow_an_answer() {
    for bytes in [BYTES_AFTER_THE_ANSWER, LATER_BYTES] {
        check("/read/", "plain-1", "plain", bytes, &[200]).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faulty_targets_leave_memory_for_the_replies_of_sound_ones() {
    let platform = TestPlatform::start().await;
    let held_event = held_event(900 << 10);
    let mut faulty = Vec::new();
    for name in ["engine-1", "engine-2"] {
        faulty.push(replace_large(&platform, name, "engine", held_event).await);
    }
    for name in ["plain-1", "plain-2"] {
        replace(&platform, name, "plain", sound_answer(1_500 << 10)).await;
    }
    let daemon = platform.daemon(1, &[]).await;
    let address = client_address(&daemon);
    for number in 0..40 {
        let request = ClientRequest::new("/stream/").with("Model", "m");
        let request = request.body(&number.to_string());
        tokio::spawn(async move { request.send(address).await });
        // One after the other, so that they do not all fail when the memory is used up.
        sleep(Duration::from_millis(20)).await;
    }
    let sent: Vec<_> = faulty.iter().flat_map(EndlessTarget::sent).collect();
    assert!(sent.len() >= 16, "{}", sent.len());
    for _ in 0..10 {
        let (answer, _) = send(&daemon, "/read/").await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
}

#[tokio::test]
async fn a_read_of_the_store_fails_if_its_answer_has_no_end() {
    let bytes = Bytes {
        pause: Duration::from_millis(10),
        ..endless("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(256 << 10).leak())
    };
    let store = EndlessTarget::start("store", bytes).await;
    let read = Store::new(store.address).read_all().await;
    assert!(read.is_err());
    let sent = store.sent()[0];
    assert!(sent.bytes < STORE_READ_MAX, "{sent:?}");
}
