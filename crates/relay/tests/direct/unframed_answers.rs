//! Answers of targets that have neither a length nor chunks and end with their connection.

use std::time::Duration;

use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::endless::Bytes;
use gooseberry_platform_standin::endless::EndlessTarget;
use gooseberry_relay::daemon::Daemon;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::wait_until;

/// Has one target of a service answer with these bytes, and returns the answer to a
/// request. The service has no other target.
pub async fn answer_of(service: &str, request: ClientRequest, first: &'static str) -> Answer {
    let (_platform, daemon) = start_with(service, first).await;
    let answer = request.send(client_address(&daemon)).await;
    answer.expect("an answer")
}

/// Starts a target that answers with these bytes and then closes the connection, and a
/// daemon that knows no other target of a service.
pub async fn start_with(service: &str, first: &'static str) -> (TestPlatform, Daemon) {
    let platform = TestPlatform::start().await;
    for target in platform.plain.iter().chain(&platform.engines) {
        platform.store.remove(&format!("servers/{}", target.name));
    }
    let bytes = Bytes {
        first,
        repeated: "",
        pause: Duration::ZERO,
    };
    let target = EndlessTarget::start("unframed", bytes).await;
    platform
        .store
        .put("servers/unframed", &target.entry(service, "z-1"));
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || {
        daemon.context().state().is_ready()
    })
    .await;
    (platform, daemon)
}

#[tokio::test]
async fn a_plain_answer_without_a_length_is_complete_at_the_end_of_its_connection() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\nwhole";
    let answer = answer_of("plain", ClientRequest::new("/once/"), head).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, "whole");
}

#[tokio::test]
async fn a_stream_without_chunks_is_complete_if_its_connection_ends_after_an_event() {
    let request = ClientRequest::new("/stream/").with_stage_pieces("");
    let events = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n\
                  id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let answer = answer_of("engine", request, events).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert!(answer.body.ends_with("data: b\n\n"));
}

#[tokio::test]
async fn a_stream_without_chunks_is_broken_off_if_its_connection_ends_within_an_event() {
    let request = ClientRequest::new("/stream/").with_stage_pieces("");
    let events = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n\
                  id: 1\ndata: a\n\nid: 2\nda";
    let answer = answer_of("engine", request, events).await;
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert!(answer.body.ends_with("data: a\n\n"));
}

/// A target that crashes when it begins to write leaves the same bytes.
#[tokio::test]
async fn a_stream_without_chunks_that_ends_before_its_first_event_is_no_answer() {
    let request = ClientRequest::new("/stream/").with_stage_pieces("");
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n";
    let answer = answer_of("engine", request, head).await;
    assert_eq!(answer.status, 502);
}
