//! Greetings between daemons, and the calls that one makes to another.
//!
//! - `server` answers such calls.

mod server;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership;
use gooseberry_kernel::fleet::membership::MemberChange;
use gooseberry_kernel::fleet::mirror::Revision;
use gooseberry_kernel::name;
use gooseberry_kernel::quarantine;
use gooseberry_kernel::stage::group;
use gooseberry_runtime::control_stream;
use gooseberry_runtime::control_stream::Counters;
use gooseberry_wire::control::Suspect;
use gooseberry_wire::fleet;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::FleetClient;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Unmade;
use tarpc::client;
use tarpc::context;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::context::Context;
use crate::dispatcher::Batch;
use crate::dispatcher::Keeper;
pub use crate::peers::server::serve;

/// How long a peer may take to answer a greeting, or to be connected to.
const GREET_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer may take to give what the platform has published.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a call at a peer looks whether the peer is still heard.
const LIVENESS_EVERY: Duration = Duration::from_millis(200);
/// How many suspects a greeting tells of.
const SUSPECTS_MAX: usize = 8;
/// How old the store's last answer may be before a peer is asked instead.
const STORE_AGE_MAX: Millis = Millis(400);

/// Why a call to a peer brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreachable;

#[derive(Clone, Debug)]
struct Link {
    address: SocketAddr,
    client: FleetClient,
}

/// The links to peers, sorted by address.
#[derive(Debug)]
pub struct Peers {
    links: Mutex<Vec<Link>>,
    counters: Counters,
}

impl Peers {
    /// Starts without links.
    #[must_use]
    pub fn new(counters: Counters) -> Self {
        Self {
            links: Mutex::new(Vec::new()),
            counters,
        }
    }

    /// Has the pieces of a group made by a peer.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer is not reached or falls silent.
    pub async fn make(
        &self,
        context: &Context,
        address: SocketAddr,
        service: &name::Service,
        group: &group::Group,
        keepers: &[Keeper],
    ) -> Result<Result<Batch, Unmade>, Unreachable> {
        let now = context.now();
        let limit = Duration::from_millis((group.deadline - now).0) + GREET_TIMEOUT;
        let client = self.client(address).await?;
        let own = context.state().members().process();
        let mut message = Group::new(service, group, own, now);
        message.keepers = keepers.iter().map(Into::into).collect();
        let call = client.make(within(limit), message);
        tokio::pin!(call);
        let made = loop {
            match timeout(LIVENESS_EVERY, call.as_mut()).await {
                Ok(Ok(made)) => break made,
                Ok(Err(_)) => {
                    self.forget(address);
                    return Err(Unreachable);
                }
                Err(_) if context.state().members().is_live(address, context.now()) => {}
                Err(_) => return Err(Unreachable),
            }
        };
        Ok(made.map(|made| Batch {
            handles: made
                .handles
                .iter()
                .map(|one| name::Handle::new(one))
                .collect(),
            domain: name::Domain::new(&made.domain),
            are_inputs_freed: made.are_inputs_freed,
        }))
    }

    /// Tells the peer that dispatched some results that nobody reads them any
    /// more.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer does not answer.
    pub async fn free(&self, keeper: &Keeper) -> Result<(), Unreachable> {
        let handles = keeper.handles.iter().map(|one| one.as_str().into());
        let handles = handles.collect();
        let client = self.client(keeper.address).await?;
        let service = keeper.service.as_str().into();
        let call = client.free(within(GREET_TIMEOUT), service, handles);
        call.await.map_err(|_| {
            self.forget(keeper.address);
            Unreachable
        })
    }

    async fn greet(
        &self,
        address: SocketAddr,
        greeting: Greeting,
    ) -> Result<Greeting, Unreachable> {
        let client = self.client(address).await?;
        let call = client.greet(within(GREET_TIMEOUT), greeting);
        if let Ok(Ok(reply)) = timeout(GREET_TIMEOUT, call).await {
            return Ok(reply);
        }
        self.forget(address);
        Err(Unreachable)
    }

    async fn changes(&self, address: SocketAddr, after: Revision) -> Result<Changes, Unreachable> {
        let client = self.client(address).await?;
        let call = client.changes(within(CHANGES_TIMEOUT), after.0);
        call.await.map_err(|_| Unreachable)
    }

    async fn client(&self, address: SocketAddr) -> Result<FleetClient, Unreachable> {
        if let Some(client) = self.known(address) {
            return Ok(client);
        }
        let connecting = control_stream::connect(address, self.counters.clone());
        let connected = timeout(GREET_TIMEOUT, connecting).await;
        let transport = connected
            .map_err(|_| Unreachable)?
            .map_err(|_| Unreachable)?;
        let client = FleetClient::new(client::Config::default(), transport).spawn();
        let mut links = self.lock();
        let found = links.binary_search_by_key(&address, |link| link.address);
        let link = Link {
            address,
            client: client.clone(),
        };
        match found {
            Ok(index) => links[index] = link,
            Err(index) => links.insert(index, link),
        }
        Ok(client)
    }

