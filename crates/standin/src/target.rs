//! A stand-in of a target, of any kind.
//!
//! Its answer is its kind and the input in brackets, so a caller can tell
//! whether an answer is whole and its own. Its journal tells what it ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_kernel::settings::TargetKind;
use gooseberry_wire::header;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::capacity;
use crate::capacity::Cache;
use crate::capacity::Capacity;
use crate::server;
use crate::server::Reply;
use crate::server::Server;

/// How a target is made.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it is.
    pub kind: TargetKind,
    /// How long a call takes when it is warm.
    pub work: Duration,
    /// How many calls it bears in cold start.
    pub cold_limit: usize,
    /// How many answers make it warm.
    pub warm_after: usize,
    /// Whether it is warm from the start.
    pub is_warm: bool,
    /// Whether a call above the cold limit crashes it while it is cold.
    pub is_fragile: bool,
    /// How long it refuses connections after a crash.
    pub restart: Duration,
    /// How fast it works under load.
    pub capacity: Capacity,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            kind: TargetKind::Service,
            work: Duration::from_millis(2),
            cold_limit: 2,
            warm_after: 4,
            is_warm: false,
            is_fragile: false,
            restart: Duration::from_millis(300),
            capacity: Capacity::default(),
        }
    }
}

/// A fault of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It refuses each call without running it.
    Refuse,
    /// It says that it is leaving, and refuses each call without running it.
    Leave,
    /// It runs each call and then fails on it.
    Fail,
    /// It runs each call and then breaks the connection.
    Break,
    /// It runs each call and breaks the connection within the answer's body.
    Truncate,
    /// It works so much longer.
    Slow(Duration),
    /// It answers with the id and the body of the call before.
    Cross,
    /// It crashes on bodies that hold the text.
    CrashOn(String),
}

/// One call that a target ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The attempt, as the caller named it.
    pub attempt: String,
    /// The input.
    pub body: Bytes,
    /// When the target began with it.
    pub began: Instant,
    /// When the target let go of it; `None` while it runs.
    pub ended: Option<Instant>,
    /// Whether it came above the cold limit of a cold target.
    pub is_overrun: bool,
    /// Whether the target answered it whole.
    pub is_answered: bool,
}

impl CallRecord {
    /// Returns how long it has held the target.
    #[must_use]
    pub fn held(&self) -> Duration {
        let until = self.ended.unwrap_or_else(Instant::now);
        until.saturating_duration_since(self.began)
    }
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    is_warm: bool,
    answers: usize,
    in_flight: usize,
    journal: Vec<CallRecord>,
    /// The last answered call, for crossed answers.
    crossed: Option<CallRecord>,
    /// How often the target has crashed; calls of an earlier life are gone.
    crashes: usize,
    /// Until when it runs nothing, while its connections are being broken.
    down_until: Option<Instant>,
    /// How many of the crashes came from too many calls in cold start.
    cold_breaks: usize,
    cache: Cache,
}

#[derive(Debug)]
struct Shared {
    plan: Plan,
    inner: Mutex<Inner>,
    crashed: watch::Sender<()>,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    shared: Arc<Shared>,
    server: Server,
}

impl Target {
    /// Starts on any free port of the loopback.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(plan: Plan) -> anyhow::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let inner = Inner {
            is_warm: plan.is_warm,
            ..Inner::default()
        };
        let shared = Arc::new(Shared {
            plan,
            inner: Mutex::new(inner),
            crashed: watch::Sender::new(()),
        });
        let state = shared.clone();
        let handler = move |request| serve(state.clone(), request);
        let server = Server::start(address, handler).await?;
        Ok(Self { shared, server })
    }

    /// Returns where it serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches a fault on, or off with [`Fault::None`].
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Makes it cold without warning.
    pub fn make_cold(&self) {
        self.shared.lock().make_cold();
    }

    /// Crashes it: its connections break, its calls are gone, and it comes
    /// back cold after its restart.
    pub fn crash(&self) {
        self.shared.crash();
        self.server.crash(self.shared.plan.restart);
    }

    /// Returns the calls it has, and whether it is cold.
    #[must_use]
    pub fn load(&self) -> (usize, bool) {
        let inner = self.shared.lock();
        (inner.in_flight, !inner.is_warm)
    }

    /// Returns what it has run.
    #[must_use]
    pub fn journal(&self) -> Vec<CallRecord> {
        self.shared.lock().journal.clone()
    }

    /// Returns how many calls came above its cold limit while it was cold.
    #[must_use]
    pub fn overruns(&self) -> usize {
        let inner = self.shared.lock();
        inner.journal.iter().filter(|one| one.is_overrun).count()
    }

    /// Returns how often it broke in cold start, under more calls than it bears.
    #[must_use]
    pub fn cold_breaks(&self) -> usize {
        self.shared.lock().cold_breaks
    }

    /// Returns how often it has crashed.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.shared.lock().crashes
    }

    /// Tells whether it is warm.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.shared.lock().is_warm
    }
}

