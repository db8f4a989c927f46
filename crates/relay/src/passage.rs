//! The run of a request at a target, and the way of the answer back.
//!
//! A request is given to a second target only if the first one certainly did
//! not run it, or if its route allows it to run twice. An answer that breaks
//! off is never ended as if it were complete.

mod attempt;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::events::Events;
use gooseberry_kernel::request::table::Form;
use gooseberry_kernel::stage::plan::Plan;
use gooseberry_platform::target;
use gooseberry_platform::target::Reply;
use http::Response;
use http::header::CONTENT_LENGTH;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::Exchange;
use crate::front;
use crate::front::Answer;
use crate::request::Job;
use crate::stages::Results;

/// The largest plain answer, in bytes; ours are a few kilobytes.
const PLAIN_MAX_BYTES: usize = 8 << 20;

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
        // What the first target answered, if it failed and another one is tried.
        let mut failed: Option<Response<Answer>> = None;
        loop {
            let sent = match (self.send().await, failed.take()) {
                (Ok(sent), _) => sent,
                (Err(_), Some(answer)) => return Ok(self.pass_failed(answer)),
                (Err(failure), None) => return Err(failure),
            };
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
                Ok(body) => failed = Some(head.map(|()| front::whole(body))),
                Err(failure) => {
                    if !self.job.route.is_repeatable() || !self.may_repeat("broken") {
                        return Err(failure);
                    }
                }
            }
            self.current = None;
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
                Err(Failure::from(Kind::TargetFailed).with_unknown_outcome())
            }
            Err(_) => {
                self.note_failure(&target);
                Err(overdue())
            }
        }
    }

    /// Passes on what a target answered that failed, since no other one has.
    fn pass_failed(&mut self, answer: Response<Answer>) -> Response<Answer> {
        self.is_ended = true;
        self.context
            .metrics
            .request(self.job.form(), "target-failed");
        log::info!(
            request:% = self.job.head.attempt,
            status = answer.status().as_u16(),
            sends = self.sends,
            took_ms = (self.context.now() - self.job.arrived).0;
            "request answered with the failure of its first target"
        );
        answer
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
            // Whatever broke beside this request before was not its fault.
            let mut state = self.context.state();
            state.suspects().record_answer(job.digest);
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

    fn failure(&self) -> Failure {
        if self.context.now() >= self.job.deadline {
            return overdue();
        }
        Failure::from(Kind::TargetFailed).with_unknown_outcome()
    }
}

fn overdue() -> Failure {
    Failure::from(Kind::DeadlinePassed).with_unknown_outcome()
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
