//! Calls between daemons. Greetings carry membership, queue waits, suspects and
//! the store's revision. Other calls fetch changes of the store, have the
//! dispatcher of a service run a group of pieces, and free results there.
//!
//! - `greeting` exchanges greetings.
//! - `fetch` fetches the store's contents from peers.
//! - `placement` asks placers for engines and reports to them.
//! - `server` answers the calls of peers.
//! - `versions` has from which version of the calls on peers have which.

mod fetch;
mod greeting;
mod placement;
mod server;
mod versions;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use gooseberry_kernel::fleet::fetch::CALL_TIMEOUT;
use gooseberry_kernel::fleet::replica::Contents;
use gooseberry_kernel::fleet::replica::Request;
use gooseberry_kernel::id;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_origin::Origin;
use gooseberry_kernel::request::stream_trace::Finding;
use gooseberry_kernel::request::stream_trace::Trace;
use gooseberry_kernel::stage::group;
use gooseberry_runtime::control_stream;
use gooseberry_runtime::control_stream::Counters;
use gooseberry_wire::fleet;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::FleetClient;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Heartbeat;
use gooseberry_wire::fleet::Unmade;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tokio::time::timeout;

use crate::context::Context;
use crate::dispatcher::GroupOutput;
use crate::dispatcher::ResultOwner;
pub use crate::peers::greeting::greet_all;
pub use crate::peers::greeting::greet_periodically;
pub use crate::peers::placement::Uncalled;
pub use crate::peers::server::serve;
use crate::peers::versions::EXCHANGE_VERSION;
use crate::peers::versions::HEARTBEAT_VERSION;
use crate::peers::versions::TRACE_VERSION;

/// How long it may take to connect to a peer, and how long a peer may take to
/// answer a greeting or to free results.
const GREET_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer may take to find the version of a stream: it may have to wait for the
/// store, and then for targets that are silent for a while.
const TRACE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// How long a peer may take to return changes of the store or chunks of its values.
const FETCH_TIMEOUT: Duration = Duration::from_millis(CALL_TIMEOUT.0);
/// How long a peer may take to answer any call. The RPC library panics for deadlines that
/// are years away, as settings may have them.
const CALL_TIMEOUT_MAX: Duration = Duration::from_secs(3_600);
/// How often a waiting call checks whether its peer is still alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How often a peer that closes the connection is asked for the version of its calls.
const VERSION_CALLS: u32 = 2;
/// The version of peers that do not have the call that asks for it.
const FORMER_VERSION: u32 = 0;
/// The error of a call to a peer that did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable;

/// The reply to a greeting.
enum Reply {
    /// Of a peer that has all that a greeting tells now.
    Heartbeat(Heartbeat),
    /// Of a peer that says nothing of its links to targets.
    Exchange(Exchange),
    /// Of a peer that does not name the era of the store, either.
    Greeting(Greeting),
}

/// The connection to one peer.
#[derive(Clone, Debug)]
struct Connection {
    address: SocketAddr,
    client: FleetClient,
    /// The version of the peer's calls.
    version: u32,
}

/// The connections to peers, sorted by address.
#[derive(Debug)]
pub struct Peers {
    connections: Mutex<Vec<Connection>>,
    counters: Counters,
}

impl Peers {
    /// Creates an empty set of connections, whose bytes are counted in `counters`.
    #[must_use]
    pub fn new(counters: Counters) -> Self {
        Self {
            connections: Mutex::new(Vec::new()),
            counters,
        }
    }

