//! Sends a request to one target after another until a reply begins, within the
//! deadline, the attempts of its route and the retry budget.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_platform::target;
use gooseberry_platform::target::CallParameters;
use gooseberry_platform::target::Validity;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use tokio::time::timeout;

use crate::exchange::Callee;
use crate::exchange::Error;
use crate::exchange::Exchange;
use crate::exchange::RUN_ONCE_IDLE_MAX;
use crate::forward::Forwarder;
use crate::forward::SendOutcome;
use crate::forward::StartedReply;
use crate::forward::deadline_passed;
use crate::forward::pick::InFlightGuard;
use crate::link;
use crate::pool::IDLE_MAX;
use crate::pool::Lane;
use crate::stages;
use crate::state::PickedTarget;

/// How long a request that may be retried waits for the head of a reply, and then for
/// the rest of it, as a multiple of its route's latency objective.
const REPLY_TIMEOUT_FACTOR: u64 = 2;
/// How often the stages of a request are run: a second time if results are gone
/// when the target reads them, or if its stream is resumed at another target.
const STAGE_RUNS_MAX: u32 = 2;

/// The way on which a request is sent.
enum Path {
    /// To this target.
    Direct(PickedTarget),
    /// Through this peer, which picks the target.
    Detour(SocketAddr),
}

impl Forwarder {
    /// Runs the stages unless their results exist already.
    pub(super) async fn ensure_stages(&mut self) -> Result<(), Failure> {
        let Some(plan) = self.plan.as_ref().filter(|_| self.results.is_none()) else {
            return Ok(());
        };
        if self.stage_runs >= STAGE_RUNS_MAX {
            return Err(Kind::NoTarget.into());
        }
        self.stage_runs += 1;
        let (context, job) = (&self.context, &self.job);
        let now = context.now();
        let end = self.job.begin_by;
        let domain = {
            let mut state = context.state();
            state.forecast_domain(self.need(&[]), now)
        };
        let running_stages = stages::run(context, job, plan, domain.as_ref());
        let time_limit = Duration::from_millis((end - now).0);
        let running_stages = timeout(time_limit, running_stages);
        let results = context.shutdown.wait_unsent(running_stages).await?;
        let results = results.map_err(|_| Failure::from(Kind::QueueFull))?;
        self.results = Some(results?);
        self.preferred_domain = domain;
        Ok(())
    }

    /// Returns whether there are results for another target, or the stages may run for it.
    pub(super) fn may_run_stages(&self) -> bool {
        self.plan.is_none() || self.results.is_some() || self.stage_runs < STAGE_RUNS_MAX
    }

    /// Sends the request until a target's reply begins.
    pub(super) async fn send(&mut self) -> Result<Box<StartedReply>, Failure> {
        let mut last_failure: Option<Failure> = None;
        loop {
            self.ensure_stages()
                .await
                .map_err(|failure| self.unknown_if_run(failure))?;
            let path = match self.choose_path(last_failure.as_ref()).await {
                Ok(path) => path,
                Err(failure) => {
                    let failure = self.unknown_if_run(failure);
                    let last_failure = last_failure.filter(|_| failure.retry_after.is_none());
                    return Err(last_failure.unwrap_or(failure));
                }
            };
            if !self.may_still_retry() {
                self.abandon(&path);
                let failure = last_failure.unwrap_or(Kind::QueueFull.into());
                return Err(self.unknown_if_run(failure));
            }
            if self.is_part_quarantined() {
                self.abandon(&path);
                return Err(self.quarantine_failure());
            }
            self.is_sending = true;
            let outcome = match path {
                Path::Direct(picked) => self.send_once(picked).await,
                Path::Detour(peer) => self.send_by_detour(peer).await,
            };
            self.is_sending = false;
            self.record_placed_outcome(&outcome);
            match outcome {
                SendOutcome::Started(started) => {
                    self.possible_runs += 1;
                    return Ok(started);
                }
                SendOutcome::InvalidRequest(failure) => return Err(self.unknown_if_run(failure)),
                SendOutcome::NotRun(failure) => {
                    if self.sends > 0 && !self.may_send_again("not-run") {
                        return Err(self.unknown_if_run(failure));
                    }
                    last_failure = Some(self.unknown_if_run(failure));
                }
                SendOutcome::MayHaveRun(failure) => {
                    self.possible_runs += 1;
                    if !self.job.route.is_repeatable() || !self.may_run_again("unanswered") {
                        return Err(failure);
                    }
                    last_failure = Some(failure);
                }
            }
        }
    }

