//! What clients get from a daemon that stops.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_relay::daemon::Daemon;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::is_ready_with;
use crate::platform::wait_until;

/// Starts a daemon whose targets accept this number of connections each, with two routes whose
/// requests may last for longer than a stop, though their objective is short.
async fn start(max_connections: u32) -> (TestPlatform, Daemon) {
    let platform = TestPlatform::start().await;
    let route = |name: &str, kind: &str| {
        format!(
            r#"{{"name": "r-{name}", "host": "a.example", "prefix": "/{name}/", "kind": "{kind}",
     "timeout_ms": 20000, "target_latency_ms": 150, "priority": 2, "service": "plain",
     "max_attempts": 1}},"#
        )
    };
    let routes = [
        route("slow", "non_idempotent"),
        route("search", "idempotent"),
    ]
    .concat();
    let settings = SETTINGS.replacen("\"routes\": [", &format!("\"routes\": [{routes}"), 1);
    let limit = format!(r#""plain", "max_conns": {max_connections}}}"#);
    let settings = settings.replacen(r#""plain", "max_conns": 100}"#, &limit, 1);
    platform.store.put("op/config", &settings);
    let second = &platform.plain[1];
    platform.store.remove(&format!("servers/{}", second.name));
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 7)).await;
    (platform, daemon)
}

fn client(path: &str) -> ClientRequest {
    ClientRequest::new(path).with("Deadline-Ms", "15000")
}

fn spawn(client: &ClientRequest, address: SocketAddr) -> JoinHandle<Option<Answer>> {
    let client = client.clone();
    tokio::spawn(async move { client.send(address).await })
}

/// Checks that an answer says truly that its request has not run.
fn assert_refused(platform: &TestPlatform, client: &ClientRequest, answer: &Answer) {
    assert_eq!((answer.status, answer.is_complete), (503, true));
    assert!(!answer.header("Retry-After").is_empty());
    assert_eq!(platform.runs(&client.attempt), 0);
}

/// Guards against requests that are taken late in a stop, since their objective is short, and
/// then cut at their target.
#[tokio::test]
async fn a_stop_refuses_requests_that_last_longer_than_it() {
    for path in ["/slow/", "/search/"] {
        let (platform, daemon) = start(100).await;
        platform.plain[0].queue_modes(&[Mode::Delayed(1_200); 20]);
        let address = client_address(&daemon);
        let sending = (0..12).map(async |number| {
            sleep(Duration::from_millis(250 * number)).await;
            let client = client(path);
            (client.send(address).await.expect("an answer"), client)
        });
        let (answers, ()) = join(join_all(sending), daemon.shut_down()).await;
        let is_served = |(answer, client): &(Answer, ClientRequest)| {
            if answer.status != 200 {
                assert_refused(&platform, client, answer);
            }
            answer.status == 200
        };
        let served = answers.iter().filter(|answer| is_served(answer)).count();
        assert!((6..=9).contains(&served), "{path}: {served}");
    }
}

/// Guards against requests that are admitted before a stop and sent when it is too late.
#[tokio::test]
async fn a_stop_refuses_requests_whose_turn_comes_too_late() {
    let (platform, daemon) = start(1).await;
    platform.plain[0].queue_modes(&[Mode::Delayed(2_500); 3]);
    let address = client_address(&daemon);
    let first = spawn(&client("/slow/"), address);
    wait_until("the first one runs", || platform.plain_requests() == 1).await;
    let clients = [client("/slow/"), client("/slow/")];
    let waiting = clients.each_ref().map(|client| spawn(client, address));
    sleep(Duration::from_millis(100)).await;
    daemon.shut_down().await;
    let first = first.await.expect("no panic").expect("an answer");
    assert_eq!((first.status, first.is_complete), (200, true));
    for (client, answer) in clients.iter().zip(waiting) {
        let answer = answer.await.expect("no panic").expect("an answer");
        assert_refused(&platform, client, &answer);
    }
}

