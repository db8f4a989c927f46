//! Start and graceful shutdown of one daemon.
//!
//! A shutdown runs in this order: stop taking requests, wait until requests
//! and calls in progress have ended (up to the configured limit), hand owned
//! keys and targets over to their next owners, tell the peers that this daemon
//! leaves, then close the connections.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use gooseberry_connectors::platform;
use gooseberry_connectors::target;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::drain::Phase;
use gooseberry_kernel::node::Identity;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::settings::Local;
use gooseberry_wire::header;
use http::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::actor::Arguments;
use crate::actor::Handle;
use crate::actor::Message;
use crate::answer;
use crate::answer::HttpAnswer;
use crate::clock::Clock;
use crate::context::Context;
use crate::control;
use crate::control_stream;
use crate::idempotency;
use crate::idempotency::RunningKeys;
use crate::ingress;
use crate::ingress::RequestIds;
use crate::metrics::Metrics;
use crate::operators;
use crate::peers::Peers;
use crate::platform_reader;
use crate::server;
use crate::server::ConnectionLimit;
use crate::target_call;

/// How often a shutdown checks whether it may go on.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the ports stay open after the goodbye, so that the peers and the
/// load balancer stop using this daemon first.
const GOODBYE_GRACE: Duration = Duration::from_millis(200);
/// How long before the end of a shutdown all requests that have no answer get one; half of a
/// shorter shutdown.
const LAST_ANSWERS_BEFORE: Millis = Millis(200);
/// How long a port may take to write its last answers and close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every request and call had ended.
    Clean,
    /// The number of requests and calls that were cut while in progress.
    Cut(usize),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    callers: Port,
    data: Port,
    operators: Port,
    stop: watch::Sender<bool>,
}

/// An HTTP port that is served by a task of its own.
#[derive(Debug)]
struct Port {
    phase: watch::Sender<server::Phase>,
    /// Becomes false when the last connection has ended.
    is_open: watch::Receiver<bool>,
}

impl Port {
    fn serve<H, F>(listener: TcpListener, connection_limit: ConnectionLimit, handler: H) -> Self
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = HttpAnswer> + Send + 'static,
    {
        let (phase, phases) = watch::channel(server::Phase::Open);
        let (open, is_open) = watch::channel(true);
        tokio::spawn(async move {
            server::serve(listener, connection_limit, phases, handler).await;
            open.send_replace(false);
        });
        Self { phase, is_open }
    }

    fn set_phase(&self, phase: server::Phase) {
        self.phase.send_replace(phase);
    }

    /// Closes the port and waits, up to [`CLOSE_TIMEOUT`], until the last answer
    /// is written.
    async fn close(&self) {
        self.set_phase(server::Phase::Ended);
        let mut is_open = self.is_open.clone();
        let ended = is_open.wait_for(|is_open| !is_open);
        tokio::time::timeout(CLOSE_TIMEOUT, ended).await.ok();
    }
}

impl Daemon {
    /// Binds the ports and starts the tasks that serve them.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn start(mut local: Local) -> anyhow::Result<Self> {
        let callers = bind(local.callers, "callers").await?;
        let data = bind(local.data, "data").await?;
        let operators = bind(local.operators, "operators").await?;
        let control = bind(local.control, "control").await?;
        // Replaces port 0 (any free port) by the port that was bound.
        local.callers = callers.local_addr()?;
        local.data = data.local_addr()?;
        local.operators = operators.local_addr()?;
        local.control = control.local_addr()?;
        let seed = RandomState::new().hash_one(local.instance.as_str());
        let context = Arc::new(start_context(local, seed).await?);
        let (stop, stopping) = watch::channel(false);

