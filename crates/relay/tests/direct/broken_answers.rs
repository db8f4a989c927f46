//! Answers that break off: none may reach a client as a complete success.

use std::time::Duration;

use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::STREAM_EVENTS;
use gooseberry_relay::daemon::Daemon;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::partitions::Fleet;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::start_one;
use crate::unframed_answers::answer_of;
use crate::unframed_answers::start_with;

/// The beginning of each answer.
const HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n";
/// Answers that are not streams, without their end.
const PLAIN: [&str; 5] = [
    "Content-Length: 10\r\n\r\nhalf",
    "Content-Length: 10\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
    "Transfer-Encoding: chunked\r\n\r\n",
];
/// Streams without their end, and whether they have an event.
const STREAMS: [(&str, bool); 6] = [
    (
        "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
        true,
    ),
    (
        "Transfer-Encoding: chunked\r\n\r\n1f\r\nid: 1\ndata: a\n\n",
        true,
    ),
    ("Content-Length: 99\r\n\r\nid: 1\ndata: a\n\n", true),
    ("Transfer-Encoding: chunked\r\n\r\n", false),
    ("Content-Length: 99\r\n\r\nid: 1\nda", false),
    // Only the end of the connection ends these bytes.
    ("Transfer-Encoding: identity\r\n\r\n", false),
];

/// Returns the answer that a target begins with [`HEAD`] and these bytes.
fn bytes(rest: &str) -> &'static str {
    format!("{HEAD}{rest}").leak()
}

fn stream() -> ClientRequest {
    ClientRequest::new("/stream/").with_stage_pieces("")
}

#[tokio::test]
async fn a_plain_answer_that_breaks_off_is_no_success() {
    for rest in PLAIN {
        for path in ["/once/", "/read/"] {
            let answer = answer_of("plain", ClientRequest::new(path), bytes(rest)).await;
            assert!(matches!(answer.status, 502..=504), "{rest:?}: {answer:?}");
        }
    }
}

#[tokio::test]
async fn a_stream_that_breaks_off_is_not_complete() {
    for (rest, has_event) in STREAMS {
        let answer = answer_of("engine", stream(), bytes(rest)).await;
        check_broken(&answer, has_event, rest);
    }
}

#[tokio::test]
async fn an_event_that_steps_back_in_its_stream_is_not_passed_on() {
    let events = |ids: &[u32]| {
        let events = ids.iter().map(|id| format!("id: {id}\ndata: a\n\n"));
        let events: String = events.collect();
        let length = events.len();
        format!("Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{events}\r\n0\r\n\r\n")
    };
    for ids in [&[3, 4, 4, 5][..], &[3, 4, 1], &[3, 4, 3, 9]] {
        let target = bytes(&events(ids));
        let resumed = ClientRequest::new("/resume/").with_stage_pieces("");
        for request in [stream(), resumed] {
            let answer = answer_of("engine", request, target).await;
            assert_eq!((answer.status, answer.is_complete), (200, false), "{ids:?}");
            assert_eq!(
                answer.body, "id: 3\ndata: a\n\nid: 4\ndata: a\n\n",
                "{ids:?}"
            );
        }
    }
}

#[tokio::test]
async fn a_target_that_does_not_go_on_after_the_last_event_of_a_client_is_no_answer() {
    let target = "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n0\r\n\r\n";
    let (platform, daemon) = start_with("engine", bytes(target)).await;
    let broken = ClientRequest::new("/resume/").with_stage_pieces("");
    assert_eq!(answer_to(&broken, &daemon).await.status, 200);
    let resumed = ClientRequest::new("/resume/")
        .with_stage_pieces("")
        .with("Last-Event-Id", "1")
        .with("Resumes", &broken.attempt);
    let answer = answer_to(&resumed, &daemon).await;
    assert!(matches!(answer.status, 502 | 504), "{answer:?}");
    drop(platform);
}

fn check_broken(answer: &Answer, has_event: bool, rest: &str) {
    if has_event {
        let found = (answer.status, answer.is_complete);
        assert_eq!(found, (200, false), "{rest:?}: {answer:?}");
        assert!(answer.body.ends_with("data: a\n\n"), "{rest:?}");
    } else {
        assert_eq!(answer.status, 502, "{rest:?}: {answer:?}");
    }
}

