//! Requests that one daemon sends for another, which reaches no target of the service.
//!
//! The daemon that admitted a request keeps all decisions about it: its stages, retries
//! and their budget, and the events of its stream. The peer picks the target by its own
//! knowledge, since the target judges by the machine that calls it, and passes the reply
//! on as it comes.
//!
//! - `server` sends requests for peers.

mod server;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use gooseberry_connectors::http_connection;
use gooseberry_connectors::http_connection::HttpConnection;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_wire::detour;
use gooseberry_wire::detour::Call;
use gooseberry_wire::detour::Outcome;
use http::Request;
use http::header::TRANSFER_ENCODING;
use http_body_util::Full;

use crate::context::Context;
use crate::exchange::CONNECT_TIMEOUT;
use crate::exchange::Callee;
use crate::exchange::Exchange;

pub(crate) use crate::detour::server::serve;

/// What became of a request that was sent to a peer.
pub(crate) enum Reply {
    /// A target of this version replies.
    Started(Box<Exchange>, name::Version),
    /// No target received it; one may take it after this time, if that is known.
    NotSent(CompactString, Option<Millis>),
    /// The peer reaches no target, either.
    CutOff,
    /// A target may have run it.
    Unknown(CompactString, Option<Crash>),
}

/// The run of a target that broke off the call of a peer.
pub(crate) struct Crash {
    /// The target.
    pub(crate) target: name::Target,
    /// Its run.
    pub(crate) run: Run,
}

/// Has a peer send a request to a target, and waits for the head of the reply.
pub(crate) async fn send(
    context: &Arc<Context>,
    peer: SocketAddr,
    mut request: Request<Full<Bytes>>,
    call: &Call,
) -> Reply {
    let Some(header) = detour::encode(call) else {
        return Reply::NotSent("the call cannot be encoded".into(), None);
    };
    request.headers_mut().insert(detour::CALL, header);
    let mut connection = match HttpConnection::open(peer, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(error) => return Reply::NotSent(error.to_string().into(), None),
    };
    let reply = match connection.send(request).await {
        Ok(reply) => reply,
        Err(http_connection::Error::NotSent(error)) => {
            return Reply::NotSent(error.to_string().into(), None);
        }
        Err(error) => return Reply::Unknown(error.to_string().into(), None),
    };
    let (mut parts, body) = reply.into_parts();
    let sender = match detour::take(&mut parts.headers, detour::OUTCOME) {
        Some(Outcome::Replied(sender)) => sender,
        Some(Outcome::NotSent {
            is_cut_off: true, ..
        }) => return Reply::CutOff,
        Some(Outcome::NotSent { why, retry_ms, .. }) => {
            return Reply::NotSent(why, retry_ms.map(Millis));
        }
        Some(Outcome::Unknown {
            why,
            target,
            crashed_run,
        }) => {
            let crash = crashed_run.map(|run| Crash {
                target: name::Target::new(&target),
                run: Run(run),
            });
            return Reply::Unknown(why, crash);
        }
        None => {
            let why = "the peer does not say what became of the request";
            return Reply::Unknown(why.into(), None);
        }
    };
    if sender.is_unframed {
        parts.headers.remove(TRANSFER_ENCODING);
    }
    let callee = Callee::of_detour(name::Target::new(&sender.target), peer);
    let exchange = Exchange::of_detour(context, callee, parts, body, connection);
    let version = name::Version::new(&sender.version);
    Reply::Started(Box::new(exchange), version)
}
