//! Connections of clients: reuse, smuggling, and the end of a daemon.

use std::time::Duration;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_platform_standin::client::Client;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::world::World;
use crate::world::front;
use crate::world::until;

#[tokio::test]
async fn one_connection_serves_many_requests_and_those_to_targets_are_kept() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let mut link = HttpConnection::open(front(&daemon), Duration::from_secs(1))
        .await
        .expect("it listens");
    for _ in 0..10 {
        let answer = Client::new("/read/").send_on(&mut link).await;
        assert_eq!(answer.map(|one| one.status), Some(200));
    }
    let text = daemon
        .context()
        .metrics
        .text()
        .expect("metrics can be written");
    let text = String::from_utf8_lossy(&text).into_owned();
    let name = "gooseberry_relay_target_connections_total";
    let found = text.lines().find(|one| one.starts_with(name));
    let count = found.and_then(|one| one.rsplit(' ').next()?.parse::<u64>().ok());
    assert!(
        count.is_some_and(|count| count <= 4),
        "{count:?} connections for 10 requests"
    );
}

#[tokio::test]
async fn a_request_within_another_ones_body_reaches_nobody() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let hidden = "POST /once/hidden HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: hidden\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n";
    for framing in [
        format!(
            "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n",
            5 + hidden.len()
        ),
        "Transfer-Encoding: chunked, identity\r\n".to_owned(),
        format!(
            "Content-Length: 5\r\nContent-Length: {}\r\n",
            5 + hidden.len()
        ),
    ] {
        let mut stream = TcpStream::connect(front(&daemon))
            .await
            .expect("it listens");
        let request = format!(
            "POST /once/outer HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: outer\r\nX-Api-Key: key-1\r\nConnection: close\r\n{framing}\r\n0\r\n\r\n{hidden}"
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it reads");
        let mut answer = Vec::new();
        // The daemon may break the connection off, which is an answer too.
        stream.read_to_end(&mut answer).await.ok();
    }
    let seen: Vec<_> = world.plain.iter().flat_map(Target::seen).collect();
    assert!(
        seen.iter().all(|seen| seen.path != "/once/hidden"),
        "{seen:?}"
    );
}

#[tokio::test]
async fn a_shutdown_cuts_nothing_and_closes_connections_with_an_answer() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let address = front(&daemon);
    let mut link = HttpConnection::open(address, Duration::from_secs(1))
        .await
        .expect("it listens");
    let answer = Client::new("/read/").send_on(&mut link).await;
    assert_eq!(answer.expect("an answer").header("Connection"), "");
    for target in &world.plain {
        target.then(&[Mode::Slow(600)]);
    }
    let client = Client::new("/once/");
    let attempt = client.attempt.clone();
    let slow = tokio::spawn(async move { client.send(address).await });
    until("the slow one has begun", || world.runs(&attempt) == 1).await;
    let ending = daemon.shut_down();
    tokio::pin!(ending);
    tokio::select! {
        () = ending.as_mut() => panic!("it ended before its requests"),
        () = tokio::time::sleep(Duration::from_millis(50)) => {}
    }
    assert!(!daemon.context().state().is_ready());
    let during = async {
        // A kept connection is still served, and then closed by its answer.
        let answer = Client::new("/read/").send_on(&mut link).await;
        answer.expect("an answer")
    };
    let (answer, ()) = tokio::join!(during, ending);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("Connection"), "close");
    let answer = slow.await.expect("it did not panic").expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

#[tokio::test]
async fn a_daemon_that_ends_too_soon_for_a_request_says_that_it_did_not_run() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let address = front(&daemon);
    let ending = daemon.shut_down();
    let asking = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The grace is 4 s, of which a stream of this route may need 3.5.
        Client::new("/stream/").generates("").send(address).await
    };
    let (answer, ()) = tokio::join!(asking, ending);
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(!answer.header("Retry-After").is_empty());
}

#[test]
fn bodies_beyond_the_memory_are_refused_unread() {
    let bodies = gooseberry_relay::bodies::Bodies::new(10_000);
    let first = bodies.take(6_000).expect("there is room");
    assert!(bodies.take(6_000).is_none());
    assert!(bodies.take(3_000).is_some());
    drop(first);
    assert!(bodies.take(9_000).is_some());
}
