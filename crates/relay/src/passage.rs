//! The run of a request at a target, and the way of the answer back.
//!
//! A request is given to a second target only if the first one certainly did
//! not run it, or if its route allows it to run twice. An answer that breaks
//! off is never ended as if it were complete.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::events::Events;
use gooseberry_kernel::request::table::Form;
use gooseberry_kernel::stage::plan::Plan;
use gooseberry_platform::target;
use gooseberry_platform::target::Reply;
use gooseberry_platform::target::Standing;
use gooseberry_platform::target::Terms;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::Callee;
use crate::exchange::Error;
use crate::exchange::Exchange;
use crate::exchange::FRESH;
use crate::front;
use crate::front::Answer;
use crate::pool::KEPT_MAX;
use crate::request::Job;
use crate::stages;
use crate::stages::Results;
use crate::state::Pick;
use crate::state::Picked;

/// How long to wait for a place at a target that is cold or full.
const PLACE_PAUSE: Duration = Duration::from_millis(25);
/// The largest plain answer, in bytes; ours are a few kilobytes.
const PLAIN_MAX_BYTES: usize = 8 << 20;
/// For how many objectives a repeatable request waits for its first byte.
const FIRST_BYTE_OBJECTIVES: u64 = 2;
/// How often the stages of a request are made: a second time if results are
/// gone at the run, or if its stream has to go on at another target.
const MAKINGS_MAX: u32 = 2;
/// How long a resumable stream may pause before it goes on elsewhere.
///
/// A target's slowest pauses while it reads long prompts are below half of it.
const GAP_MAX: Millis = Millis(1_500);

/// Runs a request, its stages first, and returns its answer.
pub(crate) async fn run(
    context: Arc<Context>,
    job: Job,
    plan: Option<Plan>,
) -> Result<Response<Answer>, Failure> {
    let passage = Passage {
        context,
        job,
        plan,
        makings: 0,
        results: None,
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        events: Events::default(),
        current: None,
        first_byte: None,
        is_ended: false,
    };
    passage.start().await
}

/// A request at its target.
struct Passage {
    context: Arc<Context>,
    job: Job,
    /// The stages whose results the run reads, if it has any.
    plan: Option<Plan>,
    /// How often the stages were made.
    makings: u32,
    /// What the run reads, until it has been read.
    results: Option<Results>,
    /// The targets that are not tried again.
    tried: Vec<name::Target>,
    /// How often the request was sent.
    sends: u32,
    /// How many targets may have run it.
    runs: u32,
    events: Events,
    current: Option<Sent>,
    first_byte: Option<Millis>,
    is_ended: bool,
}

/// A request whose answer has begun at a target.
struct Sent {
    exchange: Exchange,
    reply: Reply,
    _flight: Flight,
}

/// A request at a target; it counts there until this is dropped.
struct Flight {
    context: Arc<Context>,
    target: name::Target,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.context.state().note_end(&self.target);
    }
}

/// What one target made of a request.
enum Try {
    /// Its answer has begun.
    Begun(Box<Sent>),
    /// It certainly did not run the request.
    NotRun(Failure),
    /// It did not run the request, and no other target would.
    Faulty(Failure),
    /// It may have run the request, and there is no answer to pass on.
    MayHaveRun(Failure),
}

impl Passage {
    async fn start(mut self) -> Result<Response<Answer>, Failure> {
        loop {
            let sent = self.send().await?;
            let status = sent.reply.status;
            let head = head(&sent);
            self.current = Some(sent);
            if self.job.route.form == Form::Stream && status.is_success() {
                return match self.next().await {
                    Some(Ok(first)) => Ok(self.stream(head, first)),
                    Some(Err(_)) => Err(self.failure()),
                    None => Ok(head.map(|()| front::whole(Bytes::new()))),
                };
            }
            let is_final = !(self.job.route.is_repeatable() && status.is_server_error());
            match self.read().await {
                Ok(body) if is_final || !self.may_repeat("target-failed") => {
                    self.finish();
                    return Ok(head.map(|()| front::whole(body)));
                }
                Ok(_) => {}
                Err(failure) => {
                    if !self.job.route.is_repeatable() || !self.may_repeat("broken") {
                        return Err(failure);
                    }
                }
            }
            self.current = None;
        }
    }