impl Inner {
    fn make_cold(&mut self) {
        self.is_warm = false;
        self.answers = 0;
        self.cache.clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn crash(&self) {
        let mut inner = self.lock();
        inner.down_until = Some(Instant::now() + self.plan.restart);
        inner.crashes += 1;
        inner.in_flight = 0;
        inner.make_cold();
        let now = Instant::now();
        for entry in inner.journal.iter_mut().filter(|one| one.ended.is_none()) {
            entry.ended = Some(now);
        }
        drop(inner);
        self.crashed.send_replace(());
    }

    fn is_down(&self) -> bool {
        let until = self.lock().down_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Notes that a call begins.
    fn begin(&self, attempt: String, body: Bytes) -> Running {
        let mut inner = self.lock();
        inner.in_flight += 1;
        let entry = CallRecord {
            attempt,
            body,
            began: Instant::now(),
            ended: None,
            is_answered: false,
            is_overrun: !inner.is_warm && inner.in_flight > self.plan.cold_limit,
        };
        inner.journal.push(entry.clone());
        Running {
            index: inner.journal.len() - 1,
            crash_count: inner.crashes,
            entry,
        }
    }

    /// Returns how fast each call is worked on now.
    fn speed(&self) -> f64 {
        let inner = self.lock();
        let capacity = &self.plan.capacity;
        capacity.speed(inner.in_flight, inner.is_warm)
    }

    /// Returns how long the call takes at full speed.
    fn work(&self, fault: &Fault, entry: &CallRecord) -> Duration {
        let plan = &self.plan;
        let mut inner = self.lock();
        let work = inner
            .cache
            .insert(&entry.body, plan.work, plan.capacity.prefixes);
        match fault {
            Fault::Slow(more) => work + *more,
            _ => work,
        }
    }

    /// Notes that a call has ended, answered whole or not.
    fn end(&self, running: &Running, is_answered: bool) {
        let mut inner = self.lock();
        if inner.crashes != running.crash_count {
            return;
        }
        let entry = &mut inner.journal[running.index];
        entry.ended = Some(Instant::now());
        entry.is_answered = is_answered;
        inner.in_flight -= 1;
        inner.answers += 1;
        if inner.answers >= self.plan.warm_after {
            inner.is_warm = true;
        }
    }
}

/// A call at work.
struct Running {
    index: usize,
    /// How many crashes had been before it began.
    crash_count: usize,
    entry: CallRecord,
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let attempt = header::text(&head.headers, header::ATTEMPT).unwrap_or_default();
    let attempt = attempt.to_owned();
    let Ok(body) = body.collect().await else {
        return Reply::Break;
    };
    if shared.is_down() {
        return Reply::Break;
    }
    let fault = shared.lock().fault.clone();
    match fault {
        Fault::Refuse => return refuse(attempt, None),
        Fault::Leave => return refuse(attempt, Some("leaving")),
        _ => {}
    }
    let running = shared.begin(attempt, body.to_bytes());
    let breaks_cold = shared.plan.is_fragile && running.entry.is_overrun;
    if breaks_cold {
        shared.lock().cold_breaks += 1;
    }
    if breaks_cold || is_crash(&fault, &running.entry) {
        shared.crash();
        return Reply::Crash(shared.plan.restart);
    }
    // The work goes on when the caller hangs up, as it does at many targets.
    let work = tokio::spawn(work(shared, fault, running));
    work.await.unwrap_or(Reply::Break)
}

async fn work(shared: Arc<Shared>, fault: Fault, running: Running) -> Reply {
    let mut crashed = shared.crashed.subscribe();
    let span = shared.work(&fault, &running.entry);
    tokio::select! {
        () = capacity::work(span, || shared.speed()) => {}
        _ = crashed.changed() => return Reply::Break,
    }
    let is_answered = !matches!(fault, Fault::Break | Fault::Fail | Fault::Truncate);
    shared.end(&running, is_answered);
    finish(&shared, &fault, running.entry)
}

fn refuse(attempt: String, state: Option<&str>) -> Reply {
    let mut headers = vec![
        (header::ATTEMPT, attempt),
        (header::OUTCOME, "not-run".to_owned()),
    ];
    headers.extend(state.map(|state| (header::STATE, state.to_owned())));
    server::answer(503, &headers, "")
}

fn is_crash(fault: &Fault, entry: &CallRecord) -> bool {
    let Fault::CrashOn(text) = fault else {
        return false;
    };
    let mut windows = entry.body.windows(text.len().max(1));
    windows.any(|window| window == text.as_bytes())
}

fn finish(shared: &Shared, fault: &Fault, entry: CallRecord) -> Reply {
    match fault {
        Fault::Break => Reply::Break,
        Fault::Fail => {
            let headers = [(header::ATTEMPT, entry.attempt)];
            server::answer(500, &headers, "")
        }
        Fault::Cross => {
            let before = shared.lock().crossed.replace(entry.clone());
            reply(shared, fault, &before.unwrap_or(entry))
        }
        _ => reply(shared, fault, &entry),
    }
}

fn reply(shared: &Shared, fault: &Fault, entry: &CallRecord) -> Reply {
    let is_warm = shared.lock().is_warm;
    let state = if is_warm { "warm" } else { "cold" };
    let headers = [
        (header::ATTEMPT, entry.attempt.clone()),
        (header::STATE, state.to_owned()),
    ];
    let body = output(shared.plan.kind, &entry.body);
    match fault {
        Fault::Truncate => server::cut_answer(200, &headers, body),
        _ => server::answer(200, &headers, body),
    }
}

/// Returns what a target of the kind answers to the input.
#[must_use]
pub fn output(kind: TargetKind, input: &[u8]) -> Vec<u8> {
    let mut output = kind.label().as_bytes().to_vec();
    output.push(b'(');
    output.extend_from_slice(input);
    output.push(b')');
    output
}
