//! The HTTP/1 server of the callers', peers' and operators' ports: connection
//! limit, head limits and graceful close.

use std::sync::Arc;
use std::time::Duration;

use gooseberry_connectors::http_client;
use http::Request;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use prometheus::IntCounter;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::answer;
use crate::answer::HttpAnswer;

/// The largest request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// How long a client may take to send a request head.
///
/// It is also the time after which an idle connection is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
// Peers must close an idle connection before this side does; otherwise a
// request could be sent just as its connection is closed.
const _: () = assert!(http_client::IDLE_TIMEOUT.as_millis() * 3 / 2 < HEAD_TIMEOUT.as_millis());
/// The number of connections that one port serves at a time.
pub const CONNECTIONS_MAX: usize = 4096;

/// The connection limit of a port, and the counter of refused connections.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    /// The number of connections that are served at a time.
    pub max_connections: usize,
    /// Counts the connections above the limit, which are closed at once.
    pub refused: IntCounter,
}

/// The shutdown phase of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Connections are kept open between requests.
    #[default]
    Open,
    /// Requests are served, but each answer has `Connection: close`, so that no
    /// request is in transit when the connections are closed.
    Closing,
    /// Each connection is closed after the request in progress.
    Ended,
}

/// Serves HTTP until the phase is [`Phase::Ended`], and returns when all
/// connections are closed.
pub async fn serve<H, F>(
    listener: TcpListener,
    connection_limit: ConnectionLimit,
    phase: watch::Receiver<Phase>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(connection_limit.max_connections));
    let mut ending = phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ending.wait_for(|phase| *phase == Phase::Ended) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        // A connection above the limit is closed; the client may retry.
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            connection_limit.refused.inc();
            continue;
        };
        let handler = handler.clone();
        let phase = phase.clone();
        tokio::spawn(async move {
            serve_connection(stream, phase, handler).await;
            drop(permit);
        });
    }
    drop(listener);
    let all_permits = u32::try_from(connection_limit.max_connections).unwrap_or(u32::MAX);
    connections.acquire_many(all_permits).await.ok();
}

async fn serve_connection<H, F>(stream: TcpStream, mut phase: watch::Receiver<Phase>, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = HttpAnswer>,
{
    stream.set_nodelay(true).ok();
    let current_phase = phase.clone();
    let service = service_fn(|request| {
        let answer = handler(request);
        let current_phase = current_phase.clone();
        async move {
            let mut answer = answer.await;
            if *current_phase.borrow() != Phase::Open {
                answer::set_header(&mut answer, CONNECTION.as_str(), "close");
            }
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = phase.wait_for(|phase| *phase == Phase::Ended) => None,
    };
    let result = if let Some(result) = ended {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = result {
        log::debug!("a connection failed: {error}");
    }
}
