//! Starts the daemon, reacts to signals and changes of the settings file, and
//! shuts the daemon down without cutting requests.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use anyhow::Context as _;
use bytes::Bytes;
use futures::FutureExt;
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
use crate::detour;
use crate::dispatcher;
use crate::http_server;
use crate::http_server::HttpServer;
use crate::link;
use crate::peers;
use crate::placement;
use crate::request;
use crate::store_watch;

/// The port that serves the metrics.
pub const METRICS_PORT: u16 = 9464;
/// The path that serves the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// How often expired state and idle connections are removed.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// How often the settings file is checked; it may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long new connections may still arrive after the daemon has become not
/// ready: the platform checks readiness once a second and acts on the second
/// failure in a row.
const LATE_CONNECTIONS_WAIT: Millis = Millis(2_600);
/// How long before the end of the platform's grace period the process stops
/// serving by itself.
const GRACE_MARGIN: Millis = Millis(600);
/// How long before it stops serving the process answers all requests that have no answer yet,
/// so that the answers are written before it ends.
const LAST_ANSWERS_BEFORE: Millis = Millis(100);
/// How often a shutdown checks whether requests and connections are left.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the last responses may take to be written.
const LAST_RESPONSES_TIMEOUT: Millis = Millis(300);
/// How long to wait before a task that panicked is started again, so that one that always
/// panics does not use up the processor.
const PANIC_PAUSE: Duration = Duration::from_millis(100);
/// How long the log thread gets to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(30);

/// The servers whose requests a shutdown waits for.
#[derive(Clone, Debug, Default)]
struct Servers {
    clients: Arc<HttpServer>,
    /// Sends requests for peers.
    detours: Arc<HttpServer>,
}

impl Servers {
    fn requests(&self) -> usize {
        self.clients.requests() + self.detours.requests()
    }

    fn connections(&self) -> usize {
        self.clients.connections() + self.detours.connections()
    }

    fn drain(&self) {
        self.clients.drain();
        self.detours.drain();
    }

    fn abort(&self) {
        self.clients.abort();
        self.detours.abort();
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
    servers: Servers,
    /// The listeners and periodic tasks, which end when this is dropped.
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Binds the ports and starts serving.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub async fn start(boot: Boot) -> anyhow::Result<Self> {
        let incarnation = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = incarnation.map_or(0, |since| since.as_millis());
        let incarnation = u64::try_from(incarnation).unwrap_or(u64::MAX);
        let context = Context::new(boot, Clock::start(), incarnation)?;
        let mut tasks = JoinSet::new();
        let servers = start_services(&context, &mut tasks).await?;
        Ok(Self {
            context,
            servers,
            tasks,
        })
    }

    /// Returns the shared state of the daemon.
    #[must_use]
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Shuts the daemon down within its grace period, without cutting requests.
    pub async fn shut_down(&self) {
        shut_down(
            &self.context,
            &self.servers,
            self.context.boot.shutdown_grace,
        )
        .await;
    }

    /// Stops the daemon at once, as a kill signal would: its connections are
    /// closed also under requests.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.servers.abort();
    }
}

/// Runs the daemon until it receives a terminate signal, then shuts it down.
///
/// # Errors
/// Returns an error if a port cannot be bound.
pub async fn run(boot: Boot) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let daemon = Daemon::start(boot).await?;
    let mut settings_checks = interval(SETTINGS_CHECK_INTERVAL);
    settings_checks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut last_modified = settings_modified_at();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => check_settings_file(&daemon.context, "signal"),
            _ = settings_checks.tick() => {
                let modified = settings_modified_at();
                if modified != last_modified {
                    last_modified = modified;
                    check_settings_file(&daemon.context, "file");
                }
            }
        }
    }
    daemon.shut_down().await;
    Ok(())
}

