//! Serves client connections over HTTP/1.1, with limits on their number and
//! timeouts, and the pages for readiness and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::request::client_timeouts::TimeoutCheck;
use gooseberry_kernel::request::routing_table::ClientLimits;
use gooseberry_platform::client;
use gooseberry_runtime::observed_stream::ObservedStream;
use gooseberry_runtime::socket;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
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
use crate::activity::CountGuard;
use crate::activity::RequestGuard;
use crate::answer_record::AnswerRecord;
use crate::context::Context;

/// The body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// The smallest connection buffer that hyper accepts.
const BUFFER_MIN_BYTES: usize = 8 << 10;
/// Client connections may use one part in this many of the daemon's connection
/// limit; the rest is for targets and peers.
const CLIENT_CONNECTIONS_DIVISOR: usize = 2;
/// How long to wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a connection is checked that closes once it is idle. What its client has sent
/// before is read by then, also on a busy processor.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The state of all client connections; it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Connections are accepted and served.
    Serving,
    /// Each connection closes once it is idle after a request.
    Draining,
    /// Each connection closes at once.
    Aborted,
}

/// Serves client connections and closes them at shutdown.
#[derive(Debug)]
pub struct HttpServer {
    phase: watch::Sender<Phase>,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl Default for HttpServer {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Serving),
            requests: Arc::default(),
            connections: Arc::default(),
        }
    }
}

/// Returns a body with these bytes as its whole content.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|infallible: Infallible| match infallible {})
        .boxed_unsync()
}

impl HttpServer {
    /// Returns how many requests are in progress; one ends with the last byte
    /// of its response body.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Stops accepting connections, and closes each one once it is idle after a request.
    /// Those that the system has already established for this server are still served.
    pub fn drain(&self) {
        self.phase.send_replace(Phase::Draining);
    }

    /// Closes every connection at once, also under a request.
    pub fn abort(&self) {
        self.phase.send_replace(Phase::Aborted);
    }

    /// Accepts client connections until [`HttpServer::drain`] or
    /// [`HttpServer::abort`].
    pub async fn serve<H, F>(&self, context: Arc<Context>, listener: TcpListener, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let mut phase = self.phase.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase != Phase::Serving) => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(&context, stream, &handler),
                Err(error) => {
                    log::warn!("a connection could not be accepted: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        if *self.phase.borrow() == Phase::Aborted {
            return;
        }
        // The runtime may not know yet of the last connections, so the system is asked.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.spawn_connection(&context, stream, &handler),
                Err(error) => log::warn!("a connection could not be accepted: {error}"),
            }
        }
    }

    /// Serves a connection in a task of its own, unless there are too many.
    fn spawn_connection<H, F>(&self, context: &Arc<Context>, stream: TcpStream, handler: &H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        if self.connections() >= context.boot.max_connections / CLIENT_CONNECTIONS_DIVISOR {
            log::warn!(connections = self.connections(); "too many client connections; a new one is closed");
            return;
        }
        let count_guard = CountGuard::new(&self.connections);
        let requests = self.requests.clone();
        let (context, handler) = (context.clone(), handler.clone());
        let phase = self.phase.subscribe();
        tokio::spawn(async move {
            serve_connection(context, stream, requests, phase, handler).await;
            drop(count_guard);
        });
    }
}

/// Answers each request with what `page` returns for its path, for as long as the
/// process runs.
pub async fn serve_page<H>(listener: TcpListener, page: H)
where
    H: Fn(&str) -> (StatusCode, Bytes) + Clone + Send + Sync + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let page = page.clone();
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let (status, body) = page(request.uri().path());
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            // An error means that the client closed the connection early.
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            served.await.ok();
        });
    }
}

/// Returns the readiness page, which the platform polls.
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