    fn known(&self, address: SocketAddr) -> Option<FleetClient> {
        let links = self.lock();
        let found = links.binary_search_by_key(&address, |link| link.address);
        found.ok().map(|index| links[index].client.clone())
    }

    fn forget(&self, address: SocketAddr) {
        self.lock().retain(|link| link.address != address);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Greets the peers for as long as the process runs.
pub async fn greet(context: Arc<Context>) {
    let mut ticks = interval(Duration::from_millis(membership::GREET_INTERVAL.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut before = context.now();
    loop {
        ticks.tick().await;
        let now = context.now();
        let mut due = {
            let mut state = context.state();
            let members = state.members();
            for name in members.silent_since(before, now) {
                log::warn!(member:% = name; "a peer fell silent");
            }
            members.next_greetings(now)
        };
        before = now;
        // Seeds are asked as long as few peers are known: they may have found
        // others that have not found this daemon.
        if due.len() < context.boot.seeds.len() {
            due.extend(context.boot.seeds.iter().copied());
        }
        due.retain(|address| *address != context.boot.peers);
        due.sort_unstable();
        due.dedup();
        for address in due {
            let context = context.clone();
            tokio::spawn(async move { greet_one(&context, address).await });
        }
    }
}

/// Tells every live peer at once, such as that this daemon is leaving.
pub async fn tell_all(context: &Arc<Context>) {
    let live: Vec<SocketAddr> = {
        let now = context.now();
        let mut state = context.state();
        state.members().live_addresses(now)
    };
    let calls = live.into_iter().map(|address| greet_one(context, address));
    futures::future::join_all(calls).await;
}

async fn greet_one(context: &Arc<Context>, address: SocketAddr) {
    let greeting = greeting(context);
    if let Ok(reply) = context.peers.greet(address, greeting).await {
        hear(context, reply);
    }
}

fn greeting(context: &Context) -> Greeting {
    let now = context.now();
    let waits = context.dispatcher.waits(context, now);
    let mut state = context.state();
    for wait in &waits {
        state.note_wait(wait.clone(), now);
    }
    let suspects = state.suspects().newest(SUSPECTS_MAX, now);
    Greeting {
        from: state.members().me().into(),
        others: state
            .members()
            .states_for_greeting(now)
            .iter()
            .map(Into::into)
            .collect(),
        through: state.through().0,
        confirmed_ms: state.confirmed_age(now).unwrap_or(Millis::NEVER).0,
        waits: waits.iter().map(Into::into).collect(),
        suspects: suspects.iter().map(Suspect::from).collect(),
    }
}

fn hear(context: &Arc<Context>, greeting: Greeting) {
    let now = context.now();
    let address = greeting.from.address;
    let mut state = context.state();
    let direct = state.members().update_direct(greeting.from.into(), now);
    let others = greeting.others.into_iter();
    let learnt = others.filter_map(|row| state.members().update_relayed(row.into(), now));
    for change in direct.into_iter().chain(learnt.collect::<Vec<_>>()) {
        if let MemberChange::Found(name) = change {
            log::info!(member:% = name; "a peer was found");
        }
    }
    for wait in greeting.waits {
        state.note_wait(wait.into(), now);
    }
    let suspects = greeting.suspects.into_iter().map(quarantine::Suspect::from);
    let suspects: Vec<quarantine::Suspect> = suspects.collect();
    state.suspects().merge(&suspects, now);
    state.confirm(
        Revision(greeting.through),
        Millis(greeting.confirmed_ms),
        now,
    );
    let is_behind = greeting.through > state.through().0;
    let is_cut_off = state.store_age(now).is_none_or(|age| age > STORE_AGE_MAX);
    if is_behind && is_cut_off && !state.is_learning(now) {
        state.note_learning(now);
        let after = state.through();
        drop(state);
        let context = context.clone();
        tokio::spawn(async move { learn(&context, address, after).await });
    }
}

/// Learns from a peer what the platform has published.
async fn learn(context: &Context, address: SocketAddr, after: Revision) {
    let changes = context.peers.changes(address, after).await;
    let now = context.now();
    let mut state = context.state();
    state.note_learnt();
    if let Ok(changes) = changes {
        state.adopt(changes.into(), &address.to_string(), now);
    }
}

fn within(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

impl From<&Keeper> for fleet::Keeper {
    fn from(keeper: &Keeper) -> Self {
        Self {
            service: keeper.service.as_str().into(),
            address: keeper.address,
            handles: keeper
                .handles
                .iter()
                .map(|one| one.as_str().into())
                .collect(),
        }
    }
}

impl From<&fleet::Keeper> for Keeper {
    fn from(keeper: &fleet::Keeper) -> Self {
        Self {
            service: name::Service::new(&keeper.service),
            address: keeper.address,
            handles: keeper
                .handles
                .iter()
                .map(|one| name::Handle::new(one))
                .collect(),
        }
    }
}
