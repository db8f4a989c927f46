//! Forwards a request to a target and returns the target's response.
//!
//! A request is sent to a second target only if the first one certainly did not
//! run it, or if its route allows it to run more than once. A response that
//! breaks off is never ended as if it were complete: its connection to the
//! client is closed instead.
//!
//! - `attempt` picks targets and sends the request until a response begins.
//! - `breakage` is why a stream broke off.
//! - `call` is one call of the request.
//! - `race` sends the request, and once more while its target is silent.
//! - `detour` sends the request through a peer if this daemon reaches no target.
//! - `placement` picks the target that a placer has chosen.
//! - `crash` records targets that fail, and requests that may crash them.
//! - `reply` says what a reply is used for, and returns the head that is passed on.
//! - `resume` resumes a stream that its target has broken off.
//! - `retry` asks the retry budget.
//! - `stream` passes on a stream of events.
//! - `successor` hands a paused stream over to another target.
//! - `time_left` refuses what could not end before a daemon that is shutting down.

mod attempt;
mod breakage;
mod call;
mod crash;
mod detour;
pub(crate) mod pick;
mod placement;
mod race;
mod reply;
mod resume;
mod retry;
mod stream;
mod successor;
mod time_left;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::continuation::Use;
use gooseberry_kernel::request::event_buffer::EventBuffer;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_kernel::request::punctuality::Lateness;
use gooseberry_kernel::request::punctuality::Punctuality;
use gooseberry_kernel::request::routing_table::ResponseForm;
use gooseberry_kernel::stage::plan::Plan;
use gooseberry_kernel::target::placement::End;
use gooseberry_platform::target::Reply;
use http::Response;

use crate::answer_record::Step;
use crate::answer_record::StreamFacts;
use crate::context::Context;
use crate::exchange::Exchange;
use crate::forward::pick::InFlightGuard;
use crate::forward::retry::Retry;
use crate::forward::stream::Pause;
use crate::forward::time_left::deadline_passed;
use crate::http_server;
use crate::http_server::ResponseBody;
use crate::placement::PlacedRequest;
use crate::request::Job;
use crate::stages::Results;

/// Runs the stages of a request, if it has any, forwards it to a target and
/// returns the response.
pub(crate) async fn run(
    context: Arc<Context>,
    job: Job,
    plan: Option<Plan>,
) -> Result<Response<ResponseBody>, Failure> {
    let resumed_after = job.head.resumed_after.clone();
    let events = EventBuffer::after(resumed_after.filter(|_| job.route.is_resumable));
    let forwarder = Forwarder {
        context,
        job,
        plan,
        stage_runs: 0,
        results: None,
        preferred_domain: None,
        placed: None,
        tried: Vec::new(),
        tried_detours: Vec::new(),
        writers: Vec::new(),
        is_limited_to_writers: false,
        sends: 0,
        last_send: None,
        retry: Retry::None,
        is_sending: false,
        step: Step::Stages,
        possible_runs: 0,
        events,
        current: None,
        comments: Vec::new(),
        pause: Pause::default(),
        punctuality: Punctuality::default(),
        is_ended: false,
    };
    forwarder.forward().await
}

/// The state of one request while it is forwarded.
struct Forwarder {
    context: Arc<Context>,
    job: Job,
    /// The stages whose results the target reads, if the route has any.
    plan: Option<Plan>,
    /// How often the stages were run.
    stage_runs: u32,
    /// The results of the stages, until the target has read them.
    results: Option<Results>,
    /// The failure domain in which the results of the stages were to be read.
    preferred_domain: Option<name::Domain>,
    /// What its placer is told, while it runs at the target that the placer has chosen.
    placed: Option<PlacedRequest>,
    /// The targets that are not tried again.
    tried: Vec<name::Target>,
    /// The peers through which it is not sent again.
    tried_detours: Vec<SocketAddr>,
    /// The targets whose replies were passed on, or begun to be.
    writers: Vec<name::Target>,
    /// Whether it may be sent only to these.
    is_limited_to_writers: bool,
    /// How often the request was sent.
    sends: u32,
    /// The run of the target to which it was sent last, and when.
    last_send: Option<(Run, Millis)>,
    /// Whether the next send is a retry.
    retry: Retry,
    /// Whether it is being sent, and the reply has not begun.
    is_sending: bool,
    /// How far the current way to a target has got.
    step: Step,
    /// How many targets may have run it.
    possible_runs: u32,
    /// The events of a stream that were passed on.
    events: EventBuffer,
    /// The reply that is being passed on.
    current: Option<StartedReply>,
    /// What the target has sent before the first event.
    comments: Vec<u8>,
    /// How long the stream of the current reply has paused.
    pause: Pause,
    /// When the events of the response were ready to be sent to the client.
    punctuality: Punctuality,
    /// Whether the end of the request has been logged and counted.
    is_ended: bool,
}

/// A target's reply whose head has been received.
struct StartedReply {
    exchange: Exchange,
    reply: Reply,
    /// The version of the target's software.
    version: name::Version,
    /// Its body, unless it is a stream. It has been read whole, so that another target's
    /// reply can replace one that breaks off.
    body: Option<Bytes>,
    /// Counts it as in flight, unless a peer does.
    _in_flight_guard: Option<InFlightGuard>,
}

/// The outcome of sending a request to one target.
enum SendOutcome {
    /// The target's reply has begun.
    Started(Box<StartedReply>),
    /// The target certainly did not run the request.
    NotRun(Failure),
    /// The target did not run the request, and no other one would.
    InvalidRequest(Failure),
    /// The target may have run the request, and there is no reply to pass on.
    MayHaveRun(Failure),
}

