//! One HTTP call to a target, over a pooled or a new connection.
//!
//! A failure says whether the request may have reached the target, since that
//! decides whether it may be sent to another one.

mod error;
mod notice;
mod pending_reply;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::ensure;
use bytes::Bytes;
use gooseberry_connectors::http_connection;
use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_connectors::reply_body::ReplyBody;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::name;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::time::sleep;

use crate::context::Context;
pub use crate::exchange::error::Error;
pub use crate::exchange::error::ReadError;
use crate::exchange::notice::record_notice;
use crate::exchange::notice::record_notice_of_peer;
use crate::exchange::pending_reply::PendingReply;
use crate::pool::IDLE_MAX;
use crate::pool::Lane;
use crate::reply_memory::ReplyPermit;

/// How long it may take to connect to a target.
///
/// A round trip takes milliseconds; a lost packet is sent again only after a
/// second, by which time another target has replied.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a target may take to reset a connection that it does not accept: a
/// round trip, and the time that it needs to set up a connection.
const RESET_WAIT: Duration = Duration::from_millis(4);
/// How long a connection may have been idle to be used for a request that must
/// not run twice.
///
/// A target may drop an idle connection without notice. It is then unknown
/// whether the next request on it ran, and such a request cannot be sent again,
/// so it needs a connection that is certainly alive.
pub const RUN_ONCE_IDLE_MAX: Millis = Millis(700);

/// After how many recorded replies a connection is closed, which bounds their memory.
const RECORDED_REPLIES_MAX: usize = 256;

/// The target of a call, and which connections the call may use.
#[derive(Clone, Debug)]
pub struct Callee {
    /// The name of the target.
    pub target: name::Target,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The calls whose connections it may use. `None` if nothing tells its reply from a
    /// copy of an earlier one: it gets a new connection, which no other call uses after it.
    pub lane: Option<Lane>,
    /// How long a pooled connection may have been idle.
    pub idle_max: Millis,
    /// Whether the request must not run twice. A new connection is then checked
    /// to be open before the request is sent.
    pub runs_once: bool,
    /// Whether a peer makes the call; the address is the peer's.
    pub is_detour: bool,
}

impl Callee {
    /// Returns a target of a stage service that is called for pieces; such calls may be
    /// repeated.
    #[must_use]
    pub fn of_stage(target: name::Target, address: SocketAddr) -> Self {
        Self {
            lane: Some(Lane::Pieces),
            ..Self::of_call(target, address)
        }
    }

    /// Returns a target that is told or asked something; such calls may be repeated, and
    /// their replies do not say to which call they belong.
    #[must_use]
    pub fn of_call(target: name::Target, address: SocketAddr) -> Self {
        Self {
            target,
            address,
            lane: None,
            idle_max: IDLE_MAX,
            runs_once: false,
            is_detour: false,
        }
    }

    /// Returns a target that a peer has called.
    #[must_use]
    pub fn of_detour(target: name::Target, peer: SocketAddr) -> Self {
        Self {
            is_detour: true,
            ..Self::of_call(target, peer)
        }
    }
}

/// A call whose reply has begun. Dropping it closes the connection, unless it is
/// released to the pool.
#[derive(Debug)]
pub struct Exchange {
    /// The status of the reply.
    pub status: StatusCode,
    /// The headers of the reply.
    pub headers: HeaderMap,
    /// The target that was called.
    pub callee: Callee,
    /// The memory for what is kept of the reply.
    pub(crate) memory: ReplyPermit,
    body: ReplyBody,
    connection: HttpConnection,
}

impl Exchange {
    /// Sends a request and waits for the head of the reply.
    ///
    /// # Errors
    /// Returns [`Error`], which says whether the request may have arrived.
    pub async fn begin(
        context: &Arc<Context>,
        callee: &Callee,
        request: Request<Full<Bytes>>,
    ) -> Result<Self, Error> {
        // A pooled connection may have been closed by the target, so the request
        // is cloned to be sent again over a new one.
        let pooled = callee.lane.and_then(|lane| {
            let now = context.now();
            let pool = &context.pool;
            pool.take(&callee.target, lane, callee.idle_max, now)
        });
        let is_pooled = pooled.is_some();
        let retry_request = is_pooled.then(|| request.clone());
        let connection = match pooled {
            Some(connection) => connection,
            None if callee.runs_once => open_checked(context, callee).await?,
            None => open(context, callee).await?,
        };
        check_not_paused(context, &callee.target)?;
        let target = &callee.target;
        let sent = PendingReply::send(context, target, connection, request).await;
        let (connection, reply) = match (sent, retry_request) {
            (Ok(sent), _) => sent,
            // The target had closed the idle connection, so it did not receive
            // the request; it is sent over a new one.
            (Err(http_connection::Error::NotSent(_)), Some(request)) => {
                let connection = open(context, callee).await?;
                check_not_paused(context, target)?;
                PendingReply::send(context, target, connection, request).await?
            }
            (Err(error), _) => return Err(error.into()),
        };
        let (parts, body) = reply.into_parts();
        record_notice(context, target, parts.status, &parts.headers);
        Ok(Self {
            status: parts.status,
            headers: parts.headers,
            callee: callee.clone(),
            memory: context.reply_memory.reply(&callee.target),
            body,
            connection,
        })
    }

    /// Returns the call that a peer has made, whose reply has begun. What the target asks
    /// of its caller concerns the peer alone; what it says of itself is recorded.
    pub(crate) fn of_detour(
        context: &Context,
        callee: Callee,
        parts: Parts,
        body: ReplyBody,
        connection: HttpConnection,
    ) -> Self {
        record_notice_of_peer(context, &callee.target, parts.status, &parts.headers);
        Self {
            status: parts.status,
            headers: parts.headers,
            memory: context.reply_memory.reply(&callee.target),
            callee,
            body,
            connection,
        }
    }

