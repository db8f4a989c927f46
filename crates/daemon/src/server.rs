//! The HTTP server that callers, peers and operators are served by.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::answer::HttpAnswer;

/// The largest head of a request, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How many connections one port serves at a time.
const CONNECTIONS_MAX: usize = 4096;

/// Serves HTTP until `stop` turns true; then each connection ends after the
/// request that it is serving.
pub async fn serve<H, F>(listener: TcpListener, stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut stopping = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stop| *stop) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a connection could not be taken: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        // A connection above the limit is closed; its caller may come back.
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            continue;
        };
        let handler = handler.clone();
        let stop = stop.clone();
        tokio::spawn(async move {
            connection(stream, stop, handler).await;
            drop(permit);
        });
    }
}

async fn connection<H, F>(stream: TcpStream, mut stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = HttpAnswer>,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(|request| {
        let answer = handler(request);
        async { Ok::<_, std::convert::Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = stop.wait_for(|stop| *stop) => None,
    };
    let result = if let Some(result) = ended {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = result {
        log::debug!("a connection ended early: {error}");
    }
}
