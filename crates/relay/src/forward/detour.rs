//! Sends the request through a peer, since this daemon reaches no target of the service.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_platform::target;
use gooseberry_wire::detour as detour_message;
use tokio::time::timeout;

use crate::detour;
use crate::detour::Reply;
use crate::forward::Forwarder;
use crate::forward::SendOutcome;
use crate::forward::StartedReply;
use crate::forward::call::Call;
use crate::forward::call::Step;
use crate::forward::call::Way;
use crate::forward::time_left::deadline_passed;

/// Through how many peers that reach targets a request is sent at most.
const DETOURS_MAX: usize = 3;

impl Forwarder {
    /// Returns the peer through which the request is sent; `None` if this daemon sends it
    /// to a target.
    pub(super) fn detour(&self, now: Millis) -> Option<SocketAddr> {
        if self.tried_detours.len() >= DETOURS_MAX {
            return None;
        }
        let state = self.context.state();
        let service = &self.job.service.name;
        state.detour(service, &self.tried_detours, self.job.draw(), now)
    }

    /// Returns whether this daemon reaches no target of the service.
    pub(super) fn is_cut_off(&self) -> bool {
        let state = self.context.state();
        state.is_link_down(&self.job.service.name)
    }

    /// Sends the request to a peer, which sends it to a target.
    pub(super) fn begin_detour(&mut self, peer: SocketAddr) -> Call {
        let now = self.context.now();
        let left = self.job.deadline - now;
        let request = self.target_request(None, left);
        let call = self.detour_call(now, left);
        self.tried_detours.push(peer);
        let context = self.context.clone();
        let next_step = async move {
            let sending = detour::send(&context, peer, request, &call);
            let limit = Duration::from_millis(left.0);
            Step::Detoured(peer, timeout(limit, sending).await.ok())
        };
        Call {
            way: Way::Detour(peer),
            sent_at: now,
            left,
            placed: None,
            last_send: None,
            has_begun: false,
            is_silence_recorded: false,
            next_step: Box::pin(next_step),
        }
    }

    /// Returns the reply of a call through a peer, or its outcome if there is none; `reply` is
    /// `None` if the peer has said nothing until the deadline.
    pub(super) fn end_detour(
        &mut self,
        peer: SocketAddr,
        sent_at: Millis,
        reply: Option<Reply>,
    ) -> Result<StartedReply, (SendOutcome, String)> {
        let outcome = match reply {
            None => {
                self.sends += 1;
                let why = "no reply in time".to_owned();
                (SendOutcome::MayHaveRun(deadline_passed()), why)
            }
            Some(Reply::CutOff) => {
                self.tried_detours.retain(|tried| *tried != peer);
                let mut state = self.context.state();
                state.record_unreached_by(peer, &self.job.service.name);
                let why = "the peer reaches no target, either".to_owned();
                (SendOutcome::NotRun(Kind::NoTarget.into()), why)
            }
            Some(Reply::NotSent(why, retry_after)) => {
                let failure = match retry_after {
                    Some(delay) => Failure::from(Kind::QueueFull).with_retry_after(delay),
                    None => Kind::NoTarget.into(),
                };
                (SendOutcome::NotRun(failure), why.into())
            }
            Some(Reply::Unknown(why, crash)) => {
                self.sends += 1;
                if let Some(crash) = crash {
                    self.tried.push(crash.target.clone());
                    self.last_send = Some((crash.run, sent_at));
                    self.record_suspect(&crash.target, self.context.now());
                }
                let failure = Failure::from(Kind::TargetFailed).with_unknown_outcome();
                (SendOutcome::MayHaveRun(failure), why.into())
            }
            Some(Reply::Started(exchange, version)) => {
                self.sends += 1;
                self.tried.push(exchange.callee.target.clone());
                let attempt = &self.job.head.attempt;
                let reply = target::read_reply_head(exchange.status, &exchange.headers, attempt);
                return Ok(StartedReply {
                    exchange: *exchange,
                    reply,
                    version,
                    body: None,
                    _in_flight_guard: None,
                });
            }
        };
        Err(outcome)
    }

    fn detour_call(&self, now: Millis, left: Millis) -> detour_message::Call {
        let need = self.need(&self.tried);
        detour_message::Call {
            attempt: self.job.head.attempt.as_str().into(),
            service: need.service.name.as_str().into(),
            version: need.version.map(|version| version.as_str().into()),
            affinity: need.affinity,
            tried: need
                .tried
                .iter()
                .map(|target| target.as_str().into())
                .collect(),
            only: need.only.map(|only| {
                let only = only.iter().map(|target| target.as_str().into());
                only.collect()
            }),
            draw: need.draw,
            due_ms: (need.due - now).0,
            left_ms: left.0,
            runs_once: !self.job.route.is_repeatable(),
            run_ms: Some(self.forecast().duration.0),
        }
    }
}
