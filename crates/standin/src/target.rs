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
use gooseberry_kernel::settings::Kind;
use gooseberry_wire::header;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::capacity;
use crate::capacity::Cache;
use crate::capacity::Capacity;
use crate::capacity::Span;
use crate::server;
use crate::server::Reply;
use crate::server::Server;

/// How a target is made.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it is.
    pub kind: Kind,
    /// How long a call takes when it is warm.
    pub work: Duration,
    /// How many calls it bears in cold start; more of them break it.
    pub cold_limit: usize,
    /// How many answers make it warm.
    pub warm_after: usize,
    /// Whether it is warm from the start.
    pub is_warm: bool,
    /// What it bears under load.
    pub capacity: Capacity,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            kind: Kind::Service,
            work: Duration::from_millis(2),
            cold_limit: 2,
            warm_after: 4,
            is_warm: false,
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
    /// It runs each call and then fails on it.
    Fail,
    /// It runs each call and then breaks the connection.
    Break,
    /// It works so much longer.
    Slow(Duration),
    /// It answers with the id and the body of the call before.
    Cross,
    /// Bodies that hold the text break its connections, all of them.
    CrashOn(String),
}

/// One call that a target ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The attempt, as the caller named it.
    pub attempt: String,
    /// The input.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    is_warm: bool,
    answers: usize,
    in_flight: usize,
    overruns: usize,
    most_in_flight: usize,
    journal: Vec<Entry>,
    crossed: Option<Entry>,
    crashes: usize,
    cold_breaks: usize,
    cache: Cache,
    spans: Vec<Span>,
    /// Until when it refuses calls, since it starts again.
    restarts_until: Option<Instant>,
}

#[derive(Debug)]
struct Shared {
    plan: Plan,
    inner: Mutex<Inner>,
    crash: tokio::sync::Notify,
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
            crash: tokio::sync::Notify::new(),
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
    pub fn chill(&self) {
        let mut inner = self.shared.lock();
        inner.is_warm = false;
        inner.answers = 0;
    }

    /// Returns the calls it has, and whether it is cold.
    #[must_use]
    pub fn load(&self) -> (usize, bool) {
        let inner = self.shared.lock();
        (inner.in_flight, !inner.is_warm)
    }

    /// Returns what it has run.
    #[must_use]
    pub fn journal(&self) -> Vec<Entry> {
        self.shared.lock().journal.clone()
    }

    /// Returns how many calls came above its cold limit while it was cold.
    #[must_use]
    pub fn overruns(&self) -> usize {
        self.shared.lock().overruns
    }

    /// Returns the calls that it has worked on, in the order of their start.
    #[must_use]
    pub fn spans(&self) -> Vec<Span> {
        self.shared.lock().spans.clone()
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
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a call begins, unless it is refused.
    fn begin(&self, entry: &Entry) -> Option<Running<'_>> {
        let mut inner = self.lock();
        let now = Instant::now();
        let restarts = inner.restarts_until.is_some_and(|until| now < until);
        if inner.fault == Fault::Refuse || restarts {
            return None;
        }
        inner.in_flight += 1;
        inner.most_in_flight = inner.most_in_flight.max(inner.in_flight);
        if !inner.is_warm && inner.in_flight > self.plan.cold_limit {
            inner.overruns += 1;
        }
        inner.journal.push(entry.clone());
        inner.spans.push(Span {
            input: entry.body.clone(),
            started: now,
            held: Duration::ZERO,
            is_answered: false,
        });
        Some(Running {
            shared: self,
            index: inner.spans.len() - 1,
        })
    }

    /// Breaks if it has more calls than it bears in cold start, and tells
    /// whether it did.
    fn breaks_cold(&self) -> bool {
        let mut inner = self.lock();
        let Some(restart) = self.plan.capacity.restart else {
            return false;
        };
        if inner.is_warm || inner.in_flight <= self.plan.cold_limit {
            return false;
        }
        inner.cold_breaks += 1;
        inner.answers = 0;
        inner.cache.clear();
        inner.restarts_until = Some(Instant::now() + restart);
        self.crash.notify_waiters();
        true
    }