/// Binds the ports and spawns the listeners and periodic tasks.
async fn start_services(
    context: &Arc<Context>,
    tasks: &mut JoinSet<()>,
) -> anyhow::Result<Servers> {
    let boot = &context.boot;
    let clients = bind(boot.client_address, "clients").await?;
    let ready = bind(boot.ready_address, "ready").await?;
    let control = bind(boot.peer_address, "peers").await?;
    let metrics = bind((boot.ip, METRICS_PORT).into(), "metrics").await;
    log::info!(
        name:% = boot.name,
        domain:% = boot.domain,
        clients:% = boot.client_address,
        peers:% = boot.peer_address,
        store:% = boot.store_address,
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let servers = Servers::default();
    let serving = servers.clients.clone();
    let shared = context.clone();
    tasks.spawn(async move {
        let handler_context = shared.clone();
        let handler = move |request| request::serve(handler_context.clone(), request);
        serving.serve(shared, clients, handler).await;
    });
    let shared = context.clone();
    if let Some(address) = boot.detour_address {
        match bind(address, "detours").await {
            Ok(listener) => {
                context.state().set_detour_address(address);
                let serving = servers.detours.clone();
                let shared = context.clone();
                tasks.spawn(async move {
                    let handler_context = shared.clone();
                    let handler = move |request| detour::serve(handler_context.clone(), request);
                    serving.serve(shared, listener, handler).await;
                });
            }
            // Without it, this daemon still serves its own clients.
            Err(error) => log::error!("no requests are sent for peers: {error:#}"),
        }
    }
    tasks.spawn(http_server::serve_page(ready, move |path| {
        http_server::ready_page(&shared, path)
    }));
    match metrics {
        Ok(listener) => {
            let shared = context.clone();
            let page = move |path: &str| metrics_page(&shared, path);
            tasks.spawn(http_server::serve_page(listener, page));
        }
        // Without metrics, requests can still be served.
        Err(error) => log::error!("metrics are not served: {error:#}"),
    }
    tasks.spawn(peers::serve(context.clone(), control));
    spawn_periodic(tasks, context, "greetings", peers::greet_periodically);
    spawn_periodic(tasks, context, "store", store_watch::run);
    spawn_periodic(tasks, context, "dispatcher", dispatcher::run_ticks);
    spawn_periodic(tasks, context, "placement reports", placement::run_reports);
    spawn_periodic(tasks, context, "links", link::recheck_periodically);
    spawn_periodic(tasks, context, "expiry", run_ticks);
    Ok(servers)
}

/// Spawns a periodic task, which runs for as long as the process.
fn spawn_periodic<F>(
    tasks: &mut JoinSet<()>,
    context: &Arc<Context>,
    name: &'static str,
    task: fn(Arc<Context>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let context = context.clone();
    tasks.spawn(run_again_after_panics(name, move || task(context.clone())));
}

/// Runs a task until it ends without a panic. A daemon without one of its periodic tasks
/// would go on with an old state, and nothing would show it.
pub async fn run_again_after_panics<F>(name: &str, task: impl Fn() -> F)
where
    F: Future<Output = ()>,
{
    while AssertUnwindSafe(task()).catch_unwind().await.is_err() {
        log::error!(task = name; "a periodic task panicked and is started again");
        sleep(PANIC_PAUSE).await;
    }
}

/// Removes expired state and idle connections periodically.
async fn run_ticks(context: Arc<Context>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        let now = context.now();
        context.state().tick(now);
        context.placer.tick(&context);
        context
            .pool
            .evict_stale(now, |target| context.state().is_listed(target));
    }
}

/// Shuts the daemon down without cutting requests. The daemon becomes not ready,
/// so that no new clients are sent to it; it serves the requests that still
/// arrive, and closes each connection with a response.
async fn shut_down(context: &Arc<Context>, server: &Servers, grace: Millis) {
    let begun = context.now();
    let end = begun + grace - GRACE_MARGIN;
    context.state().members().mark_leaving();
    context.shutdown.set_end(end - LAST_ANSWERS_BEFORE);
    log::info!(
        requests = server.requests(),
        connections = server.connections(),
        grace_ms = grace.0;
        "shutting down"
    );
    peers::greet_all(context).await;
    loop {
        let now = context.now();
        let is_idle = server.requests() == 0 && context.dispatcher.is_idle();
        if now >= end || (is_idle && now >= begun + LATE_CONNECTIONS_WAIT) {
            break;
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    server.drain();
    let limit = context.now() + LAST_RESPONSES_TIMEOUT;
    loop {
        let now = context.now();
        let is_answering = server.connections() > 0 && now < limit;
        // The last requests that were accepted were promised the time until the end.
        let is_serving = server.requests() > 0 && now < end;
        if !is_answering && !is_serving {
            break;
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    log::info!(
        requests = server.requests(),
        connections = server.connections(),
        took_ms = (context.now() - begun).0;
        "stopped"
    );
    // The end of the process would make streams whose end is that of their connection look
    // complete.
    server.abort();
    sleep(LOG_FLUSH_TIME).await;
}

/// Reads the settings file again and logs whether it has changed; changes take
/// effect only at the next start.
fn check_settings_file(context: &Context, cause: &str) {
    match Boot::load() {
        Ok(boot) if boot == context.boot => {
            log::info!(cause; "settings file read; nothing has changed");
        }
        Ok(_) => log::info!(cause; "settings file changed; the changes apply at the next start"),
        Err(error) => log::error!(cause; "the settings file cannot be used: {error:#}"),
    }
}

/// Returns when the settings file was last modified; `None` if there is none.
fn settings_modified_at() -> Option<SystemTime> {
    let path = boot::settings_path()?;
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Returns the page of metrics.
fn metrics_page(context: &Context, path: &str) -> (StatusCode, Bytes) {
    if path != METRICS_PATH {
        return (StatusCode::NOT_FOUND, Bytes::new());
    }
    match context.metrics.text() {
        Ok(text) => (StatusCode::OK, text.into()),
        Err(error) => {
            log::error!("the metrics cannot be encoded: {error:#}");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

async fn bind(address: std::net::SocketAddr, purpose: &str) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("{purpose}: cannot bind {address}"))
}
