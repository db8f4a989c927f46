//! The HTTP server of the stand-ins, which can break connections on purpose.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Delay before binding a port that is still in use is tried again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Reaction of a stand-in to a request.
pub enum Reply {
    /// Sends a response.
    Answer(Response<Body>),
    /// Closes the connection without a response.
    Break,
    /// Closes all connections of the server, and refuses new ones for this time.
    Crash(Duration),
}

/// Body of a response, which may end before its announced length.
#[derive(Debug)]
pub struct Body {
    chunk: Option<Bytes>,
    announced: u64,
    is_cut: bool,
}

impl Body {
    fn whole(bytes: Bytes) -> Self {
        Self {
            announced: bytes.len() as u64,
            chunk: Some(bytes),
            is_cut: false,
        }
    }

    /// Returns a body that closes the connection after the first half of the
    /// bytes.
    fn cut(bytes: &Bytes) -> Self {
        Self {
            announced: bytes.len() as u64,
            chunk: Some(bytes.slice(..bytes.len() / 2)),
            is_cut: true,
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let next = match self.chunk.take() {
            Some(bytes) => Some(Ok(Frame::data(bytes))),
            None if self.is_cut => Some(Err(Broken)),
            None => None,
        };
        Poll::Ready(next)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced)
    }
}

/// A running server; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
    down_until: watch::Sender<Instant>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Listens on the address; port 0 means any free port.
    ///
    /// # Errors
    /// Returns an error if the port cannot be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> anyhow::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let down_until = watch::Sender::new(Instant::now());
        let task = tokio::spawn(run(listener, Arc::new(handler), down_until.clone()));
        Ok(Self {
            address,
            task,
            down_until,
        })
    }

    /// Returns the address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections, and refuses new ones for the given time.
    pub fn crash(&self, span: Duration) {
        self.down_until.send_replace(Instant::now() + span);
    }
}

async fn run<H, F>(mut listener: TcpListener, handler: Arc<H>, down_until: watch::Sender<Instant>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut crashes = down_until.subscribe();
    loop {
        tokio::select! {
            () = accept(&listener, handler.clone(), down_until.clone()) => return,
            _ = crashes.changed() => {}
        }
        drop(listener);
        let until = *crashes.borrow_and_update();
        tokio::time::sleep_until(until).await;
        listener = rebind(address).await;
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
        }
    }
}

async fn accept<H, F>(listener: &TcpListener, handler: Arc<H>, down_until: watch::Sender<Instant>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Dropping the set closes the connections together with the server.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve_connection(
            stream,
            handler.clone(),
            down_until.clone(),
        ));
        // Removes the tasks of closed connections from the set.
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    handler: Arc<H>,
    down_until: watch::Sender<Instant>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let service = service_fn(|request| {
        let reply = handler(request);
        let down_until = &down_until;
        async move {
            match reply.await {
                Reply::Answer(answer) => Ok(answer),
                Reply::Break => Err(Broken),
                Reply::Crash(span) => {
                    down_until.send_replace(Instant::now() + span);
                    Err(Broken)
                }
            }
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    connection.await.ok();
}

/// Error that makes hyper close the connection without a response.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("the stand-in closes this connection on purpose")
    }
}

impl std::error::Error for Broken {}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Returns a response, or [`Reply::Break`] if a header or the status is not
/// valid.
#[must_use]
pub fn answer(status: u16, headers: &[(&str, String)], body: impl Into<Bytes>) -> Reply {
    respond(status, headers, Body::whole(body.into()))
}

/// Returns a response whose connection closes in the middle of the body.
#[must_use]
pub fn cut_answer(status: u16, headers: &[(&str, String)], body: impl Into<Bytes>) -> Reply {
    respond(status, headers, Body::cut(&body.into()))
}

fn respond(status: u16, headers: &[(&str, String)], body: Body) -> Reply {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    builder.body(body).map_or(Reply::Break, Reply::Answer)
}
