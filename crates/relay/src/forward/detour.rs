//! Sends the request through a peer, since this daemon reaches no target of the service.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_platform::target;
use gooseberry_wire::detour::Call;
use tokio::time::timeout;

use crate::detour;
use crate::detour::Reply;
use crate::forward::Forwarder;
use crate::forward::SendOutcome;
use crate::forward::StartedReply;
use crate::forward::deadline_passed;

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

    /// Sends the request to a peer, which sends it to a target, and waits for the head of
    /// the reply.
    pub(super) async fn send_by_detour(&mut self, peer: SocketAddr) -> SendOutcome {
        let now = self.context.now();
        self.last_send = None;
        let left = self.job.deadline - now;
        let request = self.target_request(None, left);
        let call = self.detour_call(now, left);
        let limit = Duration::from_millis(self.reply_timeout(left, self.possible_runs + 1).0);
        let sending = detour::send(&self.context, peer, request, &call);
        let replied = timeout(limit, sending).await;
        if let Ok(Reply::CutOff) = replied {
            let mut state = self.context.state();
            state.record_unreached_by(peer, &self.job.service.name);
        } else {
            self.tried_detours.push(peer);
        }
        let (outcome, detail) = match replied {
            Err(_) => {
                self.sends += 1;
                let why = "no reply in time".into();
                (SendOutcome::MayHaveRun(deadline_passed()), why)
            }
            Ok(Reply::CutOff) => {
                let why = "the peer reaches no target, either".into();
                (SendOutcome::NotRun(Kind::NoTarget.into()), why)
            }
            Ok(Reply::NotSent(why, retry_after)) => {
                let failure = match retry_after {
                    Some(delay) => Failure::from(Kind::QueueFull).with_retry_after(delay),
                    None => Kind::NoTarget.into(),
                };
                (SendOutcome::NotRun(failure), why)
            }
            Ok(Reply::Unknown(why, crash)) => {
                self.sends += 1;
                if let Some(crash) = crash {
                    self.tried.push(crash.target.clone());
                    self.last_send = Some((crash.run, now));
                    self.record_suspect(&crash.target, self.context.now());
                }
                let failure = Failure::from(Kind::TargetFailed).with_unknown_outcome();
                (SendOutcome::MayHaveRun(failure), why)
            }
            Ok(Reply::Started(exchange, version)) => {
                self.sends += 1;
                self.tried.push(exchange.callee.target.clone());
                let attempt = &self.job.head.attempt;
                let reply = target::read_reply_head(exchange.status, &exchange.headers, attempt);
                let (outcome, detail) = self.classify(StartedReply {
                    exchange: *exchange,
                    reply,
                    version,
                    _in_flight_guard: None,
                });
                (outcome, detail.into())
            }
        };
        let label = outcome.label();
        self.context.metrics.detour("sent", label);
        log::info!(
            request:% = self.job.head.attempt,
            peer:% = peer,
            target:% = self.tried.last().map_or("", name::Target::as_str),
            send = self.sends,
            left_ms = left.0,
            took_ms = (self.context.now() - now).0,
            detail:%;
            "sent through a peer: {label}"
        );
        outcome
    }

    fn detour_call(&self, now: Millis, left: Millis) -> Call {
        let need = self.need(&self.tried);
        Call {
            attempt: self.job.head.attempt.as_str().into(),
            service: need.service.name.as_str().into(),
            version: need.version.map(|version| version.as_str().into()),
            affinity: need.affinity,
            tried: need
                .tried
                .iter()
                .map(|target| target.as_str().into())
                .collect(),
            draw: need.draw,
            due_ms: (need.due - now).0,
            left_ms: left.0,
            runs_once: !self.job.route.is_repeatable(),
            run_ms: Some(self.forecast().duration.0),
        }
    }
}
