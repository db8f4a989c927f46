//! Client connections: reuse, request smuggling, and the shutdown of a daemon.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream as BlockingStream;
use std::sync::Arc;
use std::time::Duration;

use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::http_server::HttpServer;
use gooseberry_relay::http_server::full_body;
use http::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::platform::client_address;
use crate::platform::start_one;
use crate::platform::wait_until;

#[tokio::test]
async fn client_and_target_connections_are_reused() {
    let (_platform, daemon) = start_one().await;
    let mut connection = HttpConnection::open(client_address(&daemon), Duration::from_secs(1))
        .await
        .expect("the daemon listens");
    for _ in 0..10 {
        let answer = ClientRequest::new("/read/").send_on(&mut connection).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    let text = daemon
        .context()
        .metrics
        .text()
        .expect("metrics can be written");
    let text = String::from_utf8_lossy(&text).into_owned();
    let name = "gooseberry_relay_target_connections_total";
    let found = text.lines().find(|line| line.starts_with(name));
    let count = found.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    assert!(
        count.is_some_and(|count| count <= 4),
        "{count:?} connections for 10 requests"
    );
}

#[tokio::test]
async fn a_request_smuggled_in_a_body_reaches_no_target() {
    let (platform, daemon) = start_one().await;
    let smuggled = "POST /once/hidden HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: hidden\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n";
    for framing in [
        format!(
            "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n",
            5 + smuggled.len()
        ),
        "Transfer-Encoding: chunked, identity\r\n".to_owned(),
        format!(
            "Content-Length: 5\r\nContent-Length: {}\r\n",
            5 + smuggled.len()
        ),
    ] {
        let mut stream = TcpStream::connect(client_address(&daemon))
            .await
            .expect("the daemon listens");
        let request = format!(
            "POST /once/outer HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: outer\r\nX-Api-Key: key-1\r\nConnection: close\r\n{framing}\r\n0\r\n\r\n{smuggled}"
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the daemon reads the request");
        let mut answer = Vec::new();
        // The daemon may also close the connection without a response.
        stream.read_to_end(&mut answer).await.ok();
    }
    let seen: Vec<_> = platform.plain.iter().flat_map(Target::received).collect();
    assert!(
        seen.iter().all(|seen| seen.path != "/once/hidden"),
        "{seen:?}"
    );
}

#[tokio::test]
async fn a_shutdown_completes_requests_and_closes_connections_with_a_response() {
    let (platform, daemon) = start_one().await;
    let address = client_address(&daemon);
    let mut connection = HttpConnection::open(address, Duration::from_secs(1))
        .await
        .expect("the daemon listens");
    let answer = ClientRequest::new("/read/").send_on(&mut connection).await;
    assert_eq!(answer.expect("an answer").header("Connection"), "");
    for target in &platform.plain {
        target.queue_modes(&[Mode::Delayed(600)]);
    }
    let client = ClientRequest::new("/once/");
    let attempt = client.attempt.clone();
    let slow = tokio::spawn(async move { client.send(address).await });
    wait_until("the slow request has begun", || {
        platform.runs(&attempt) == 1
    })
    .await;
    let shutdown = daemon.shut_down();
    tokio::pin!(shutdown);
    tokio::select! {
        () = shutdown.as_mut() => panic!("the shutdown ended before its requests"),
        () = tokio::time::sleep(Duration::from_millis(50)) => {}
    }
    assert!(!daemon.context().state().is_ready());
    let last_request = async {
        // A kept-alive connection is still served, and closed with the response.
        let answer = ClientRequest::new("/read/").send_on(&mut connection).await;
        answer.expect("an answer")
    };
    let (answer, ()) = tokio::join!(last_request, shutdown);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("Connection"), "close");
    let answer = slow
        .await
        .expect("the task did not panic")
        .expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

#[tokio::test]
async fn a_request_that_cannot_finish_before_shutdown_is_refused_as_not_run() {
    let (_platform, daemon) = start_one().await;
    let address = client_address(&daemon);
    let shutdown = daemon.shut_down();
    let request = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The grace period is 4 s; a stream of this route may need 5.2 s: its
        // objective of 1 s, and 4.2 s for the events after the first.
        ClientRequest::new("/stream/")
            .with_stage_pieces("")
            .send(address)
            .await
    };
    let (answer, ()) = tokio::join!(request, shutdown);
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(!answer.header("Retry-After").is_empty());
}

/// Guards against a stop that cuts requests whose connections have just been accepted or wait
/// to be, and those that have arrived on idle connections or in part.
#[tokio::test]
async fn requests_that_arrive_as_a_server_drains_are_answered() {
    let (_platform, daemon) = start_one().await;
    let server = Arc::new(HttpServer::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (serving, context) = (server.clone(), daemon.context().clone());
    let accepting = tokio::spawn(async move {
        let answer = |_| async { Response::new(full_body("done".into())) };
        serving.serve(context, listener, answer).await;
    });
    let head = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
    let connect = || BlockingStream::connect(address).expect("it listens");
    let settle = || tokio::time::sleep(Duration::from_millis(30));
    // The clients write while the thread of the server does nothing.
    let mut streams: Vec<(&str, BlockingStream, usize)> = Vec::new();
    for _ in 0..8 {
        streams.push(("accepted", connect(), 0));
        let mut used = connect();
        used.write_all(head).expect("it reads");
        settle().await;
        assert!(used.read(&mut [0; 1000]).expect("an answer") > 0);
        streams.push(("used before", used, 0));
        let mut begun = connect();
        begun.write_all(&head[..20]).expect("it reads");
        streams.push(("partly read", begun, 20));
    }
    settle().await;
    server.drain();
    streams.extend((0..8).map(|_| ("waiting", connect(), 0)));
    for (_, stream, begin) in &mut streams {
        // Of some, the last bytes come after the drain has begun.
        let end = if *begin > 0 { 30 } else { head.len() };
        stream.write_all(&head[*begin..end]).expect("it reads");
        *begin = end;
    }
    settle().await;
    let mut cut = Vec::new();
    for (what, mut stream, begin) in streams {
        // It fails if the server has closed the connection, and so does the read.
        stream.write_all(&head[begin..]).ok();
        settle().await;
        stream.set_nonblocking(true).expect("a socket");
        if !matches!(stream.read(&mut [0; 1000]), Ok(1..)) {
            cut.push(what);
        }
    }
    assert!(cut.is_empty(), "cut: {cut:?}");
    accepting.await.expect("no panic");
    assert!(connect_is_refused(address));
}

fn connect_is_refused(address: std::net::SocketAddr) -> bool {
    BlockingStream::connect(address).is_err()
}

#[test]
fn bodies_beyond_the_memory_limit_get_no_permit() {
    let memory = gooseberry_relay::body_memory::BodyMemory::new(10_000);
    let first = memory.acquire(6_000).expect("there is enough memory");
    assert!(memory.acquire(6_000).is_none());
    assert!(memory.acquire(3_000).is_some());
    drop(first);
    assert!(memory.acquire(9_000).is_some());
}
