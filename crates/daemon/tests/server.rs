//! The connection limit of the HTTP server.

#![allow(missing_docs, clippy::unwrap_used)]

use std::net::SocketAddr;

use gooseberryd::answer;
use gooseberryd::server;
use gooseberryd::server::ConnectionLimit;
use gooseberryd::server::Phase;
use prometheus::IntCounter;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Sends a request on a connection and returns how many bytes came back.
async fn ask(stream: &mut TcpStream) -> usize {
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.write_all(request).await.ok();
    let mut answer = [0; 1024];
    stream.read(&mut answer).await.unwrap_or(0)
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

#[tokio::test]
async fn a_connection_above_the_limit_is_closed_and_counted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connection_limit = ConnectionLimit {
        max_connections: 1,
        refused: IntCounter::new("refused", "Refused.").unwrap(),
    };
    let refused = connection_limit.refused.clone();
    let (phase, phases) = watch::channel(Phase::Open);
    let handler = |_| async { answer::with_body(200, "hello") };
    let serving = tokio::spawn(server::serve(listener, connection_limit, phases, handler));

    let mut first = connect(address).await;
    assert!(ask(&mut first).await > 0);
    let mut second = connect(address).await;
    assert_eq!(ask(&mut second).await, 0);
    assert_eq!(refused.get(), 1);
    assert!(
        ask(&mut first).await > 0,
        "the first connection is still served"
    );

    drop(first);
    while ask(&mut connect(address).await).await == 0 {}
    phase.send_replace(Phase::Ended);
    serving.await.unwrap();
}
