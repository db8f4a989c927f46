//! The small HTTP server that the stand-ins share.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// What a stand-in does with a request.
pub enum Reply {
    /// It answers.
    Answer(Response<Full<Bytes>>),
    /// Its connection breaks.
    Break,
}

/// A running server; it ends, with its connections, when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Serves at the address; port 0 takes any free port.
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
        let handler = Arc::new(handler);
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { address, task })
    }

    /// Returns where it serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<H, F>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // The set ends the connections together with the server.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).ok();
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let reply = handler(request);
                async move {
                    match reply.await {
                        Reply::Answer(answer) => Ok(answer),
                        Reply::Break => Err(Broken),
                    }
                }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            connection.await.ok();
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Makes hyper drop the connection without an answer.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("the stand-in breaks this connection")
    }
}

impl std::error::Error for Broken {}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Makes an answer; a header that cannot be written is a fault of the caller.
#[must_use]
pub fn answer(status: u16, headers: &[(&str, String)], body: impl Into<Bytes>) -> Reply {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    match builder.body(Full::new(body.into())) {
        Ok(answer) => Reply::Answer(answer),
        Err(_) => Reply::Break,
    }
}