/// Serves one connection until it closes, a timeout passes or the server drains
/// or aborts it.
async fn serve_connection<H, F>(
    context: Arc<Context>,
    stream: TcpStream,
    requests: Arc<AtomicUsize>,
    mut phase: watch::Receiver<Phase>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<ResponseBody>>,
{
    // A client may take as long to read on as it may be idle.
    let read_pause_max = Duration::from_millis(limits(&context).idle_timeout.0);
    if let Err(error) = socket::set_slow_reader_options(&stream, read_pause_max) {
        log::debug!("the socket options of a connection could not be set: {error}");
    }
    let activity = Activity::new(context.clone());
    // Without chunks, the end of the connection is the end of a stream.
    let has_chunks = AtomicBool::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        let is_1_1 = request.version() >= Version::HTTP_11;
        has_chunks.store(is_1_1, Ordering::Relaxed);
        let is_head = request.method() == Method::HEAD;
        let mut request_guard = activity.begin(CountGuard::new(&requests));
        let response = handler(request);
        let context = context.clone();
        async move {
            let mut response = response.await;
            if context.state().is_leaving() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let record = response.extensions_mut().remove::<AnswerRecord>();
            request_guard.delivery = record.map(AnswerRecord::into_delivery);
            let track = |body: ResponseBody| {
                // A response to HEAD has a body that is not sent.
                request_guard.is_read = is_head || body.is_end_stream();
                request_guard.body = Some(body);
                TrackedBody(request_guard)
            };
            Ok::<_, Infallible>(response.map(track))
        }
    });
    let head_bytes = limits(&context).max_header_bytes.max(BUFFER_MIN_BYTES);
    let mut connection = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(head_bytes)
        .serve_connection(
            TokioIo::new(ObservedStream::new(stream, activity.clone())),
            service,
        );
    let mut check_after = Duration::from_millis(limits(&context).header_timeout.0);
    let mut last_phase = Phase::Serving;
    loop {
        // What the client has sent is read before anything else is decided.
        let ended = tokio::select! {
            biased;
            ended = &mut connection => Some(ended),
            changed = next_phase(&mut phase, last_phase) => {
                last_phase = changed;
                if last_phase == Phase::Aborted {
                    if !has_chunks.load(Ordering::Relaxed) {
                        connection.into_parts().io.into_inner().reset();
                    }
                    return;
                }
                check_after = DRAIN_CHECK_INTERVAL;
                continue;
            }
            () = sleep(check_after) => None,
        };
        if let Some(ended) = ended {
            if let Err(error) = ended {
                log::debug!("a connection ended early: {error}");
                if !has_chunks.load(Ordering::Relaxed) {
                    connection.into_parts().io.into_inner().reset();
                }
            }
            return;
        }
        if last_phase == Phase::Draining && activity.is_between_requests() {
            Pin::new(&mut connection).graceful_shutdown();
        }
        match activity.check_timeouts() {
            TimeoutCheck::NotYet(left) => check_after = Duration::from_millis(left.0.max(1)),
            TimeoutCheck::Idle => {
                Pin::new(&mut connection).graceful_shutdown();
                check_after = Duration::from_millis(limits(&context).idle_timeout.0);
            }
            // The request head is incomplete, so there is nothing to respond to.
            TimeoutCheck::SlowHead => return,
        }
        if last_phase == Phase::Draining {
            check_after = check_after.min(DRAIN_CHECK_INTERVAL);
        }
    }
}

/// Waits for a phase later than `last_phase`.
async fn next_phase(phase: &mut watch::Receiver<Phase>, last_phase: Phase) -> Phase {
    let changed = phase.wait_for(|phase| *phase > last_phase).await;
    // The sender is dropped with the server; its connections close then.
    changed.map_or(Phase::Aborted, |phase| *phase)
}

/// Returns the limits that clients may go by.
fn limits(context: &Context) -> ClientLimits {
    context.state().client_limits(context.now())
}

/// A response body that counts its request as in progress until it has been sent.
#[derive(Debug)]
struct TrackedBody(RequestGuard);

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let Some(body) = self.0.body.as_mut() else {
            return Poll::Ready(None);
        };
        let frame = Pin::new(&mut *body).poll_frame(context);
        // The end of a body of a known length may not be asked for.
        let is_read = matches!(frame, Poll::Ready(None)) || body.is_end_stream();
        self.0.is_read |= is_read;
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.0.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.0.body.as_ref();
        body.map_or_else(SizeHint::default, Body::size_hint)
    }
}