    /// Has the stages made whose results the run reads, if they are not there.
    async fn prepare(&mut self) -> Result<(), Failure> {
        let Some(plan) = self.plan.as_ref().filter(|_| self.results.is_none()) else {
            return Ok(());
        };
        if self.makings >= MAKINGS_MAX {
            return Err(Kind::NoTarget.into());
        }
        self.makings += 1;
        let (context, job) = (&self.context, &self.job);
        let now = context.now();
        let end = if self.events.count() == 0 {
            job.begin_by
        } else {
            job.deadline
        };
        let domain = {
            let mut state = context.state();
            state.forecast(&job.service, job.head.shared, job.draw(), now)
        };
        let making = stages::run(context, job, plan, domain.as_ref());
        let within = Duration::from_millis((end - now).0);
        let made = tokio::select! {
            made = timeout(within, making) => made.map_err(|_| Failure::from(Kind::QueueFull))?,
            () = context.ending.refused() => Err(Kind::ShuttingDown.into()),
        };
        self.results = Some(made?);
        Ok(())
    }

    /// Sends the request until a target's answer begins.
    async fn send(&mut self) -> Result<Sent, Failure> {
        let mut last: Option<Failure> = None;
        loop {
            self.prepare().await.map_err(|failure| self.fate(failure))?;
            let picked = match self.pick(last.as_ref()).await {
                Ok(picked) => picked,
                Err(failure) => return Err(last.unwrap_or(failure)),
            };
            match self.attempt(picked).await {
                Try::Begun(sent) => {
                    self.runs += 1;
                    return Ok(*sent);
                }
                Try::Faulty(failure) => return Err(self.fate(failure)),
                Try::NotRun(failure) => {
                    if self.sends > 0 && !self.may_send_again("not-run") {
                        return Err(self.fate(failure));
                    }
                    last = Some(self.fate(failure));
                }
                Try::MayHaveRun(failure) => {
                    self.runs += 1;
                    if !self.job.route.is_repeatable() || !self.may_repeat("unanswered") {
                        return Err(failure);
                    }
                    last = Some(failure);
                }
            }
        }
    }

    /// Finds a target, waiting a little if all of them are cold or full.
    async fn pick(&mut self, last: Option<&Failure>) -> Result<Picked, Failure> {
        loop {
            let now = self.context.now();
            if now >= self.job.deadline {
                return Err(last.cloned().unwrap_or(Kind::TooLate.into()));
            }
            let pick = self.context.state().pick(
                &self.job.service,
                self.job.head.shared,
                &self.tried,
                self.job.draw(),
                now,
            );
            match pick {
                Pick::Target(picked) => return Ok(picked),
                Pick::Nobody => return Err(Kind::NoTarget.into()),
                Pick::Wait => sleep(PLACE_PAUSE).await,
            }
        }
    }

    async fn attempt(&mut self, picked: Picked) -> Try {
        let now = self.context.now();
        let left = self.job.deadline - now;
        let job = &self.job;
        let resumed_after = self.events.last().or(job.head.resumed_after.as_ref());
        let resumed_after = resumed_after.cloned();
        let handles = self
            .results
            .as_ref()
            .map_or(&[][..], |results| &results.handles);
        let request = target::request(
            &job.head,
            job.body.clone(),
            &Terms {
                target: &picked.target,
                workspace: job.workspace.as_ref(),
                left,
                rank: job.engine_rank(),
                inputs: handles,
                resumed_after: resumed_after.as_ref().map(CompactString::as_str),
            },
        );
        let callee = Callee {
            target: picked.target.clone(),
            address: picked.address,
            idle_max: if job.route.is_repeatable() {
                KEPT_MAX
            } else {
                FRESH
            },
            runs_once: !job.route.is_repeatable(),
        };
        // From here on the target counts the request until this is dropped.
        let flight = Flight {
            context: self.context.clone(),
            target: picked.target.clone(),
        };
        let limit = Duration::from_millis(self.first_byte_limit(left).0);
        let begun = timeout(limit, Exchange::begin(&self.context, &callee, request)).await;
        self.tried.push(picked.target.clone());
        let (try_, detail) = match begun {
            Err(_) => {
                self.sends += 1;
                self.note_failure(&picked.target);
                (Try::MayHaveRun(overdue()), "no reply in time".to_owned())
            }
            Ok(Err(Error::NotSent(why))) => {
                let now = self.context.now();
                self.context
                    .state()
                    .health()
                    .note_unreachable(&picked.target, now);
                (Try::NotRun(Kind::NoTarget.into()), why)
            }
            Ok(Err(Error::Broken(why))) => {
                self.sends += 1;
                self.note_crash(&picked.target);
                (
                    Try::MayHaveRun(Failure::from(Kind::TargetFailed).unknown()),
                    why,
                )
            }
            Ok(Ok(exchange)) => {
                self.sends += 1;
                let attempt = &self.job.head.attempt;
                let reply = target::read(exchange.status, &exchange.headers, attempt);
                self.judge(Sent {
                    exchange,
                    reply,
                    _flight: flight,
                })
            }
        };
        let outcome = match &try_ {
            Try::Begun(_) => "begun",
            Try::NotRun(_) => "not run",
            Try::Faulty(_) => "not run, and faulty",
            Try::MayHaveRun(_) => "may have run",
        };
        log::info!(
            request:% = self.job.head.attempt,
            target:% = picked.target,
            send = self.sends,
            left_ms = left.0,
            took_ms = (self.context.now() - now).0,
            detail;
            "sent to a target: {outcome}"
        );
        try_
    }