/// Sends a request as a peer does that reaches no target.
async fn send_as_peer(daemon: &Daemon, service: &str, client: ClientRequest) -> Option<Answer> {
    let call = format!(
        "{{\"attempt\": \"{}\", \"service\": \"{service}\", \"version\": null, \
         \"affinity\": null, \"tried\": [], \"draw\": 0, \"due_ms\": 1000, \
         \"left_ms\": 2000, \"runs_once\": false}}",
        client.attempt
    );
    let detour = daemon.context().boot.detour_address.expect("it is set");
    let client = client.with("gooseberry-detour-call", &call);
    client.send(detour).await
}

/// The peer's client relies on the end of the connection and on the word on framing.
#[tokio::test]
async fn a_reply_that_breaks_off_is_passed_on_to_a_peer_as_broken() {
    let framed = PLAIN.into_iter().map(|rest| ("plain", rest));
    let streams = STREAMS.into_iter().map(|(rest, _)| ("engine", rest));
    for (service, rest) in framed.chain(streams) {
        let (_platform, daemon) = start_with(service, bytes(rest)).await;
        let client = if service == "engine" {
            stream()
        } else {
            ClientRequest::new("/read/")
        };
        let Some(answer) = send_as_peer(&daemon, service, client).await else {
            continue;
        };
        let outcome = answer.header("gooseberry-detour-outcome");
        let is_unframed = outcome.contains("\"is_unframed\":true");
        assert_eq!(is_unframed, rest.contains("identity"), "{rest:?} {outcome}");
        assert!(is_unframed || !answer.is_complete, "{rest:?}: {answer:?}");
    }
}

#[tokio::test]
async fn a_stream_that_breaks_off_at_a_peer_is_not_complete() {
    let mut fleet = Fleet::start().await;
    fleet.cut_off_until_known(0).await;
    for engine in &fleet.platform.engines {
        engine.queue_modes(&[Mode::DisconnectWithin(3)]);
    }
    let answer = answer_to(&stream(), &fleet.daemons[0]).await;
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert!(answer.body.ends_with("data: event 2\n\n"), "{answer:?}");
    // The events of a whole stream take five times 20 ms.
    let peers = fleet.daemons.split_off(1);
    let client = stream();
    let sending = client.send(client_address(&fleet.daemons[0]));
    let killing = async {
        sleep(Duration::from_millis(60)).await;
        for peer in peers {
            peer.kill().await;
        }
    };
    let (answer, ()) = futures::future::join(sending, killing).await;
    let answer = answer.expect("an answer");
    assert!(!answer.is_complete || answer.status != 200, "{answer:?}");
}

/// Sends a request for a stream by HTTP/1.0, in which the end of the connection ends the
/// answer; returns whether the client takes it for complete.
async fn is_complete_by_http_1_0(daemon: &Daemon) -> (bool, String) {
    let address = client_address(daemon);
    let mut connection = TcpStream::connect(address).await.expect("it listens");
    let request = "POST /stream/ HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: old\r\n\
                   X-Api-Key: key-1\r\nModel: m\r\nDeadline-Ms: 3000\r\n\r\n";
    let sent = connection.write_all(request.as_bytes()).await;
    sent.expect("the daemon reads it");
    let mut answer = Vec::new();
    let result = connection.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    (result.is_ok(), answer)
}

#[tokio::test]
async fn a_stream_that_breaks_off_is_not_complete_for_a_client_without_chunks() {
    let (platform, daemon) = start_one().await;
    let (is_complete, answer) = is_complete_by_http_1_0(&daemon).await;
    assert!(is_complete);
    let last = format!("data: event {STREAM_EVENTS}\n\n");
    assert!(answer.ends_with(&last), "{answer}");
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::DisconnectWithin(3)]);
    }
    let (is_complete, answer) = is_complete_by_http_1_0(&daemon).await;
    assert!(!is_complete, "{answer}");
}
