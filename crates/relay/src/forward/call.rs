//! One call of a request: to a target, or through a peer.

use std::future::Future;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_platform::target;
use tokio::time::timeout;

use crate::context::Context;
use crate::detour;
use crate::exchange::Callee;
use crate::exchange::Error;
use crate::exchange::Exchange;
use crate::exchange::RUN_ONCE_IDLE_MAX;
use crate::exchange::ReadError;
use crate::forward::Forwarder;
use crate::forward::SendOutcome;
use crate::forward::StartedReply;
use crate::forward::attempt::Path;
use crate::forward::crash;
use crate::forward::pick::InFlightGuard;
use crate::forward::time_left::deadline_passed;
use crate::link;
use crate::placement::PlacedRequest;
use crate::pool::IDLE_MAX;
use crate::pool::Lane;
use crate::state::PickedTarget;

/// The largest response that is not a stream, in bytes; usual ones are a few
/// kilobytes.
const PLAIN_MAX_BYTES: usize = 8 << 20;

/// A request that was sent and waits for the next step of its reply.
pub(super) struct Call {
    pub(super) way: Way,
    pub(super) sent_at: Millis,
    /// The time that was left until the deadline.
    pub(super) left: Millis,
    /// What its placer is told, if the target was chosen by one.
    pub(super) placed: Option<PlacedRequest>,
    /// The run of the target, and when the request was sent to it.
    pub(super) last_send: Option<(Run, Millis)>,
    /// Whether the head of its reply has been received.
    pub(super) has_begun: bool,
    /// Whether it has been recorded that its target is silent.
    pub(super) is_silence_recorded: bool,
    pub(super) next_step: NextStep,
}

pub(super) type NextStep = Pin<Box<dyn Future<Output = Step> + Send>>;

/// To whom a call was sent.
pub(super) enum Way {
    /// To this target.
    Direct(PickedTarget),
    /// To this peer, which picks the target.
    Detour(SocketAddr),
}

/// A step of a reply.
pub(super) enum Step {
    /// Its head has come, or there will be none. A call that broke off is [`Step::Broken`].
    Begun(Result<Box<StartedReply>, Error>),
    /// The call broke off before the head.
    Broken(Break),
    /// The peer has said what became of the call, or nothing until the deadline.
    Detoured(SocketAddr, Option<detour::Reply>),
    /// The reply has been read whole.
    Read(Box<StartedReply>),
    /// The reply broke off.
    ReadBroken(Break),
    /// The reply was not complete by the deadline.
    ReadSilent(name::Target),
}

/// A call that broke off.
pub(super) struct Break {
    pub(super) target: name::Target,
    pub(super) why: String,
    /// Whether that was the fault of the target, and not of the link.
    pub(super) is_fault_of_target: bool,
    pub(super) at: Millis,
}

impl Break {
    /// Records that a call broke off, and waits until it is known whose fault that was.
    async fn judge(
        context: &Arc<Context>,
        service: &name::Service,
        callee: &Callee,
        why: String,
    ) -> Self {
        crash::record_failure(context, &callee.target);
        let at = context.now();
        let is_fault = crash::is_fault_of_target(context, service, callee, at).await;
        Self {
            target: callee.target.clone(),
            why,
            is_fault_of_target: is_fault,
            at,
        }
    }
}

impl Call {
    /// Returns its target; `None` if a peer picks it.
    pub(super) fn target(&self) -> Option<&name::Target> {
        match &self.way {
            Way::Direct(picked) => Some(&picked.target),
            Way::Detour(_) => None,
        }
    }
}

/// Waits for the next step of any of these calls; returns its index, too.
pub(super) async fn next_step(calls: &mut [Call]) -> (usize, Step) {
    poll_fn(|context| {
        for (index, call) in calls.iter_mut().enumerate() {
            if let Poll::Ready(step) = call.next_step.as_mut().poll(context) {
                return Poll::Ready((index, step));
            }
        }
        Poll::Pending
    })
    .await
}

impl Forwarder {
    /// Sends the request.
    pub(super) fn begin_call(&mut self, path: Path) -> Call {
        match path {
            Path::Direct(picked) => self.begin_direct(picked),
            Path::Detour(peer) => self.begin_detour(peer),
        }
    }