    /// Judges the head of a reply.
    fn judge(&mut self, sent: Sent) -> (Try, String) {
        let now = self.context.now();
        let target = sent.exchange.callee.target.clone();
        if let Some(load) = sent.reply.load {
            self.context.state().note_load(&target, load, now);
        }
        let detail = format!("status {}", sent.reply.status.as_u16());
        match sent.reply.standing {
            Standing::Whole => {
                if sent.reply.status.is_server_error() {
                    self.note_failure(&target);
                } else {
                    self.context.state().health().note_good(&target);
                }
                (Try::Begun(Box::new(sent)), detail)
            }
            Standing::NotRun => match sent.reply.status {
                StatusCode::CONFLICT => {
                    // A result is gone; the others are no use without it.
                    self.results = None;
                    (Try::NotRun(Kind::NoTarget.into()), detail)
                }
                StatusCode::BAD_REQUEST => (Try::Faulty(Kind::NoTarget.into()), detail),
                _ => (Try::NotRun(Kind::QueueFull.into()), detail),
            },
            standing @ (Standing::Foreign | Standing::Spoiled) => {
                self.note_failure(&target);
                let failure = Failure::from(Kind::TargetFailed).unknown();
                (Try::MayHaveRun(failure), format!("{detail}, {standing:?}"))
            }
        }
    }

    /// Reads a plain answer whole, so that a broken one can still be replaced.
    async fn read(&mut self) -> Result<Bytes, Failure> {
        let left = self.job.deadline - self.context.now();
        let limit = Duration::from_millis(self.first_byte_limit(left).0);
        let Some(sent) = self.current.as_mut() else {
            return Err(Kind::Internal.into());
        };
        let target = sent.exchange.callee.target.clone();
        match timeout(limit, sent.exchange.read(PLAIN_MAX_BYTES)).await {
            Ok(Ok(body)) => {
                self.first_byte = Some(self.context.now());
                Ok(body)
            }
            Ok(Err(_)) => {
                self.note_failure(&target);
                Err(Failure::from(Kind::TargetFailed).unknown())
            }
            Err(_) => {
                self.note_failure(&target);
                Err(overdue())
            }
        }
    }

    /// Returns the next whole events; `None` at the end of a complete stream.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.next_bytes().await {
                Ok(Some(bytes)) => {
                    // The first byte shows that the run has read its inputs.
                    self.results = None;
                    let Ok(whole) = self.events.take(&bytes) else {
                        return Some(Err(io::Error::other("an event is too long")));
                    };
                    if !whole.is_empty() {
                        return Some(Ok(whole.into()));
                    }
                }
                Ok(None) if self.events.is_whole() => {
                    self.finish();
                    return None;
                }
                broken => {
                    let why = match broken {
                        Err(why) => why,
                        Ok(_) => "it ended within an event".to_owned(),
                    };
                    if let Err(error) = self.resume(&why).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, String> {
        let left = self.job.deadline - self.context.now();
        let limit = if self.job.route.is_resumable {
            left.min(GAP_MAX)
        } else {
            left
        };
        let sent = self.current.as_mut().ok_or("there is no connection")?;
        let exchange = &mut sent.exchange;
        match timeout(Duration::from_millis(limit.0), exchange.next()).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err(format!("nothing came for {limit} ms")),
        }
    }

    /// Goes on with a broken stream at another target, if the route allows it.
    async fn resume(&mut self, why: &str) -> io::Result<()> {
        let broken = self.current.take();
        let target = broken.map(|sent| sent.exchange.callee.target.clone());
        if let Some(target) = &target {
            self.note_crash(target);
        }
        self.events.resume();
        let may_resume = self.job.route.is_resumable && self.may_repeat("broken-stream");
        log::info!(
            request:% = self.job.head.attempt,
            target:? = target,
            events = self.events.count(),
            may_resume,
            left_ms = (self.job.deadline - self.context.now()).0;
            "a stream broke off: {why}"
        );
        if !may_resume {
            return Err(io::Error::other("the stream broke off"));
        }
        let sent = self.send().await;
        let sent = sent.map_err(|failure| io::Error::other(failure.to_string()))?;
        if !sent.reply.status.is_success() {
            return Err(io::Error::other("the stream could not be resumed"));
        }
        self.current = Some(sent);
        Ok(())
    }

