//! One call to a target.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_connectors::http_connection;
use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::sleep;

use crate::context::Context;
use crate::pool::KEPT_MAX;

/// How long a connection to a target may take to be made.
///
/// A round trip takes milliseconds; a lost packet is sent again only after a
/// second, by when another target has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Within how long a target resets a connection that it does not take: a round
/// trip, and what it needs to make a connection.
const RESET_WITHIN: Duration = Duration::from_millis(4);
/// For how long an idle connection may carry a request that runs only once.
///
/// A target may drop an idle connection without notice; the request that finds
/// this out has no known fate, so it gets a connection that is surely alive.
pub const FRESH: Millis = Millis(700);

/// Why a call got no reply.
#[derive(Debug)]
pub enum Error {
    /// Nothing was sent.
    NotSent(String),
    /// The connection failed after the request may have arrived.
    Broken(String),
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(out, "not sent: {why}"),
            Self::Broken(why) => write!(out, "broken: {why}"),
        }
    }
}

/// Whom a call is for, and over which connections it may go.
#[derive(Clone, Debug)]
pub struct Callee {
    /// The target.
    pub target: name::Target,
    /// Where it listens.
    pub address: SocketAddr,
    /// For how long a connection may have been idle.
    pub idle_max: Millis,
    /// Whether the request must not be sent in vain, since it runs only once.
    pub runs_once: bool,
}

impl Callee {
    /// Returns a target of a stage service: what is asked of it may be asked
    /// again.
    #[must_use]
    pub fn of_stage(target: name::Target, address: SocketAddr) -> Self {
        Self {
            target,
            address,
            idle_max: KEPT_MAX,
            runs_once: false,
        }
    }
}

/// A call whose reply has begun; dropping it breaks the connection off.
#[derive(Debug)]
pub struct Exchange {
    /// The status of the reply.
    pub status: StatusCode,
    /// The headers of the reply.
    pub headers: HeaderMap,
    /// Whom the call went to.
    pub callee: Callee,
    body: Incoming,
    link: HttpConnection,
}

impl Exchange {
    /// Sends a request and waits for the head of the reply.
    ///
    /// # Errors
    /// Returns [`Error`], which says whether the request may have arrived.
    pub async fn begin(
        context: &Context,
        callee: &Callee,
        request: Request<Full<Bytes>>,
    ) -> Result<Self, Error> {
        let pooled = context
            .pool
            .take(&callee.target, callee.idle_max, context.now());
        let is_pooled = pooled.is_some();
        let spare = is_pooled.then(|| request.clone());
        let mut link = match pooled {
            Some(link) => link,
            None if callee.runs_once => open_surely(context, callee).await?,
            None => open(context, callee).await?,
        };
        let reply = match (link.send(request).await, spare) {
            (Ok(reply), _) => reply,
            // The target closed the idle connection; nothing was sent on it.
            (Err(http_connection::Error::NotSent(_)), Some(request)) => {
                link = open(context, callee).await?;
                link.send(request).await.map_err(Error::from)?
            }
            (Err(error), _) => return Err(error.into()),
        };
        let (parts, body) = reply.into_parts();
        Ok(Self {
            status: parts.status,
            headers: parts.headers,
            callee: callee.clone(),
            body,
            link,
        })
    }

    /// Returns the next bytes of the reply; `None` at its end.
    ///
    /// # Errors
    /// Returns [`Error::Broken`] if the reply ends before it is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(Error::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the whole reply.
    ///
    /// # Errors
    /// Returns [`Error::Broken`] if the reply ends early or is too large.
    pub async fn read(&mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let mut whole = Vec::new();
        while let Some(bytes) = self.next().await? {
            if whole.len() + bytes.len() > max_bytes {
                return Err(Error::Broken("the reply is too large".to_owned()));
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.into())
    }

    /// Keeps the connection for another call; the reply was read whole.
    pub fn keep(self, context: &Arc<Context>, idle: Option<Millis>) {
        let Self {
            callee, mut link, ..
        } = self;
        let context = context.clone();
        // The connection is ready a moment after the last byte was read; if
        // more bytes came than belong to the reply, it fails instead.
        tokio::spawn(async move {
            if link.ready().await.is_ok() {
                let now = context.now();
                let most = context.state().idle_connections(&callee.target, now);
                context.pool.put(&callee.target, link, idle, most, now);
            }
        });
    }
}

/// Opens a connection, and waits whether the target takes it: one that has too
/// many resets it at once, and a request on it would have no known fate.
async fn open_surely(context: &Context, callee: &Callee) -> Result<HttpConnection, Error> {
    let link = open(context, callee).await?;
    sleep(RESET_WITHIN).await;
    if link.is_closed() {
        return Err(Error::NotSent(
            "the connection was reset at once".to_owned(),
        ));
    }
    Ok(link)
}

async fn open(context: &Context, callee: &Callee) -> Result<HttpConnection, Error> {
    context.metrics.connection();
    let opened = HttpConnection::open(callee.address, CONNECT_TIMEOUT).await;
    opened.map_err(|error| Error::NotSent(error.to_string()))
}

impl From<http_connection::Error> for Error {
    fn from(error: http_connection::Error) -> Self {
        match error {
            http_connection::Error::NotSent(error) => Self::NotSent(error.to_string()),
            http_connection::Error::Broken(error) => Self::Broken(error.to_string()),
        }
    }
}