    /// Sends a group to a peer that dispatches for its service, and waits for its
    /// results.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer cannot be reached, breaks the connection
    /// off or falls silent.
    pub async fn run_group(
        &self,
        context: &Context,
        address: SocketAddr,
        service: &name::Service,
        group: &group::Group,
        input_owners: &[ResultOwner],
    ) -> Result<Result<GroupOutput, Unmade>, Unreachable> {
        let now = context.now();
        let limit = Duration::from_millis((group.deadline - now).0) + GREET_TIMEOUT;
        let client = self.client(address).await?;
        let own_process = context.state().members().process();
        let mut message = Group::new(service, group, own_process, now);
        message.keepers = input_owners.iter().map(Into::into).collect();
        let call = client.make(with_timeout(limit), message);
        tokio::pin!(call);
        let result = loop {
            match timeout(LIVENESS_CHECK_INTERVAL, call.as_mut()).await {
                Ok(Ok(result)) => break result,
                Ok(Err(_)) => {
                    self.disconnect(address);
                    return Err(Unreachable);
                }
                Err(_) if context.state().members().is_live(address, context.now()) => {}
                Err(_) => return Err(Unreachable),
            }
        };
        Ok(result.map(|result| GroupOutput {
            handles: result
                .handles
                .iter()
                .map(|handle| name::Handle::new(handle))
                .collect(),
            domain: name::Domain::new(&result.domain),
            are_inputs_freed: result.are_inputs_freed,
        }))
    }

    /// Releases results at the peer that dispatched them.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer does not answer.
    pub async fn free(&self, owner: &ResultOwner) -> Result<(), Unreachable> {
        let handles = owner.handles.iter().map(|handle| handle.as_str().into());
        let handles = handles.collect();
        let client = self.client(owner.address).await?;
        let service = owner.service.as_str().into();
        let call = client.free(with_timeout(GREET_TIMEOUT), service, handles);
        call.await.map_err(|_| {
            self.disconnect(owner.address);
            Unreachable
        })
    }

    /// Has a peer keep where the stream of an attempt began.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer does not answer.
    pub async fn back_up_origin(
        &self,
        address: SocketAddr,
        attempt: &name::Attempt,
        origin: &Origin,
    ) -> Result<(), Unreachable> {
        let client = self.client(address).await?;
        let attempt = attempt.as_str().into();
        let call = client.back_up_origin(with_timeout(GREET_TIMEOUT), attempt, origin.into());
        call.await.map_err(|_| Unreachable)
    }

    /// Asks a peer where the stream of an attempt began; `None` if it does not know.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer does not answer.
    pub async fn origin(
        &self,
        address: SocketAddr,
        attempt: &name::Attempt,
    ) -> Result<Option<Origin>, Unreachable> {
        let client = self.client(address).await?;
        let call = client.origin(with_timeout(GREET_TIMEOUT), attempt.as_str().into());
        let origin = call.await.map_err(|_| Unreachable)?;
        Ok(origin.map(Into::into))
    }

    /// Asks a peer at which version of a service the stream with this trace began.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer does not answer, or does not have the call.
    pub async fn stream_version(
        &self,
        address: SocketAddr,
        service: &name::Service,
        trace: &Trace,
    ) -> Result<Finding, Unreachable> {
        let Connection {
            client, version, ..
        } = self.connection(address).await?;
        if version < TRACE_VERSION {
            return Err(Unreachable);
        }
        let limit = with_timeout(TRACE_TIMEOUT);
        let service = service.as_str().into();
        let finding = client.trace_prompt(limit, service, trace.into()).await;
        Ok(finding.map_err(|_| Unreachable)?.into())
    }

    async fn greet(&self, address: SocketAddr, message: Heartbeat) -> Result<Reply, Unreachable> {
        let Connection {
            client, version, ..
        } = self.connection(address).await?;
        let limit = with_timeout(GREET_TIMEOUT);
        let call = async {
            if version >= HEARTBEAT_VERSION {
                let reply = client.heartbeat(limit, message).await;
                return reply.map(Reply::Heartbeat);
            }
            let message = message.exchange;
            if version >= EXCHANGE_VERSION {
                return client.exchange(limit, message).await.map(Reply::Exchange);
            }
            let reply = client.greet(limit, message.greeting).await;
            reply.map(Reply::Greeting)
        };
        if let Ok(Ok(reply)) = timeout(GREET_TIMEOUT, call).await {
            return Ok(reply);
        }
        self.disconnect(address);
        Err(Unreachable)
    }