/// Guards against requests that are cut without an answer at the end of the grace.
#[tokio::test]
async fn a_stop_answers_what_its_targets_still_have() {
    let (platform, daemon) = start(100).await;
    platform.plain[0].queue_modes(&[Mode::Delayed(10_000); 2]);
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::PauseBefore(1, 10_000); 4]);
    }
    let address = client_address(&daemon);
    let stream = |path| client(path).with_stage_pieces("");
    let clients = [
        client("/slow/"),
        client("/search/"),
        stream("/stream/"),
        stream("/resume/"),
    ];
    let sent = clients.each_ref().map(|client| spawn(client, address));
    for client in &clients {
        let has_begun = || platform.runs(&client.attempt) > 0;
        wait_until("it has reached a target", has_begun).await;
    }
    let mut partial = TcpStream::connect(address).await.expect("it listens");
    let head = "POST /slow/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: partial\r\n\
                X-Api-Key: key-1\r\nContent-Length: 10\r\n\r\npart";
    let written = partial.write_all(head.as_bytes()).await;
    written.expect("it reads");
    daemon.shut_down().await;
    assert!(sent.iter().all(JoinHandle::is_finished));
    for (client, answer) in clients.iter().zip(sent) {
        let answer = answer.await.expect("no panic").expect("an answer");
        // The status promises nothing.
        assert!([502, 504].contains(&answer.status), "{}", answer.status);
        assert!(answer.is_complete && platform.runs(&client.attempt) > 0);
    }
    let mut answer = [0; 1_000];
    let count = partial.try_read(&mut answer).expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..count]);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(platform.runs("partial"), 0);
}

/// Guards against streams that look complete when a stop has cut them.
#[tokio::test]
async fn a_stop_cuts_streams_after_an_event_and_does_not_end_them() {
    let (platform, daemon) = start(100).await;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::PauseBefore(3, 10_000); 2]);
    }
    let address = client_address(&daemon);
    let chunked = spawn(&client("/stream/").with_stage_pieces(""), address);
    let mut unframed = TcpStream::connect(address).await.expect("it listens");
    let head = "POST /stream/ HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: unframed\r\n\
                X-Api-Key: key-1\r\nModel: m\r\nToken-Counts: 100,20\r\n\
                Prompt-Prefix: aa:50,bb:50\r\nContent-Length: 0\r\n\r\n";
    let written = unframed.write_all(head.as_bytes()).await;
    written.expect("it reads");
    let unframed = tokio::spawn(async move {
        let mut answer = Vec::new();
        let end = unframed.read_to_end(&mut answer).await;
        (end, String::from_utf8_lossy(&answer).into_owned())
    });
    sleep(Duration::from_millis(200)).await;
    daemon.shut_down().await;
    assert!(chunked.is_finished() && unframed.is_finished());
    let answer = chunked.await.expect("no panic").expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, false));
    let (end, unframed) = unframed.await.expect("no panic");
    assert!(end.is_err(), "it looks complete: {unframed}");
    for body in [&answer.body, &unframed] {
        assert!(body.ends_with("data: event 2\n\n"), "{body}");
    }
}

/// Guards against answers that are cut at a stop as their clients read slowly.
#[tokio::test]
async fn a_stop_waits_for_clients_that_read_slowly() {
    let (platform, daemon) = start(100).await;
    let text: &str = "x".repeat(3 << 20).leak();
    platform.plain[0].queue_modes(&[Mode::Reply("text/plain", text)]);
    let mut client = TcpStream::connect(client_address(&daemon))
        .await
        .expect("it listens");
    let request = "POST /search/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: slow\r\n\
                   X-Api-Key: key-1\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n";
    client
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    let mut answer = vec![0; 1];
    client.read_exact(&mut answer).await.expect("an answer");
    let reading = async {
        sleep(Duration::from_millis(2_900)).await;
        client.read_to_end(&mut answer).await.expect("it is whole");
    };
    join(reading, daemon.shut_down()).await;
    assert!(answer.starts_with(b"HTTP/1.1 200"));
    assert!(answer.ends_with(text.as_bytes()), "{}", answer.len());
}
