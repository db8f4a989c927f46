//! The connections from this daemon to its peers, and the blocking of peers for
//! fault injection.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_connectors::http_client::HttpClient;
use gooseberry_kernel::id;
use gooseberry_wire::control::ControlClient;
use gooseberry_wire::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use tarpc::client;
use tarpc::context;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::control_stream;
use crate::control_stream::Counters;

/// How long a peer may take to answer a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// A peer that is cut off by fault injection, as by a network partition:
/// messages to it and from it are dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedPeer {
    /// The peer.
    pub id: id::Instance,
    /// Its data port.
    pub data: SocketAddr,
    /// Its control port.
    pub control: SocketAddr,
}

#[derive(Debug)]
struct ControlConnection {
    address: SocketAddr,
    client: ControlClient,
}

/// The connections to peers, opened when first used.
#[derive(Debug)]
pub struct Peers {
    /// The control connections, sorted by address.
    connections: Mutex<Vec<ControlConnection>>,
    http: HttpClient,
    counters: Counters,
    /// One permit: a single fetch of a list or of settings runs at a time.
    fetch_permits: Semaphore,
    own_id: id::Instance,
    /// The peers that fault injection blocks; empty in production.
    blocked: Mutex<Vec<BlockedPeer>>,
}

impl Peers {
    /// Makes the connections of a daemon to its peers; none is open yet.
    #[must_use]
    pub fn new(own_id: id::Instance, counters: Counters) -> Self {
        Self {
            connections: Mutex::default(),
            http: http_client::new(),
            counters,
            fetch_permits: Semaphore::new(1),
            own_id,
            blocked: Mutex::default(),
        }
    }

    /// Sends an HTTP request to a peer's data port.
    ///
    /// # Errors
    /// Returns the error of the HTTP client.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let peer = request.uri().authority().map(ToString::to_string);
        if let Ok(own_id) = HeaderValue::try_from(self.own_id.as_str()) {
            request.headers_mut().insert(header::FROM, own_id);
        }
        self.drop_if_to_blocked(peer.as_deref()).await;
        let response = self.http.request(request).await;
        // The reply is dropped too if the peer was blocked in the meantime.
        self.drop_if_to_blocked(peer.as_deref()).await;
        response
    }

    /// Blocks the given peers and unblocks all others.
    pub fn set_blocked(&self, blocked: Vec<BlockedPeer>) {
        *self.blocked.lock().unwrap_or_else(PoisonError::into_inner) = blocked;
    }

    /// Never returns if the sender is blocked, so that its message is dropped.
    pub async fn drop_if_from_blocked(&self, from: &str) {
        drop_message_if(self.is_blocked(|peer| peer.id.as_str() == from)).await;
    }

    async fn drop_if_to_blocked(&self, authority: Option<&str>) {
        let is_peer =
            |peer: &BlockedPeer| authority.is_some_and(|text| text == peer.data.to_string());
        drop_message_if(self.is_blocked(is_peer)).await;
    }

    fn is_blocked(&self, matches_peer: impl Fn(&BlockedPeer) -> bool) -> bool {
        let blocked = self.blocked.lock().unwrap_or_else(PoisonError::into_inner);
        blocked.iter().any(matches_peer)
    }

    /// Returns the control client of a peer, and connects if there is none.
    ///
    /// # Errors
    /// Returns an error if the peer cannot be reached.
    pub async fn control(&self, address: SocketAddr) -> anyhow::Result<ControlClient> {
        if self.is_blocked(|peer| peer.control == address) {
            bail!("the peer is blocked by fault injection");
        }
        if let Some(client) = self.existing_client(address) {
            return Ok(client);
        }
        let connect = control_stream::connect(address, self.counters.clone());
        let transport = tokio::time::timeout(CONTROL_TIMEOUT, connect).await??;
        let client = ControlClient::new(client::Config::default(), transport).spawn();
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connection = ControlConnection {
            address,
            client: client.clone(),
        };
        match connections.binary_search_by(|connection| connection.address.cmp(&address)) {
            Ok(index) => connections[index] = connection,
            Err(index) => connections.insert(index, connection),
        }
        Ok(client)
    }

    /// Returns a permit to fetch a list or settings, unless a fetch is in
    /// progress.
    #[must_use]
    pub fn begin_fetch(&self) -> Option<SemaphorePermit<'_>> {
        self.fetch_permits.try_acquire().ok()
    }

    /// Drops a failed control connection, so that the next use opens a new one.
    pub fn disconnect(&self, address: SocketAddr) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|connection| connection.address != address);
    }

    fn existing_client(&self, address: SocketAddr) -> Option<ControlClient> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let position = connections.binary_search_by(|connection| connection.address.cmp(&address));
        position.ok().map(|index| connections[index].client.clone())
    }
}

/// Never returns if the peer is blocked, which drops the message.
async fn drop_message_if(is_blocked: bool) {
    if is_blocked {
        std::future::pending::<()>().await;
    }
}

/// Returns the RPC context of a control message, with its deadline.
#[must_use]
pub fn control_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CONTROL_TIMEOUT;
    context
}
