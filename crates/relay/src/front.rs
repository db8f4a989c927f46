//! Serves the connections of clients, and the small pages beside them.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::table::Limits;
use gooseberry_platform::client;
use gooseberry_runtime::observed_stream::ObservedStream;
use gooseberry_runtime::socket;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::activity::Activity;
use crate::activity::Busy;
use crate::activity::Due;
use crate::context::Context;

/// The body of an answer.
pub type Answer = UnsyncBoxBody<Bytes, io::Error>;

/// The limits before any settings are known; the first settings replace them.
const LIMITS_DEFAULT: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head: Millis(3_000),
    idle: Millis(15_000),
};
/// The least size of a connection's buffer that the HTTP library takes.
const BUFFER_MIN_BYTES: usize = 8 << 10;
/// The part of a daemon's connections that clients may have; the others are for
/// targets and peers.
const CONNECTIONS_PART: usize = 2;
/// How long to wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How the connections of clients go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// They serve.
    Open,
    /// Each ends once it serves no request.
    Ending,
    /// Each breaks off now.
    Cut,
}

/// The open connections of clients, and how they are ended.
#[derive(Debug)]
pub struct Front {
    phase: watch::Sender<Phase>,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl Default for Front {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Open),
            requests: Arc::default(),
            connections: Arc::default(),
        }
    }
}

/// Makes a body that is whole.
pub fn whole(bytes: Bytes) -> Answer {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

impl Front {
    /// Returns how many requests are in progress.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Ends each connection once it serves no request.
    pub fn end(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Breaks each connection off.
    pub fn cut(&self) {
        self.phase.send_replace(Phase::Cut);
    }

    /// Serves clients until [`Front::end`].
    pub async fn serve<H, F>(&self, context: Arc<Context>, listener: TcpListener, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Answer>> + Send + 'static,
    {
        let mut phase = self.phase.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase != Phase::Open) => return,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("a connection could not be taken: {error}");
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if self.connections() >= context.boot.connections / CONNECTIONS_PART {
                log::warn!(connections = self.connections(); "too many connections");
                continue;
            }
            let count = Count::new(&self.connections);
            let requests = self.requests.clone();
            let (context, handler) = (context.clone(), handler.clone());
            let phase = self.phase.subscribe();
            tokio::spawn(async move {
                connection(context, stream, requests, phase, handler).await;
                drop(count);
            });
        }
    }
}

/// Serves a page that has one answer, for as long as the process runs.
pub async fn serve_page<H>(listener: TcpListener, page: H)
where
    H: Fn(&str) -> (StatusCode, Bytes) + Clone + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let (status, body) = page(request.uri().path());
                let mut answer = Response::new(Full::new(body));
                *answer.status_mut() = status;
                async move { Ok::<_, Infallible>(answer) }
            });
            // Who asks for a page and goes away needs no answer.
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            served.await.ok();
        });
    }
}

/// Returns the page that tells the platform whether the daemon is ready.
pub fn ready_page(context: &Context, path: &str) -> (StatusCode, Bytes) {
    if path != client::READY_PATH {
        return (StatusCode::NOT_FOUND, Bytes::new());
    }
    if context.state().is_ready() {
        (StatusCode::OK, Bytes::from_static(b"ready\n"))
    } else {
        (
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::from_static(b"not ready\n"),
        )
    }
}

async fn connection<H, F>(
    context: Arc<Context>,
    stream: TcpStream,
    requests: Arc<AtomicUsize>,
    mut phase: watch::Receiver<Phase>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Answer>>,
{
    if let Err(error) = socket::set_options(&stream) {
        log::debug!("a connection could not be tuned: {error}");
    }
    let activity = Activity::new(context.clock);
    let service = service_fn(|request| {
        let (busy, count) = (activity.begin(), Count::new(&requests));
        let answer = handler(request);
        let context = context.clone();
        async move {
            let mut answer = answer.await;
            if context.state().is_leaving() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            let held = |body| Held {
                body,
                _busy: busy,
                _count: count,
            };
            Ok::<_, Infallible>(answer.map(held))
        }
    });
    let head_bytes = limits(&context).head_bytes.max(BUFFER_MIN_BYTES);
    let connection = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(head_bytes)
        .serve_connection(
            TokioIo::new(ObservedStream::new(stream, activity.clone())),
            service,
        );
    tokio::pin!(connection);
    let mut look_after = Duration::from_millis(limits(&context).head.0);
    let mut seen = Phase::Open;
    loop {
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            () = sleep(look_after) => None,
            changed = next_phase(&mut phase, seen) => {
                seen = changed;
                if seen == Phase::Cut {
                    return;
                }
                connection.as_mut().graceful_shutdown();
                None
            }
        };
        if let Some(ended) = ended {
            if let Err(error) = ended {
                log::debug!("a connection ended early: {error}");
            }
            return;
        }
        match activity.due(limits(&context)) {
            Due::Later(span) => look_after = Duration::from_millis(span.0.max(1)),
            Due::Idle => {
                connection.as_mut().graceful_shutdown();
                look_after = Duration::from_millis(limits(&context).idle.0);
            }
            // Nothing was read that could be answered.
            Due::SlowHead => return,
        }
    }
}

/// Waits for a phase after the one that was seen.
async fn next_phase(phase: &mut watch::Receiver<Phase>, seen: Phase) -> Phase {
    let changed = phase.wait_for(|phase| *phase > seen).await;
    // Without its sender the front is gone, and its connections end.
    changed.map_or(Phase::Cut, |phase| *phase)
}

fn limits(context: &Context) -> Limits {
    let state = context.state();
    state.table().map_or(LIMITS_DEFAULT, |table| table.limits)
}

/// Counts one more of something until it is dropped.
#[derive(Debug)]
struct Count(Arc<AtomicUsize>);

impl Count {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body during which its request counts as being in progress.
#[derive(Debug)]
struct Held {
    body: Answer,
    _busy: Busy,
    _count: Count,
}

impl Body for Held {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
