//! The connections from this daemon to its peers.

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

/// A peer that this daemon does not talk to, as a network partition would
/// have it: what is sent to it and what comes from it is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The peer.
    pub id: id::Instance,
    /// Its data port.
    pub data: SocketAddr,
    /// Its control port.
    pub control: SocketAddr,
}

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
    /// Lets one fetch of a list or of settings run at a time.
    fetches: Semaphore,
    me: id::Instance,
    /// The peers that are cut off, which only fault injection sets.
    cuts: Mutex<Vec<Cut>>,
}

impl Peers {
    /// Makes the connections of a daemon, none of them open yet.
    #[must_use]
    pub fn new(me: id::Instance, counters: Counters) -> Self {
        Self {
            links: Mutex::default(),
            http: http_client::new(),
            counters,
            fetches: Semaphore::new(1),
            me,
            cuts: Mutex::default(),
        }
    }

    /// Sends an HTTP request to a peer's data port.
    ///
    /// # Errors
    /// Returns the error of the client.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let peer = request.uri().authority().map(ToString::to_string);
        if let Ok(me) = HeaderValue::try_from(self.me.as_str()) {
            request.headers_mut().insert(header::FROM, me);
        }
        self.pass(peer.as_deref()).await;
        let response = self.http.request(request).await;
        // A cut that began meanwhile loses the reply.
        self.pass(peer.as_deref()).await;
        response
    }

    /// Cuts off exactly the given peers.
    pub fn set_cuts(&self, cuts: Vec<Cut>) {
        *self.cuts.lock().unwrap_or_else(PoisonError::into_inner) = cuts;
    }

    /// Never returns while the peer is cut off, since what it sent is lost.
    pub async fn receive(&self, from: &str) {
        lose_if(self.is_cut(|cut| cut.id.as_str() == from)).await;
    }

    async fn pass(&self, authority: Option<&str>) {
        let is_peer = |cut: &Cut| authority.is_some_and(|text| text == cut.data.to_string());
        lose_if(self.is_cut(is_peer)).await;
    }

    fn is_cut(&self, is_meant: impl Fn(&Cut) -> bool) -> bool {
        let cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        cuts.iter().any(is_meant)
    }

    /// Returns the control link to a peer, and makes it if there is none.
    ///
    /// # Errors
    /// Returns an error if the peer cannot be reached.
    pub async fn control(&self, address: SocketAddr) -> anyhow::Result<ControlClient> {
        if self.is_cut(|cut| cut.control == address) {
            bail!("the peer is cut off");
        }
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

    /// Begins a fetch of a list or of settings, unless one is under way.
    #[must_use]
    pub fn begin_fetch(&self) -> Option<SemaphorePermit<'_>> {
        self.fetches.try_acquire().ok()
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

/// Loses a message, by never going on.
async fn lose_if(is_lost: bool) {
    if is_lost {
        std::future::pending::<()>().await;
    }
}

/// Returns the context of a control message, with its deadline.
#[must_use]
pub fn control_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CONTROL_TIMEOUT;
    context
}