impl SendOutcome {
    /// Returns the text for logs.
    fn label(&self) -> &'static str {
        match self {
            Self::Started(_) => "begun",
            Self::NotRun(_) => "not run",
            Self::InvalidRequest(_) => "not run, as the request is invalid",
            Self::MayHaveRun(_) => "may have run",
        }
    }
}

impl Forwarder {
    /// Forwards the request until there is a response to pass on.
    async fn forward(mut self) -> Result<Response<ResponseBody>, Failure> {
        // Passed on to the client if no other target replies.
        let mut error_reply: Option<Response<ResponseBody>> = None;
        loop {
            let started = match (self.send().await, error_reply.take()) {
                (Ok(started), _) => started,
                (Err(_), Some(response)) => return Ok(self.pass_on_failure(response)),
                (Err(failure), None) => return Err(failure),
            };
            let status = started.reply.status;
            let reply_use = self.reply_use(&started.reply);
            let head = reply::head(&started);
            self.begin_reply(*started);
            if reply_use == Use::Stream {
                return match self.next_events().await {
                    Some(Ok(first)) => {
                        self.record_answer();
                        self.record_origin();
                        Ok(self.into_response(head, first))
                    }
                    Some(Err(_)) => Err(self.stream_failure()),
                    None => {
                        let comments = std::mem::take(&mut self.comments);
                        Ok(head.map(|()| http_server::full_body(comments.into())))
                    }
                };
            }
            let is_final = !(self.job.route.is_repeatable() && status.is_server_error());
            let body = self.take_body()?;
            if is_final || !self.may_run_again("target-failed") {
                self.finish();
                return Ok(head.map(|()| body));
            }
            error_reply = Some(head.map(|()| body));
            self.end_placed(End::Broken);
            self.current = None;
        }
    }

    /// Returns the body of a reply that is not a stream.
    fn take_body(&mut self) -> Result<ResponseBody, Failure> {
        let whole = self
            .current
            .as_mut()
            .and_then(|started| started.body.take());
        let body = whole.ok_or(Failure::from(Kind::Internal))?;
        self.punctuality.record_whole(self.context.now());
        Ok(http_server::full_body(body))
    }

    /// Passes on the error reply of a target, since the retry got no reply.
    fn pass_on_failure(&mut self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        self.is_ended = true;
        self.context
            .metrics
            .request(self.job.form(), "target-failed");
        log::info!(
            request:% = self.job.head.attempt,
            status = response.status().as_u16(),
            sends = self.sends,
            took_ms = (self.context.now() - self.job.arrived).0;
            "request answered with the error reply of its first target"
        );
        response
    }

    /// Records that the answer has begun, so that no part of the prompt crashes targets.
    fn record_answer(&self) {
        let now = self.context.now();
        let parts = self.job.shared_parts();
        self.context.state().parts().record_answer(&parts, now);
    }

    /// Logs and counts a complete response, and returns the connection to the
    /// pool.
    fn finish(&mut self) {
        self.is_ended = true;
        let now = self.context.now();
        let Some(StartedReply {
            exchange, reply, ..
        }) = self.current.take()
        else {
            return;
        };
        let target = exchange.callee.target.clone();
        self.job.progress.record_answer(reply.status);
        self.end_placed(if reply.status.is_success() {
            End::Complete
        } else {
            End::Broken
        });
        if reply.is_reusable {
            exchange.release(&self.context, reply.idle_timeout);
        }
        let job = &self.job;
        let status = reply.status.as_u16();
        let end = if status < 500 {
            // The request ran without crashing its target, so earlier crashes
            // had another cause.
            let mut state = self.context.state();
            state.suspects().record_answer(job.digest);
            if status < 400 {
                state.parts().record_answer(&job.shared_parts(), now);
            }
            "answered"
        } else {
            "target-failed"
        };
        self.context.metrics.request(job.form(), end);
        let took = now - job.arrived;
        self.context.metrics.latency(job.form(), "whole", took);
        let gap_max = job.route.max_event_gap;
        let late = self.punctuality.lateness(now, job.on_time_by, gap_max);
        let longest_gap = self.punctuality.longest_gap();
        if job.route.form == ResponseForm::Stream && status < 400 {
            self.context.metrics.stream(late, longest_gap);
        }
        log::info!(
            request:% = job.head.attempt,
            route:% = job.route.name,
            target:% = target,
            status,
            sends = self.sends,
            events = self.events.count(),
            first_ms = (self.punctuality.first_at().unwrap_or(now) - job.arrived).0,
            took_ms = took.0,
            longest_gap_ms = longest_gap.0,
            gap_limit_ms = gap_max.0,
            gap_target = self.punctuality.gap_target().map_or("", name::Target::as_str),
            late:%,
            is_on_time = late == Lateness::No;
            "request answered"
        );
    }

    /// Returns the failure of a stream that broke off before its first event.
    fn stream_failure(&self) -> Failure {
        if self.context.now() >= self.job.deadline {
            return deadline_passed();
        }
        Failure::from(Kind::TargetFailed).with_unknown_outcome()
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        if self.is_ended || self.punctuality.first_at().is_none() {
            return;
        }
        let now = self.context.now();
        self.context.metrics.request(self.job.form(), "cut");
        self.job.record.record_stream(StreamFacts {
            events: self.events.count(),
            sends: self.sends,
            silent: now - self.punctuality.last_at().unwrap_or(now),
            longest_gap: self.punctuality.longest_gap(),
            gap_target: self.punctuality.gap_target().cloned(),
        });
    }
}