    /// Sends the request to a target.
    fn begin_direct(&mut self, picked: PickedTarget) -> Call {
        let now = self.context.now();
        let left = self.job.deadline - now;
        let request = self.target_request(Some(&picked.target), left);
        let is_repeatable = self.job.route.is_repeatable();
        let callee = Callee {
            target: picked.target.clone(),
            address: picked.address,
            lane: Some(Lane::Requests),
            idle_max: if is_repeatable {
                IDLE_MAX
            } else {
                RUN_ONCE_IDLE_MAX
            },
            runs_once: !is_repeatable,
            is_detour: false,
        };
        self.tried.push(picked.target.clone());
        if let Some(placed) = &mut self.placed {
            placed.record_send();
        }
        let (context, service) = (self.context.clone(), self.job.service.name.clone());
        let (attempt, version) = (self.job.head.attempt.clone(), picked.version.clone());
        // `State::pick` has counted the request as in flight at the target.
        let in_flight_guard = InFlightGuard::new(&self.context, &picked);
        let limit = Duration::from_millis(left.0);
        let next_step = async move {
            let exchange = Exchange::begin(&context, &callee, request);
            let exchange = link::watch_silence(&context, &service, &callee.target, exchange);
            match timeout(limit, exchange).await {
                Ok(Err(Error::Broken(why))) => {
                    Step::Broken(Break::judge(&context, &service, &callee, why).await)
                }
                Ok(Ok(exchange)) => {
                    let headers = &exchange.headers;
                    let reply = target::read_reply_head(exchange.status, headers, &attempt);
                    Step::Begun(Ok(Box::new(StartedReply {
                        exchange,
                        reply,
                        version,
                        body: None,
                        _in_flight_guard: Some(in_flight_guard),
                    })))
                }
                Ok(Err(error)) => Step::Begun(Err(error)),
                Err(_) => Step::Begun(Err(Error::Silent("no reply in time".to_owned()))),
            }
        };
        Call {
            last_send: Some((picked.run, now)),
            way: Way::Direct(picked),
            sent_at: now,
            left,
            placed: self.placed.take(),
            has_begun: false,
            is_silence_recorded: false,
            next_step: Box::pin(next_step),
        }
    }

    /// Reads a reply that is not a stream whole.
    pub(super) fn read_body(&self, mut started: Box<StartedReply>) -> NextStep {
        let (context, service) = (self.context.clone(), self.job.service.name.clone());
        let limit = Duration::from_millis((self.job.deadline - context.now()).0);
        Box::pin(async move {
            let callee = started.exchange.callee.clone();
            let reading = started.exchange.read_all(PLAIN_MAX_BYTES);
            match timeout(limit, reading).await {
                Ok(Ok(body)) => {
                    started.body = Some(body);
                    Step::Read(started)
                }
                Ok(Err(ReadError::Broken(why))) => {
                    drop(started);
                    Step::ReadBroken(Break::judge(&context, &service, &callee, why).await)
                }
                Ok(Err(error @ (ReadError::TooLong | ReadError::NoMemory))) => {
                    crash::record_failure(&context, &callee.target);
                    // A reply without an end is no crash.
                    Step::ReadBroken(Break {
                        target: callee.target,
                        why: error.to_string(),
                        is_fault_of_target: false,
                        at: context.now(),
                    })
                }
                Err(_) => Step::ReadSilent(callee.target),
            }
        })
    }

    /// Derives the outcome of a call to a target that has no reply.
    pub(super) fn outcome_of_error(&mut self, call: &Call, error: Error) -> (SendOutcome, String) {
        let Some(target) = call.target() else {
            return (
                SendOutcome::NotRun(Kind::NoTarget.into()),
                error.to_string(),
            );
        };
        if let Error::Paused = error {
            // A target that asked for a pause is sound, and may be picked again after it.
            self.tried.retain(|tried| tried != target);
            let why = error.to_string();
            return (SendOutcome::NotRun(Kind::QueueFull.into()), why);
        }
        link::check_after_failure(&self.context, &self.job.service.name, target);
        match error {
            Error::NotSent(why) => {
                let now = self.context.now();
                let mut state = self.context.state();
                state.health().record_unreachable(target, now);
                (SendOutcome::NotRun(Kind::NoTarget.into()), why)
            }
            Error::Silent(why) | Error::Broken(why) => {
                self.sends += 1;
                self.record_failure(target);
                (SendOutcome::MayHaveRun(deadline_passed()), why)
            }
            Error::Paused => (SendOutcome::NotRun(Kind::QueueFull.into()), String::new()),
        }
    }

    /// Logs how a call has ended, or that its reply has begun.
    pub(super) fn log_call(&self, call: &Call, label: &str, detail: &str) {
        let took_ms = (self.context.now() - call.sent_at).0;
        match &call.way {
            Way::Direct(picked) => log::info!(
                request:% = self.job.head.attempt,
                target:% = picked.target,
                target_version:% = picked.version,
                send = self.sends,
                left_ms = call.left.0,
                took_ms,
                detail;
                "sent to a target: {label}"
            ),
            Way::Detour(peer) => {
                self.context.metrics.detour("sent", label);
                log::info!(
                    request:% = self.job.head.attempt,
                    peer:% = peer,
                    target:% = self.tried.last().map_or("", name::Target::as_str),
                    send = self.sends,
                    left_ms = call.left.0,
                    took_ms,
                    detail;
                    "sent through a peer: {label}"
                );
            }
        }
    }
}
