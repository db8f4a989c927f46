//! One daemon, from its start to its end.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Context as _;
use bytes::Bytes;
use gooseberry_kernel::clock::Millis;
use gooseberry_platform::boot;
use gooseberry_platform::boot::Boot;
use gooseberry_runtime::clock::Clock;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::context::Context;
use crate::dispatcher;
use crate::feed;
use crate::front;
use crate::front::Front;
use crate::peers;
use crate::request;

/// The port at which metrics are read.
pub const METRICS_PORT: u16 = 9464;
/// The path at which metrics are read.
pub const METRICS_PATH: &str = "/metrics";

/// How often what lasts only for a while is ended.
const TICK: Duration = Duration::from_millis(250);
/// How often the settings file is looked at; it may change without a signal.
const LOOK: Duration = Duration::from_secs(2);
/// How long new connections may still come after the daemon has said that it
/// is not ready: the platform asks once a second and believes the second miss.
const LINGER: Millis = Millis(2_600);
/// How long before the platform's limit the process ends by itself.
const END_BEFORE: Millis = Millis(600);
/// How long before that end the requests are refused that were not sent to a
/// target yet, so that they still get an answer.
const REFUSE_BEFORE: Millis = Millis(300);
/// How often a shutdown looks whether all is done.
const SHUTDOWN_LOOK: Duration = Duration::from_millis(50);
/// How long the last answers may take to be written.
const LAST_ANSWERS: Millis = Millis(300);
/// How long the thread that writes the logs gets for the last lines.
const LAST_LINES: Duration = Duration::from_millis(30);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    front: Arc<Front>,
    /// What serves in the background.
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Binds the ports and starts to serve.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn start(boot: Boot) -> anyhow::Result<Self> {
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = incarnation.map_or(0, |since| since.as_millis());
        let incarnation = u64::try_from(incarnation).unwrap_or(u64::MAX);
        let context = Context::new(boot, Clock::start(), incarnation)?;
        let mut tasks = JoinSet::new();
        let front = start(&context, &mut tasks).await?;
        Ok(Self {
            context,
            front,
            tasks,
        })
    }

    /// Returns what the parts of the daemon share.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Ends the daemon so that no request is cut.
    pub async fn shut_down(&self) {
        shut_down(&self.context, &self.front, self.context.boot.grace).await;
    }

    /// Ends the daemon at once, as a kill would: connections break off.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.front.cut();
    }
}

/// Runs the daemon until it is told to end.
///
/// # Errors
/// Returns an error if a port cannot be bound.
pub async fn run(boot: Boot) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let daemon = Daemon::start(boot).await?;
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut known = modified();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => look_again(&daemon.context, "signal"),
            _ = looks.tick() => {
                let now = modified();
                if now != known {
                    known = now;
                    look_again(&daemon.context, "file");
                }
            }
        }
    }
    daemon.shut_down().await;
    Ok(())
}

async fn start(context: &Arc<Context>, tasks: &mut JoinSet<()>) -> anyhow::Result<Arc<Front>> {
    let boot = &context.boot;
    let clients = bind(boot.clients, "clients").await?;
    let ready = bind(boot.ready, "ready").await?;
    let control = bind(boot.peers, "peers").await?;
    let metrics = bind((boot.ip, METRICS_PORT).into(), "metrics").await;
    log::info!(
        name:% = boot.name,
        domain:% = boot.domain,
        clients:% = boot.clients,
        peers:% = boot.peers,
        store:% = boot.store,
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let front = Arc::new(Front::default());
    let serving = front.clone();
    let shared = context.clone();
    tasks.spawn(async move {
        let state = shared.clone();
        let handler = move |request| request::serve(state.clone(), request);
        serving.serve(shared, clients, handler).await;
    });
    let shared = context.clone();
    tasks.spawn(front::serve_page(ready, move |path| {
        front::ready_page(&shared, path)
    }));
    match metrics {
        Ok(listener) => {
            let shared = context.clone();
            let page = move |path: &str| metrics_page(&shared, path);
            tasks.spawn(front::serve_page(listener, page));
        }
        // Requests are served without metrics as well.
        Err(error) => log::error!("no metrics: {error:#}"),
    }
    tasks.spawn(peers::serve(context.clone(), control));
    tasks.spawn(peers::greet(context.clone()));
    tasks.spawn(feed::follow(context.clone()));
    tasks.spawn(dispatcher::watch(context.clone()));
    tasks.spawn(tick(context.clone()));
    Ok(front)
}

async fn tick(context: Arc<Context>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let now = context.now();
        context.state().tick(now);
        context
            .pool
            .sweep(now, |target| context.state().is_listed(target));
    }
}

/// Ends the daemon so that no request is cut: it takes none from new clients,
/// serves those that its clients still send, and closes each connection with
/// an answer rather than under a request.
async fn shut_down(context: &Arc<Context>, front: &Front, grace: Millis) {
    let begun = context.now();
    let end = begun + grace - END_BEFORE;
    context.state().members().mark_leaving();
    context.ending.set(end);
    log::info!(
        requests = front.requests(),
        connections = front.connections(),
        grace_ms = grace.0;
        "shutting down"
    );
    peers::tell_all(context).await;
    loop {
        let now = context.now();
        let is_idle = front.requests() == 0 && context.dispatcher.is_idle();
        if now + REFUSE_BEFORE >= end {
            context.ending.refuse_rest();
        }
        if now >= end || (is_idle && now >= begun + LINGER) {
            break;
        }
        sleep(SHUTDOWN_LOOK).await;
    }
    front.end();
    let limit = context.now() + LAST_ANSWERS;
    while front.connections() > 0 && context.now() < limit {
        sleep(SHUTDOWN_LOOK).await;
    }
    log::info!(
        requests = front.requests(),
        connections = front.connections(),
        took_ms = (context.now() - begun).0;
        "stopped"
    );
    sleep(LAST_LINES).await;
}

fn look_again(context: &Context, cause: &str) {
    match Boot::load() {
        Ok(boot) if boot == context.boot => {
            log::info!(cause; "reloaded: the settings of the process are the same");
        }
        Ok(_) => log::info!(cause; "reloaded: what changed takes effect at the next start"),
        Err(error) => log::error!(cause; "not reloaded: {error:#}"),
    }
}

/// When the settings file was changed last.
fn modified() -> Option<SystemTime> {
    let path = boot::path()?;
    std::fs::metadata(path).ok()?.modified().ok()
}

fn metrics_page(context: &Context, path: &str) -> (StatusCode, Bytes) {
    if path != METRICS_PATH {
        return (StatusCode::NOT_FOUND, Bytes::new());
    }
    match context.metrics.text() {
        Ok(text) => (StatusCode::OK, text.into()),
        Err(error) => {
            log::error!("metrics cannot be written: {error:#}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

async fn bind(address: std::net::SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("{what}: cannot bind {address}"))
}