    /// Releases the place of a request that is not sent after all.
    fn abandon(&self, path: &Path) {
        if let Path::Direct(picked) = path {
            let mut state = self.context.state();
            state.record_request_end(picked, self.context.now());
        }
    }

    /// Decides how the request is sent next, and waits until it may be.
    async fn choose_path(&mut self, last_failure: Option<&Failure>) -> Result<Path, Failure> {
        let now = self.context.now();
        if let Some(peer) = self.detour(now).filter(|_| now < self.job.deadline) {
            return Ok(Path::Detour(peer));
        }
        if !self.tried_detours.is_empty() && self.is_cut_off() {
            // Peers that reach the targets could not send it, and this daemon cannot.
            let failure = last_failure.cloned();
            return Err(failure.unwrap_or(Kind::NoTarget.into()));
        }
        match self.pick_target().await {
            Err(failure) if failure.kind == Kind::TooLate => {
                Err(last_failure.cloned().unwrap_or(failure))
            }
            picked => Ok(Path::Direct(picked?)),
        }
    }

    /// Returns the request as it is sent to a target; `left` is the time until its deadline.
    /// `target` is `None` if a peer picks it.
    pub(super) fn target_request(
        &self,
        target: Option<&name::Target>,
        left: Millis,
    ) -> Request<Full<Bytes>> {
        let job = &self.job;
        let resumed_after = self.events.last_id();
        let results = self.results.as_ref();
        let parameters = CallParameters {
            target,
            workspace: job.workspace.as_ref(),
            remaining: left,
            rank: job.engine_rank(),
            inputs: results.map_or(&[][..], |results| &results.handles),
            resumed_after: resumed_after.map(CompactString::as_str),
        };
        target::request(&job.head, job.body.clone(), &parameters)
    }

