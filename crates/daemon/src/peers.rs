//! The connections from this daemon to its peers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_connectors::http_client::HttpClient;
use gooseberry_wire::control::ControlClient;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use tarpc::client;
use tarpc::context;

use crate::control_stream;
use crate::control_stream::Counters;

/// How long a peer may take to answer a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    client: ControlClient,
}

/// The connections to peers, made when first used.
#[derive(Debug)]
pub struct Peers {
    /// The control links, sorted by address.
    links: Mutex<Vec<Link>>,
    http: HttpClient,
    counters: Counters,
}

impl Peers {
    /// Starts without a connection.
    #[must_use]
    pub fn new(counters: Counters) -> Self {
        Self {
            links: Mutex::default(),
            http: http_client::new(),
            counters,
        }
    }

    /// Sends an HTTP request to a peer's data port.
    ///
    /// # Errors
    /// Returns the error of the client.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        self.http.request(request).await
    }

    /// Returns the control link to a peer, and makes it if there is none.
    ///
    /// # Errors
    /// Returns an error if the peer cannot be reached.
    pub async fn control(&self, address: SocketAddr) -> anyhow::Result<ControlClient> {
        if let Some(client) = self.known(address) {
            return Ok(client);
        }
        let connect = control_stream::connect(address, self.counters.clone());
        let transport = tokio::time::timeout(CONTROL_TIMEOUT, connect).await??;
        let client = ControlClient::new(client::Config::default(), transport).spawn();
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let link = Link {
            address,
            client: client.clone(),
        };
        match links.binary_search_by(|one| one.address.cmp(&address)) {
            Ok(index) => links[index] = link,
            Err(index) => links.insert(index, link),
        }
        Ok(client)
    }

    /// Forgets a link that failed, so that the next use makes a new one.
    pub fn forget(&self, address: SocketAddr) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|link| link.address != address);
    }

    fn known(&self, address: SocketAddr) -> Option<ControlClient> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let found = links.binary_search_by(|one| one.address.cmp(&address));
        found.ok().map(|index| links[index].client.clone())
    }
}

/// Returns the context of a control message, with its deadline.
#[must_use]
pub fn control_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CONTROL_TIMEOUT;
    context
}