    /// Returns whether the reply itself says where it ends, so that one which breaks off is
    /// recognised. The end of the connection is the end of any other.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        let codings = self.headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last =
            codings.and_then(|codings| codings.as_bytes().rsplit(|byte| *byte == b',').next());
        match last {
            Some(coding) => coding.trim_ascii().eq_ignore_ascii_case(b"chunked"),
            None => self.headers.contains_key(CONTENT_LENGTH),
        }
    }

    /// Returns whether what has come of a success may be a part of it. One that ends with its
    /// connection before the request was sent whole is reset by the rest of that.
    fn may_be_cut_off(&self) -> bool {
        self.status.is_success() && !self.is_framed() && !self.connection.is_request_sent()
    }

    /// Records the body of a reply that does not say which request it belongs to, of a kind
    /// of which no two are the same; returns false if it is a copy of an earlier one. A
    /// target that sends a reply twice sends the second copy on the connection of the first.
    pub fn record_unique_reply(&mut self, body: &[u8]) -> bool {
        self.connection.record_reply(hash::bytes(body))
    }

    /// Returns the next bytes of the reply; `None` at its end.
    ///
    /// # Errors
    /// Returns [`Error::Broken`] if the reply ends before it is complete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None if self.may_be_cut_off() => {
                    let why = "the connection ended before the request was sent whole";
                    return Err(Error::Broken(why.to_owned()));
                }
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

    /// Reads the whole reply, of at most `max_bytes`. Its memory stays reserved until it is
    /// dropped.
    ///
    /// # Errors
    /// Returns a [`ReadError`] if the reply ends early or takes too much memory.
    pub async fn read_all(&mut self, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut whole = Vec::new();
        loop {
            let chunk = self.next_chunk().await;
            let chunk = chunk.map_err(|error| ReadError::Broken(error.to_string()))?;
            let Some(bytes) = chunk else {
                return Ok(self.memory.attach(whole));
            };
            let size = whole.len() + bytes.len();
            if size > max_bytes {
                return Err(ReadError::TooLong);
            }
            if !self.memory.grow(size as u64) {
                return Err(ReadError::NoMemory);
            }
            whole.extend_from_slice(&bytes);
        }
    }

    /// Returns the connection to the pool. The reply must have been read whole, and it must
    /// differ from those that may follow on the connection by what its lane names: a second
    /// copy may come in place of the next reply. `keep_alive` is how long the target keeps
    /// idle connections, if it says so.
    pub fn release(self, context: &Arc<Context>, keep_alive: Option<Millis>) {
        let Self {
            callee,
            mut connection,
            ..
        } = self;
        let Some(lane) = callee.lane else {
            return;
        };
        if connection.recorded_replies() >= RECORDED_REPLIES_MAX {
            return;
        }
        let context = context.clone();
        // The connection becomes ready shortly after the last byte was read; it
        // fails instead if bytes follow that do not belong to the reply.
        tokio::spawn(async move {
            if connection.ready().await.is_ok() {
                let now = context.now();
                let count_max = context.state().idle_connections(&callee.target, now);
                let target = &callee.target;
                context
                    .pool
                    .put(target, lane, connection, keep_alive, count_max, now);
            }
        });
    }
}

/// Makes a call whose reply does not say to which call it belongs, and returns the body of
/// at most `max_bytes`. Its connection is closed then, unless the call has a lane.
pub(crate) async fn call(
    context: &Arc<Context>,
    callee: &Callee,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> anyhow::Result<Bytes> {
    let (status, body) = call_with_status(context, callee, request, max_bytes).await?;
    ensure!(status == StatusCode::OK, "status {status}");
    Ok(body)
}

/// Makes such a call, and returns the status of its reply, too. The body is read only if that is
/// 200, else it is empty.
pub(crate) async fn call_with_status(
    context: &Arc<Context>,
    callee: &Callee,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let exchange = Exchange::begin(context, callee, request).await;
    let mut exchange = exchange.map_err(|error| anyhow::anyhow!("{error}"))?;
    let status = exchange.status;
    if status != StatusCode::OK {
        return Ok((status, Bytes::new()));
    }
    let body = exchange.read_all(max_bytes).await;
    let body = body.map_err(|error| anyhow::anyhow!("{error}"))?;
    exchange.release(context, None);
    Ok((status, body))
}

/// Checks that the target has not asked for a pause since it was chosen.
fn check_not_paused(context: &Context, target: &name::Target) -> Result<(), Error> {
    match context.state().paused_until(target, context.now()) {
        None => Ok(()),
        Some(_) => Err(Error::Paused),
    }
}

/// Opens a connection and waits until the target must have accepted it. A target
/// with too many connections resets a new one at once; a request that had been
/// sent on it would have an unknown outcome.
async fn open_checked(context: &Context, callee: &Callee) -> Result<HttpConnection, Error> {
    let connection = open(context, callee).await?;
    sleep(RESET_WAIT).await;
    if connection.is_closed() {
        return Err(Error::NotSent(
            "the target reset the new connection at once".to_owned(),
        ));
    }
    Ok(connection)
}

async fn open(context: &Context, callee: &Callee) -> Result<HttpConnection, Error> {
    context.metrics.connection();
    let (name, address) = (callee.target.as_str(), callee.address);
    let opened = HttpConnection::open_to(name, address, CONNECT_TIMEOUT).await;
    opened.map_err(|error| Error::NotSent(error.to_string()))
}
