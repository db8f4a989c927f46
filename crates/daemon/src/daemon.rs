//! One daemon, from its start to its end.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use gooseberry_connectors::platform;
use gooseberry_connectors::target;
use gooseberry_kernel::drain::Phase;
use gooseberry_kernel::node::Identity;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::settings::Local;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::actor::Arguments;
use crate::actor::Handle;
use crate::actor::Message;
use crate::answer;
use crate::clock::Clock;
use crate::context::Context;
use crate::control;
use crate::control_stream;
use crate::entry;
use crate::entry::Ids;
use crate::keyed;
use crate::keyed::Joins;
use crate::metrics::Metrics;
use crate::operators;
use crate::owner;
use crate::peers::Peers;
use crate::reader;
use crate::server;

/// How often a shutdown looks whether all is done.
const SHUTDOWN_LOOK: Duration = Duration::from_millis(20);
/// How long the peers and the balancer get to see a goodbye.
const LINGER: Duration = Duration::from_millis(200);

/// How a shutdown has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing was cut.
    Clean,
    /// So many requests and calls were cut.
    Cut(usize),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    stop_callers: watch::Sender<bool>,
    stop_peers: watch::Sender<bool>,
}

impl Daemon {
    /// Binds the ports and starts to serve.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn start(mut local: Local) -> anyhow::Result<Self> {
        let callers = bind(local.callers, "callers").await?;
        let data = bind(local.data, "data").await?;
        let operators = bind(local.operators, "operators").await?;
        let control = bind(local.control, "control").await?;
        // Port 0 stands for any free port, so the real ones are filled in.
        local.callers = callers.local_addr()?;
        local.data = data.local_addr()?;
        local.operators = operators.local_addr()?;
        local.control = control.local_addr()?;
        let seed = RandomState::new().hash_one(local.instance.as_str());
        let context = Arc::new(start_context(local, seed).await?);
        let (stop_callers, callers_stop) = watch::channel(false);
        let (stop_peers, peers_stop) = watch::channel(false);

        let ids = Arc::new(Ids::new(seed));
        let shared = context.clone();
        let serve_caller = move |request| entry::serve(shared.clone(), ids.clone(), request);
        tokio::spawn(server::serve(callers, callers_stop, serve_caller));
        let shared = context.clone();
        let serve_peer = move |request| serve_peer(shared.clone(), request);
        tokio::spawn(server::serve(data, peers_stop.clone(), serve_peer));
        let shared = context.clone();
        let serve_operator = move |request| operators::serve(shared.clone(), request);
        tokio::spawn(server::serve(operators, peers_stop.clone(), serve_operator));
        let control = control_stream::incoming(control, context.metrics.control_bytes());
        tokio::spawn(control::serve(context.clone(), control, peers_stop.clone()));
        tokio::spawn(control::greet(context.clone(), peers_stop.clone()));
        tokio::spawn(reader::watch_list(context.clone(), peers_stop.clone()));
        tokio::spawn(reader::watch_settings(context.clone(), peers_stop));
        log::info!(
            "{} serves callers at {}",
            context.local.instance,
            context.local.callers
        );
        Ok(Self {
            context,
            stop_callers,
            stop_peers,
        })
    }

    /// Returns what the parts of the daemon share.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Returns who the daemon is and where it listens.
    #[must_use]
    pub fn local(&self) -> &Local {
        &self.context.local
    }

    /// Begins to shut down; a second call ends it at once.
    pub fn begin_shut_down(&self) {
        let limit = self.context.local.shutdown_limit;
        self.context.node.tell(Message::ShutDown(limit));
    }

    /// Shuts down and cuts no request that ends within the limit.
    pub async fn shut_down(&self) -> Ending {
        self.begin_shut_down();
        self.drained().await
    }

    /// Waits until a shutdown that was begun has ended.
    pub async fn drained(&self) -> Ending {
        loop {
            match self.context.node.phase().await {
                Phase::Done => break,
                Phase::Cut => return self.end().await,
                Phase::Serving | Phase::Draining => {
                    tokio::time::sleep(SHUTDOWN_LOOK).await;
                }
            }
        }
        control::say_goodbye(&self.context).await;
        self.stop_callers.send_replace(true);
        tokio::time::sleep(LINGER).await;
        self.end().await
    }

    async fn end(&self) -> Ending {
        let left = |node: &Node, _| node.requests() + node.slots().in_flight();
        let left = self.context.node.look(left).await.unwrap_or_default();
        self.stop_callers.send_replace(true);
        self.stop_peers.send_replace(true);
        self.context.node.stop();
        if left == 0 {
            Ending::Clean
        } else {
            Ending::Cut(left)
        }
    }
}

async fn bind(address: std::net::SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("{what}: cannot bind {address}"))
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
        local,
        clock,
        node: Handle::spawn(arguments).await?,
        peers: Peers::new(metrics.control_bytes()),
        targets: target::Client::default(),
        joins: Joins::default(),
        metrics,
    })
}

async fn serve_peer(
    context: Arc<Context>,
    request: http::Request<hyper::body::Incoming>,
) -> answer::HttpAnswer {
    match request.uri().path() {
        owner::PATH => owner::serve(context, request).await,
        keyed::PATH => keyed::serve(context, request).await,
        _ => answer::error(&gooseberry_kernel::answer::Kind::NoPath.into()),
    }
}