    /// Returns how fast each call is worked on now.
    fn speed(&self) -> f64 {
        let inner = self.lock();
        let capacity = &self.plan.capacity;
        capacity.speed(inner.in_flight, inner.is_warm)
    }

    fn end(&self, index: usize) {
        let mut inner = self.lock();
        inner.in_flight -= 1;
        let span = &mut inner.spans[index];
        span.held = span.started.elapsed();
        if inner
            .restarts_until
            .is_some_and(|until| Instant::now() < until)
        {
            return;
        }
        inner.answers += 1;
        if inner.answers >= self.plan.warm_after {
            inner.is_warm = true;
        }
    }
}

/// Ends a call also when its caller hangs up.
struct Running<'a> {
    shared: &'a Shared,
    /// The index of its span.
    index: usize,
}

impl Running<'_> {
    /// Notes that the call is answered whole.
    fn answered(self) {
        self.shared.lock().spans[self.index].is_answered = true;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.shared.end(self.index);
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let (head, body) = request.into_parts();
    let attempt = header::text(&head.headers, header::ATTEMPT).unwrap_or_default();
    let attempt = attempt.to_owned();
    let Ok(body) = body.collect().await else {
        return Reply::Break;
    };
    let entry = Entry {
        attempt,
        body: body.to_bytes(),
    };
    let Some(running) = shared.begin(&entry) else {
        let headers = [
            (header::ATTEMPT, entry.attempt),
            (header::OUTCOME, "not-run".to_owned()),
        ];
        return server::answer(503, &headers, "");
    };
    if shared.breaks_cold() {
        return Reply::Break;
    }
    let fault = shared.lock().fault.clone();
    let prefixes = shared.plan.capacity.prefixes;
    let mut work = shared.plan.work;
    work = shared.lock().cache.visit(&entry.body, work, prefixes);
    if let Fault::Slow(more) = fault {
        work += more;
    }
    if is_crash(&fault, &entry) {
        shared.lock().crashes += 1;
        shared.crash.notify_waiters();
        return Reply::Break;
    }
    tokio::select! {
        () = capacity::work(work, || shared.speed()) => {}
        () = shared.crash.notified() => return Reply::Break,
    }
    match fault {
        Fault::Break | Fault::Fail => drop(running),
        _ => running.answered(),
    }
    finish(&shared, &fault, entry)
}

fn is_crash(fault: &Fault, entry: &Entry) -> bool {
    let Fault::CrashOn(text) = fault else {
        return false;
    };
    let mut windows = entry.body.windows(text.len().max(1));
    windows.any(|window| window == text.as_bytes())
}

fn finish(shared: &Shared, fault: &Fault, entry: Entry) -> Reply {
    match fault {
        Fault::Break => Reply::Break,
        Fault::Fail => {
            let headers = [(header::ATTEMPT, entry.attempt)];
            server::answer(500, &headers, "")
        }
        Fault::Cross => {
            let before = shared.lock().crossed.replace(entry.clone());
            reply(shared, &before.unwrap_or(entry))
        }
        _ => reply(shared, &entry),
    }
}

fn reply(shared: &Shared, entry: &Entry) -> Reply {
    let is_warm = shared.lock().is_warm;
    let state = if is_warm { "warm" } else { "cold" };
    let headers = [
        (header::ATTEMPT, entry.attempt.clone()),
        (header::STATE, state.to_owned()),
    ];
    server::answer(200, &headers, output(shared.plan.kind, &entry.body))
}

/// Returns what a target of the kind answers to the input.
#[must_use]
pub fn output(kind: Kind, input: &[u8]) -> Vec<u8> {
    let mut output = kind.label().as_bytes().to_vec();
    output.push(b'(');
    output.extend_from_slice(input);
    output.push(b')');
    output
}
