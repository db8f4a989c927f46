//! A single HTTP/1 connection that its user controls.
//!
//! The pooled client in [`crate::http_client`] hides its connections. A user
//! that must know whether a request may have run needs to choose the connection,
//! to learn whether any of the request was sent, and to close the connection
//! when nobody waits for the reply any more: an [`HttpConnection`] closes when
//! it is dropped.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_runtime::observed_stream::ByteObserver;
use gooseberry_runtime::observed_stream::ObservedStream;
use gooseberry_runtime::socket;
use http::Request;
use http::Response;
use http_body::Body;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::read_limit::ReadLimit;
use crate::reply_body::ReplyBody;
use crate::request_progress::RequestProgress;

/// The largest head of a reply, in bytes; usual ones have a few hundred.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// The reason why a request got no reply.
#[derive(Debug)]
pub enum Error {
    /// Nothing of the request was sent, so the target cannot have run it.
    NotSent(io::Error),
    /// The connection failed after some of the request may have been sent, so the
    /// target may have run it.
    Broken(hyper::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(out, "not sent: {error}"),
            Self::Broken(error) => write!(out, "broken: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Observes the bytes of a connection for its users.
#[derive(Debug)]
struct Observer {
    read_limit: ReadLimit,
    progress: RequestProgress,
}

impl ByteObserver for Observer {
    fn before_read(&self) -> io::Result<()> {
        self.read_limit.check()
    }

    fn on_read(&self, bytes: usize) {
        self.read_limit.record_read(bytes);
    }

    fn on_write(&self, bytes: usize) {
        self.progress.record_write(bytes);
    }

    fn on_flush(&self) {
        self.progress.record_flush();
    }
}

/// A connection that carries one request at a time and closes when dropped.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    read_limit: ReadLimit,
    progress: RequestProgress,
    /// The hashes of the replies that were recorded.
    replies: Vec<u64>,
}

impl HttpConnection {
    /// Connects to an address.
    ///
    /// # Errors
    /// Returns an error if the connection is not made within the limit.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Self::open_to(&address.to_string(), address, limit).await
    }

    /// Connects to a server, whose name is logged if the connection fails while no call
    /// waits for a reply.
    ///
    /// # Errors
    /// Returns an error if the connection is not made within the limit.
    pub async fn open_to(server: &str, address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let connecting = timeout(limit, TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        socket::set_options(&stream)?;
        let read_limit = ReadLimit::none();
        let progress = RequestProgress::default();
        let observer = Observer {
            read_limit: read_limit.clone(),
            progress: progress.clone(),
        };
        let stream = ObservedStream::new(stream, observer);
        let (sender, connection) = http1::Builder::new()
            .title_case_headers(true)
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let server = server.to_owned();
        let running = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::info!(server:%, address:%; "a connection failed, and is closed: {error}");
            }
        });
        Ok(Self {
            sender,
            task: running.abort_handle(),
            read_limit,
            progress,
            replies: Vec::new(),
        })
    }

    /// Returns whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the last request has been written whole.
    #[must_use]
    pub fn is_request_sent(&self) -> bool {
        self.progress.is_whole()
    }

    /// Records the hash of the body of a reply; returns false if an earlier reply on this
    /// connection had the same. Where no two replies are the same, it is a second copy of
    /// that one.
    pub fn record_reply(&mut self, hash: u64) -> bool {
        let is_new = !self.replies.contains(&hash);
        self.replies.push(hash);
        is_new
    }

    /// Returns how many replies were recorded.
    #[must_use]
    pub fn recorded_replies(&self) -> usize {
        self.replies.len()
    }

    /// Waits until the connection can send a request.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub async fn ready(&mut self) -> io::Result<()> {
        self.sender.ready().await.map_err(io::Error::other)
    }

    /// Sends a request and waits for the head of its reply.
    ///
    /// # Errors
    /// Returns an [`Error`] that tells whether the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ReplyBody>, Error> {
        self.ready().await.map_err(Error::NotSent)?;
        // The head, and what follows it in the same buffer.
        self.read_limit.set(2 * HEAD_MAX_BYTES);
        let body_bytes = request.body().size_hint().lower();
        self.progress
            .begin(usize::try_from(body_bytes).unwrap_or(usize::MAX));
        let sending = self.sender.try_send_request(request);
        match sending.await {
            Ok(reply) => Ok(reply.map(|body| ReplyBody::new(body, self.read_limit.clone()))),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => Error::NotSent(io::Error::other(error.into_error())),
                None => Error::Broken(error.into_error()),
            }),
        }
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