    async fn contents(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Contents, Unreachable> {
        let Connection {
            client, version, ..
        } = self.connection(address).await?;
        let limit = with_timeout(FETCH_TIMEOUT);
        if version >= EXCHANGE_VERSION {
            let call = client.contents(limit, request.into());
            return call.await.map(Into::into).map_err(|_| Unreachable);
        }
        // The former build does not pass all contents on in parts.
        if request.is_collecting {
            return Err(Unreachable);
        }
        let call = client.changes(limit, request.after.0);
        let changes = call.await.map_err(|_| Unreachable)?;
        Ok(Contents::of(request.era, changes.into()))
    }

    async fn chunks(
        &self,
        address: SocketAddr,
        digests: &[id::Digest],
    ) -> Result<Vec<Vec<u8>>, Unreachable> {
        let client = self.client(address).await?;
        let digests = digests.iter().map(|digest| digest.0).collect();
        let call = client.chunks(with_timeout(FETCH_TIMEOUT), digests);
        call.await.map_err(|_| Unreachable)
    }

    /// Returns the client of a peer, and connects to the peer if there is none.
    async fn client(&self, address: SocketAddr) -> Result<FleetClient, Unreachable> {
        Ok(self.connection(address).await?.client)
    }

    /// Returns the connection to a peer, and connects to the peer if there is none.
    async fn connection(&self, address: SocketAddr) -> Result<Connection, Unreachable> {
        if let Some(connection) = self.cached_connection(address) {
            return Ok(connection);
        }
        let connection = self.connect(address).await?;
        let mut connections = self.lock();
        let found = connections.binary_search_by_key(&address, |connection| connection.address);
        match found {
            Ok(index) => connections[index] = connection.clone(),
            Err(index) => connections.insert(index, connection.clone()),
        }
        Ok(connection)
    }

    /// Connects to a peer and asks which calls it has.
    ///
    /// A peer of a former build closes a connection on a call that it lacks, and so does
    /// one that ends. The question is therefore asked twice, before other calls depend on
    /// the connection.
    async fn connect(&self, address: SocketAddr) -> Result<Connection, Unreachable> {
        for _ in 0..VERSION_CALLS {
            let client = self.open(address).await?;
            let call = client.protocol_version(with_timeout(GREET_TIMEOUT));
            match call.await {
                Ok(version) => {
                    return Ok(Connection {
                        address,
                        client,
                        version,
                    });
                }
                Err(RpcError::DeadlineExceeded) => return Err(Unreachable),
                Err(_) => {}
            }
        }
        Ok(Connection {
            address,
            client: self.open(address).await?,
            version: FORMER_VERSION,
        })
    }

    async fn open(&self, address: SocketAddr) -> Result<FleetClient, Unreachable> {
        let connecting = control_stream::connect(address, self.counters.clone());
        let connected = timeout(GREET_TIMEOUT, connecting).await;
        let transport = connected
            .map_err(|_| Unreachable)?
            .map_err(|_| Unreachable)?;
        Ok(FleetClient::new(client::Config::default(), transport).spawn())
    }

    fn cached_connection(&self, address: SocketAddr) -> Option<Connection> {
        let connections = self.lock();
        let found = connections.binary_search_by_key(&address, |connection| connection.address);
        found.ok().map(|index| connections[index].clone())
    }

    /// Drops the connection to a peer; the next call opens a new one.
    fn disconnect(&self, address: SocketAddr) {
        self.lock()
            .retain(|connection| connection.address != address);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a call context whose deadline is `limit` from now.
fn with_timeout(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit.min(CALL_TIMEOUT_MAX);
    context
}

impl From<&ResultOwner> for fleet::Keeper {
    fn from(owner: &ResultOwner) -> Self {
        Self {
            service: owner.service.as_str().into(),
            address: owner.address,
            handles: owner
                .handles
                .iter()
                .map(|handle| handle.as_str().into())
                .collect(),
        }
    }
}

impl From<&fleet::Keeper> for ResultOwner {
    fn from(owner: &fleet::Keeper) -> Self {
        Self {
            service: name::Service::new(&owner.service),
            address: owner.address,
            handles: owner
                .handles
                .iter()
                .map(|handle| name::Handle::new(handle))
                .collect(),
        }
    }
}