    fn stream(mut self, head: Response<()>, first: Bytes) -> Response<Answer> {
        let now = self.context.now();
        self.first_byte = Some(now);
        let metrics = &self.context.metrics;
        metrics.latency(self.job.form(), "first", now - self.job.arrived);
        let rest = stream::unfold((self, Some(first)), async |(mut passage, first)| {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (passage, None)));
            }
            let next = passage.next().await?;
            Some((next.map(Frame::data), (passage, None)))
        });
        head.map(|()| StreamBody::new(rest).boxed_unsync())
    }

    /// Notes a complete answer, and keeps the connection.
    fn finish(&mut self) {
        self.is_ended = true;
        let now = self.context.now();
        let Some(Sent {
            exchange, reply, ..
        }) = self.current.take()
        else {
            return;
        };
        let target = exchange.callee.target.clone();
        if reply.is_kept {
            exchange.keep(&self.context, reply.idle);
        }
        let job = &self.job;
        let status = reply.status.as_u16();
        let end = if status < 500 {
            "answered"
        } else {
            "target-failed"
        };
        self.context.metrics.request(job.form(), end);
        let took = now - job.arrived;
        self.context.metrics.latency(job.form(), "whole", took);
        log::info!(
            request:% = job.head.attempt,
            route:% = job.route.name,
            target:% = target,
            status,
            sends = self.sends,
            events = self.events.count(),
            first_ms = self.first_byte.map_or(took, |at| at - job.arrived).0,
            took_ms = took.0,
            is_on_time = self.first_byte.unwrap_or(now) <= job.on_time;
            "request answered"
        );
    }

    /// Asks whether one more target may run the request.
    fn may_repeat(&mut self, reason: &str) -> bool {
        self.runs < self.job.route.attempts && self.may_send_again(reason)
    }

    /// Asks the budget whether the request may be sent once more.
    fn may_send_again(&mut self, reason: &str) -> bool {
        let now = self.context.now();
        if now >= self.job.deadline {
            return false;
        }
        let may = self
            .context
            .state()
            .take_repeat(&self.job.service.name, now);
        if may {
            self.context.metrics.repeat(reason);
        } else {
            log::info!(request:% = self.job.head.attempt, reason; "the budget for repeats is used up");
        }
        may
    }

    /// Keeps "not run" true: it holds only if no target may have run it.
    fn fate(&self, failure: Failure) -> Failure {
        if self.runs > 0 {
            failure.unknown()
        } else {
            failure
        }
    }

    fn failure(&self) -> Failure {
        if self.context.now() >= self.job.deadline {
            return overdue();
        }
        Failure::from(Kind::TargetFailed).unknown()
    }

    fn first_byte_limit(&self, left: Millis) -> Millis {
        if !self.job.route.is_repeatable() || self.runs + 1 >= self.job.route.attempts {
            return left;
        }
        let limit = Millis(self.job.route.objective.0 * FIRST_BYTE_OBJECTIVES);
        limit.min(left)
    }

    fn note_failure(&self, target: &name::Target) {
        let now = self.context.now();
        let until = self.context.state().health().note_failure(target, now);
        if let Some(until) = until {
            log::info!(target:% = target, for_ms = (until - now).0; "a target is avoided");
        }
    }

    fn note_crash(&self, target: &name::Target) {
        self.note_failure(target);
        let now = self.context.now();
        let mut state = self.context.state();
        state.suspects().note_crash(self.job.digest, now);
        let crashes = state.suspects().crashes(&self.job.digest, now);
        drop(state);
        log::info!(
            request:% = self.job.head.attempt,
            target:% = target,
            digest:% = self.job.digest,
            crashes;
            "a target broke off; the request is a suspect"
        );
    }
}

fn overdue() -> Failure {
    Failure::from(Kind::DeadlinePassed).unknown()
}

/// Returns the head of an answer: that of its first target.
fn head(sent: &Sent) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = sent.reply.status;
    let mut headers = sent.exchange.headers.clone();
    target::strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    *head.headers_mut() = headers;
    head
}

impl Drop for Passage {
    fn drop(&mut self) {
        if self.is_ended || self.first_byte.is_none() {
            return;
        }
        self.context.metrics.request(self.job.form(), "cut");
        log::info!(
            request:% = self.job.head.attempt,
            sends = self.sends,
            events = self.events.count(),
            took_ms = (self.context.now() - self.job.arrived).0;
            "a stream ended before its last event"
        );
    }
}