        let ids = Arc::new(RequestIds::new(seed));
        let shared = context.clone();
        let serve_caller = move |request| ingress::serve(shared.clone(), ids.clone(), request);
        let callers = Port::serve(
            callers,
            context.metrics.connection_limit("callers"),
            serve_caller,
        );
        let shared = context.clone();
        let serve_peer = move |request| serve_peer(shared.clone(), request);
        let data = Port::serve(data, context.metrics.connection_limit("data"), serve_peer);
        let shared = context.clone();
        let serve_operator = move |request| operators::serve(shared.clone(), request);
        let operators = Port::serve(
            operators,
            context.metrics.connection_limit("operators"),
            serve_operator,
        );
        let control = control_stream::incoming(control, context.metrics.control_bytes());
        tokio::spawn(control::serve(context.clone(), control, stopping.clone()));
        tokio::spawn(control::send_heartbeats(context.clone(), stopping.clone()));
        tokio::spawn(platform_reader::watch_list(
            context.clone(),
            stopping.clone(),
        ));
        tokio::spawn(platform_reader::poll_load_reports(
            context.clone(),
            stopping.clone(),
        ));
        tokio::spawn(platform_reader::watch_settings(context.clone(), stopping));
        log::info!(
            "{} serves callers at {}",
            context.local.instance,
            context.local.callers
        );
        Ok(Self {
            context,
            callers,
            data,
            operators,
            stop,
        })
    }

    /// Returns the state that the daemon's tasks share.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Returns the process settings, with the ports that were bound.
    #[must_use]
    pub fn local(&self) -> &Local {
        &self.context.local
    }

    /// Begins a graceful shutdown; a second call ends it at once and cuts what
    /// is still in progress.
    pub fn begin_shut_down(&self) {
        let limit = self.context.local.shutdown_limit;
        let limit = limit - self.last_answers_before();
        self.context.node.tell(Message::ShutDown(limit));
        self.callers.set_phase(server::Phase::Closing);
    }

    /// Returns how long before the end of a shutdown the last requests are answered.
    fn last_answers_before(&self) -> Millis {
        let limit = self.context.local.shutdown_limit;
        LAST_ANSWERS_BEFORE.min(Millis(limit.0 / 2))
    }

    /// Shuts down; requests that end within the configured limit are not cut.
    pub async fn shut_down(&self) -> ShutdownOutcome {
        self.begin_shut_down();
        self.drained().await
    }

    /// Waits for the end of a shutdown that [`begin_shut_down`] started.
    ///
    /// [`begin_shut_down`]: Self::begin_shut_down
    pub async fn drained(&self) -> ShutdownOutcome {
        loop {
            match self.context.node.phase().await {
                Phase::Done => break,
                Phase::LimitReached => {
                    let in_progress = self.in_progress().await;
                    self.context.is_ending.send_replace(true);
                    let limit = Duration::from_millis(self.last_answers_before().0);
                    tokio::time::timeout(limit, self.callers.close()).await.ok();
                    self.stop();
                    return ShutdownOutcome::Cut(in_progress);
                }
                Phase::Serving | Phase::Draining => {
                    if self.is_closed().await {
                        self.data.set_phase(server::Phase::Closing);
                    }
                    tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
                }
            }
        }
        self.data.set_phase(server::Phase::Closing);
        control::hand_over(&self.context).await;
        control::say_goodbye(&self.context).await;
        tokio::time::sleep(GOODBYE_GRACE).await;
        tokio::join!(self.callers.close(), self.data.close());
        let in_progress = self.in_progress().await;
        self.stop();
        match in_progress {
            0 => ShutdownOutcome::Clean,
            in_progress => ShutdownOutcome::Cut(in_progress),
        }
    }

    /// Waits until the node has ended. Before a shutdown, that is after a panic: the state of
    /// the node is lost, and the process serves no one until it is started again.
    pub async fn node_ended(&self) {
        self.context.node.ended().await;
    }

    /// Returns whether the daemon, while shutting down, refuses calls of its peers.
    async fn is_closed(&self) -> bool {
        let closed = self.context.node.read(|node, _| node.is_closed()).await;
        closed.unwrap_or(true)
    }

    /// Returns the number of requests and calls in progress.
    async fn in_progress(&self) -> usize {
        let in_progress = |node: &Node, _| {
            let load = node.in_progress();
            load.requests + load.calls
        };
        self.context
            .node
            .read(in_progress)
            .await
            .unwrap_or_default()
    }

    fn stop(&self) {
        self.callers.set_phase(server::Phase::Ended);
        self.data.set_phase(server::Phase::Ended);
        self.operators.set_phase(server::Phase::Ended);
        self.stop.send_replace(true);
        self.context.node.stop();
    }
}

async fn bind(address: std::net::SocketAddr, port_name: &str) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("{port_name}: cannot bind {address}"))
}

async fn start_context(local: Local, seed: u64) -> anyhow::Result<Context> {
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::new()?);
    let identity = Identity {
        instance: local.instance.clone(),
        domain: local.domain.clone(),
    };
    let node = Node::new(identity, seed, clock.now());
    let arguments = Arguments {
        node,
        clock,
        metrics: metrics.clone(),
    };
    Ok(Context {
        platform: platform::Client::new(local.platform),
        peers: Peers::new(local.instance.clone(), metrics.control_bytes()),
        local,
        clock,
        node: Handle::spawn(arguments).await?,
        targets: target::Client::default(),
        running_keys: RunningKeys::default(),
        metrics,
        is_ending: watch::Sender::new(false),
    })
}

async fn serve_peer(
    context: Arc<Context>,
    request: http::Request<hyper::body::Incoming>,
) -> answer::HttpAnswer {
    if let Some(from) = header::text(request.headers(), header::FROM) {
        context.peers.drop_if_from_blocked(from).await;
    }
    match request.uri().path() {
        target_call::PATH => target_call::serve(context, request).await,
        idempotency::PATH => idempotency::serve(context, request).await,
        _ => answer::error(&gooseberry_kernel::answer::Kind::NoPath.into()),
    }
}
