//! Stand-in for a target of any kind.
//!
//! Its answer is its kind followed by the input in parentheses, so a client can
//! check that an answer is complete and belongs to its request. Its journal
//! records the calls that it ran.

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

/// Configuration of a target.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its kind.
    pub kind: TargetKind,
    /// Duration of a call at full speed.
    pub work: Duration,
    /// Most concurrent calls that it may get while it is cold.
    pub cold_limit: usize,
    /// Number of calls after which it is warm.
    pub warm_after: usize,
    /// Whether it is warm from the start.
    pub is_warm: bool,
    /// Whether a call above the cold limit crashes it while it is cold.
    pub is_fragile: bool,
    /// Time for which it refuses connections after a crash.
    pub restart: Duration,
    /// Its speed under load.
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

/// Injected fault of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Each call is refused without being run.
    Refuse,
    /// Each call is refused without being run, with the state `leaving`.
    Leave,
    /// Each call is run and then answered with an error.
    Fail,
    /// Each call is run, then the connection is closed without a response.
    Break,
    /// Each call is run, then the connection is closed in the middle of the
    /// response body.
    Truncate,
    /// Each call takes this much longer.
    Slow(Duration),
    /// Each call is answered with the attempt id and the body of the previous
    /// call.
    Cross,
    /// The target crashes on bodies that contain the text.
    CrashOn(String),
}

/// Journal entry of one call that a target ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The attempt id that the daemon sent.
    pub attempt: String,
    /// The input.
    pub body: Bytes,
    /// Start time.
    pub began: Instant,
    /// End time, also for a crash; `None` while the call runs.
    pub ended: Option<Instant>,
    /// Whether the target was cold and above its cold limit when the call
    /// arrived.
    pub is_overrun: bool,
    /// Whether the target sent a complete answer.
    pub is_answered: bool,
}

impl CallRecord {
    /// Returns the time that the target has spent on it.
    #[must_use]
    pub fn busy_time(&self) -> Duration {
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
    /// The previous call, for [`Fault::Cross`].
    previous_call: Option<CallRecord>,
    /// Number of crashes. Calls that began before the last one are lost.
    crashes: usize,
    /// Until this time no call is run. It covers the time until the server has
    /// closed the connections of a crashed target.
    down_until: Option<Instant>,
    /// Number of crashes caused by calls above the cold limit.
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
    /// Starts on any free port of the loopback interface.
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

    /// Returns the address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches a fault on, or off with [`Fault::None`].
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Makes it cold at once, with an empty cache.
    pub fn make_cold(&self) {
        self.shared.lock().make_cold();
    }

    /// Crashes it: its connections are closed, its calls are lost, and it is
    /// cold again after [`Plan::restart`].
    pub fn crash(&self) {
        self.shared.crash();
        self.server.crash(self.shared.plan.restart);
    }

    /// Returns the number of its calls in flight and whether it is cold.
    #[must_use]
    pub fn load(&self) -> (usize, bool) {
        let inner = self.shared.lock();
        (inner.in_flight, !inner.is_warm)
    }

    /// Returns all calls that it has run.
    #[must_use]
    pub fn journal(&self) -> Vec<CallRecord> {
        self.shared.lock().journal.clone()
    }

    /// Returns the number of calls above its cold limit while it was cold.
    #[must_use]
    pub fn overruns(&self) -> usize {
        let inner = self.shared.lock();
        inner.journal.iter().filter(|call| call.is_overrun).count()
    }

    /// Returns the number of crashes caused by calls above its cold limit.
    #[must_use]
    pub fn cold_breaks(&self) -> usize {
        self.shared.lock().cold_breaks
    }

    /// Returns the number of crashes for any reason.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.shared.lock().crashes
    }

    /// Returns whether it is warm.
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
        for entry in inner.journal.iter_mut().filter(|call| call.ended.is_none()) {
            entry.ended = Some(now);
        }
        drop(inner);
        self.crashed.send_replace(());
    }

    fn is_down(&self) -> bool {
        let until = self.lock().down_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Records the start of a call.
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

    /// Returns the current speed of each call; 1 is full speed.
    fn speed(&self) -> f64 {
        let inner = self.lock();
        let capacity = &self.plan.capacity;
        capacity.speed(inner.in_flight, inner.is_warm)
    }

    /// Returns the duration of the call at full speed.
    fn work(&self, fault: &Fault, entry: &CallRecord) -> Duration {
        let plan = &self.plan;
        let mut inner = self.lock();
        let work = inner
            .cache
            .insert(&entry.body, plan.work, plan.capacity.prefixes);
        match fault {
            Fault::Slow(delay) => work + *delay,
            _ => work,
        }
    }

    /// Records the end of a call, unless the target has crashed since it began.
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

/// A call that is running.
struct Running {
    index: usize,
    /// Number of crashes of the target before the call began.
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
    let is_cold_break = shared.plan.is_fragile && running.entry.is_overrun;
    if is_cold_break {
        shared.lock().cold_breaks += 1;
    }
    if is_cold_break || is_crash(&fault, &running.entry) {
        shared.crash();
        return Reply::Crash(shared.plan.restart);
    }
    // The work continues after the client disconnects, as it does at many
    // targets.
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
            let previous = shared.lock().previous_call.replace(entry.clone());
            reply(shared, fault, &previous.unwrap_or(entry))
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

/// Returns the answer of a target of the kind to the input.
#[must_use]
pub fn output(kind: TargetKind, input: &[u8]) -> Vec<u8> {
    let mut output = kind.label().as_bytes().to_vec();
    output.push(b'(');
    output.extend_from_slice(input);
    output.push(b')');
    output
}
