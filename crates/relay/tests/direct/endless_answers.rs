//! Faulty targets that send bytes without end, until the daemon closes the connection.

use std::time::Duration;

use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::endless::Bytes;
use gooseberry_platform_standin::endless::EndlessTarget;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::wait_until;

/// The most bytes that may be read of an answer that has no end.
const READ_MAX: usize = 2 << 20;
/// The memory of an instance.
const INSTANCE_BYTES: usize = 260 << 20;

const LONG_LINE: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const HEAD_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nX-Long: ",
    LONG_LINE,
);
const INTERIM_HEADS: Bytes = endless(
    "",
    "HTTP/1.1 102 Processing\r\nX-Long: 0123456789abcdef\r\n\r\n",
);
const BODY_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n",
    LONG_LINE,
);
const ERROR_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 500 Error\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n",
    LONG_LINE,
);
const REFUSAL_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\r\n",
    LONG_LINE,
);
const CHUNKS_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "10\r\n0123456789abcdef\r\n",
);
const TRAILERS_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Long: 0123456789abcdef\r\n",
);
const CHUNK_SIZE_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "0000000000000000000000000000000000000000000000000000000000000000",
);
const CHUNK_EXTENSION_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    LONG_LINE,
);
const NO_HTTP: Bytes = endless("", LONG_LINE);
const SLOW_HEAD: Bytes = Bytes {
    pause: Duration::from_millis(10),
    ..endless("HTTP/1.1 200 OK\r\nX-Long: ", "0")
};
const BYTES_AFTER_THE_ANSWER: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok",
    LONG_LINE,
);

const fn endless(first: &'static str, repeated: &'static str) -> Bytes {
    Bytes {
        first,
        repeated,
        pause: Duration::ZERO,
    }
}

/// Replaces the first target of a service by a faulty one.
async fn replace(
    platform: &TestPlatform,
    name: &str,
    service: &str,
    bytes: Bytes,
) -> EndlessTarget {
    let target = EndlessTarget::start(name, bytes).await;
    let zone = if name.ends_with('1') { "z-1" } else { "z-2" };
    platform
        .store
        .put(&format!("servers/{name}"), &target.entry(service, zone));
    target
}

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
    ] {
        check("/read/", "plain-1", "plain", bytes, &[200]).await;
    }
}

#[tokio::test]
async fn a_request_that_must_not_run_twice_fails_in_time_if_an_answer_has_no_end() {
    for bytes in [HEAD_WITHOUT_END, INTERIM_HEADS, BODY_WITHOUT_END, SLOW_HEAD] {
        check("/once/", "plain-1", "plain", bytes, &[200, 502, 504]).await;
    }
}

#[tokio::test]
async fn a_stream_goes_on_at_another_target_if_an_event_has_no_end() {
    for bytes in [
        HEAD_WITHOUT_END,
        INTERIM_HEADS,
        BODY_WITHOUT_END,
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
    ] {
        check("/staged/", "first-1", "first", bytes, &[200]).await;
    }
}

#[tokio::test]
async fn a_connection_is_closed_if_bytes_without_end_follow_an_answer() {
    check("/read/", "plain-1", "plain", BYTES_AFTER_THE_ANSWER, &[200]).await;
}

/// Returns the memory that this process has resident, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("it is readable");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.expect("the line has a number") << 10
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_bodies_without_end_do_not_exhaust_the_memory_of_an_instance() {
    let platform = TestPlatform::start().await;
    for name in ["engine-1", "engine-2"] {
        replace(&platform, name, "engine", ERROR_WITHOUT_END).await;
    }
    let daemon = platform.daemon(1, &[]).await;
    let before = resident_bytes();
    let address = client_address(&daemon);
    let requests = (0..150)
        .map(|_| tokio::spawn(async move { ClientRequest::new("/stream/").send(address).await }));
    let requests: Vec<_> = requests.collect();
    let mut most = 0;
    while !requests.iter().all(tokio::task::JoinHandle::is_finished) {
        most = most.max(resident_bytes().saturating_sub(before));
        sleep(Duration::from_millis(10)).await;
    }
    assert!(most < INSTANCE_BYTES, "{} MB", most >> 20);
}