    /// Sends the request to one target and waits for the head of its reply.
    pub(super) async fn send_once(&mut self, picked: PickedTarget) -> SendOutcome {
        let now = self.context.now();
        self.last_send = Some((picked.run, now));
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
        // `State::pick` has counted the request as in flight at the target.
        let in_flight_guard = InFlightGuard::new(&self.context, &picked);
        let limit = Duration::from_millis(self.reply_timeout(left, self.possible_runs + 1).0);
        if let Some(placed) = &mut self.placed {
            placed.record_send();
        }
        let exchange = Exchange::begin(&self.context, &callee, request);
        let service = &self.job.service.name;
        let exchange = link::watch_silence(&self.context, service, &picked.target, exchange);
        let may_repeat = is_repeatable && self.possible_runs + 1 < self.job.route.max_attempts;
        let begun = tokio::select! {
            begun = timeout(limit, exchange) => {
                begun.unwrap_or_else(|_| Err(Error::Silent("no reply in time".to_owned())))
            }
            () = link::until_detour(&self.context, service, &self.tried_detours), if may_repeat => {
                Err(Error::Silent("the link to the service is down".to_owned()))
            }
        };
        // A target that asked for a pause is sound, and may be picked again after it.
        let is_paused = matches!(begun, Err(Error::Paused));
        if !is_paused {
            self.tried.push(picked.target.clone());
        }
        if begun.is_err() && !is_paused {
            link::check_after_failure(&self.context, service, &picked.target);
        }
        let (outcome, detail) = match begun {
            Err(Error::Silent(why)) => {
                self.sends += 1;
                self.record_failure(&picked.target);
                (SendOutcome::MayHaveRun(deadline_passed()), why)
            }
            Err(Error::Paused) => {
                let why = Error::Paused.to_string();
                (SendOutcome::NotRun(Kind::QueueFull.into()), why)
            }
            Err(Error::NotSent(why)) => {
                let now = self.context.now();
                self.context
                    .state()
                    .health()
                    .record_unreachable(&picked.target, now);
                (SendOutcome::NotRun(Kind::NoTarget.into()), why)
            }
            Err(Error::Broken(why)) => {
                self.sends += 1;
                self.record_crash(&callee).await;
                (
                    SendOutcome::MayHaveRun(
                        Failure::from(Kind::TargetFailed).with_unknown_outcome(),
                    ),
                    why,
                )
            }
            Ok(exchange) => {
                self.sends += 1;
                let attempt = &self.job.head.attempt;
                let reply = target::read_reply_head(exchange.status, &exchange.headers, attempt);
                self.classify(StartedReply {
                    exchange,
                    reply,
                    version: picked.version.clone(),
                    _in_flight_guard: Some(in_flight_guard),
                })
            }
        };
        let label = outcome.label();
        log::info!(
            request:% = self.job.head.attempt,
            target:% = picked.target,
            target_version:% = picked.version,
            send = self.sends,
            left_ms = left.0,
            took_ms = (self.context.now() - now).0,
            detail;
            "sent to a target: {label}"
        );
        outcome
    }

    /// Derives the outcome from the head of a reply, and records the target's
    /// load and health.
    pub(super) fn classify(&mut self, started: StartedReply) -> (SendOutcome, String) {
        let target = started.exchange.callee.target.clone();
        if let Some(load) = started.reply.load {
            self.record_load(&target, load);
        }
        let detail = format!("status {}", started.reply.status.as_u16());
        match started.reply.validity {
            Validity::Whole => {
                if started.reply.status.is_server_error() {
                    self.record_failure(&target);
                } else {
                    self.context.state().health().record_success(&target);
                }
                (SendOutcome::Started(Box::new(started)), detail)
            }
            Validity::NotRun => match started.reply.status {
                StatusCode::CONFLICT => {
                    // A result is gone. The others are released, since all
                    // stages are run again.
                    self.results = None;
                    (SendOutcome::NotRun(Kind::NoTarget.into()), detail)
                }
                StatusCode::BAD_REQUEST => {
                    (SendOutcome::InvalidRequest(Kind::NoTarget.into()), detail)
                }
                _ => (SendOutcome::NotRun(Kind::QueueFull.into()), detail),
            },
            validity @ (Validity::Foreign | Validity::Spoiled) => {
                self.record_failure(&target);
                let failure = Failure::from(Kind::TargetFailed).with_unknown_outcome();
                (
                    SendOutcome::MayHaveRun(failure),
                    format!("{detail}, {validity:?}"),
                )
            }
        }
    }

    /// Returns how long to wait for the head of a reply, or for the rest of one that is
    /// not a stream: all the time that is left, unless another target could still be
    /// tried. `runs` is how many targets may have run the request by then.
    pub(super) fn reply_timeout(&self, left: Millis, runs: u32) -> Millis {
        if !self.job.route.is_repeatable() || runs >= self.job.route.max_attempts {
            return left;
        }
        let limit = self.job.route.objective * REPLY_TIMEOUT_FACTOR;
        limit.min(left)
    }

    /// Marks a failure as of unknown outcome if a target may have run the
    /// request: the client may be told that it did not run only if none did.
    pub(super) fn unknown_if_run(&self, failure: Failure) -> Failure {
        if self.possible_runs > 0 {
            failure.with_unknown_outcome()
        } else {
            failure
        }
    }
}
