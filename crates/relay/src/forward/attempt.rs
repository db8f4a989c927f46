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
use gooseberry_kernel::request::continuation::Use;
use gooseberry_kernel::target::placement::End;
use gooseberry_platform::target;
use gooseberry_platform::target::CallParameters;
use gooseberry_platform::target::Validity;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use tokio::time::timeout;

use crate::answer_record::Step;
use crate::forward::Forwarder;
use crate::forward::SendOutcome;
use crate::forward::StartedReply;
use crate::resumption::run_check;
use crate::stages;
use crate::state::PickedTarget;

/// How often the stages of a request are run before its answer begins: a second time if results
/// are gone when the target reads them. A begun answer has no such limit, as it has its deadline.
const STAGE_RUNS_MAX: u32 = 2;

/// The way on which a request is sent.
pub(super) enum Path {
    /// To this target.
    Direct(PickedTarget),
    /// Through this peer, which picks the target.
    Detour(SocketAddr),
}

impl Forwarder {
    /// Runs the stages unless their results exist already.
    pub(super) async fn ensure_stages(&mut self) -> Result<(), Failure> {
        if !self.may_run_stages() {
            return Err(Kind::NoTarget.into());
        }
        let Some(plan) = self.plan.as_ref().filter(|_| self.results.is_none()) else {
            return Ok(());
        };
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
        let (shutdown, attempt) = (&context.shutdown, &job.head.attempt);
        let waiting = shutdown.wait_unsent(attempt, || self.forecast(), running_stages);
        let results = waiting.await?;
        let results = results.map_err(|_| Failure::from(Kind::QueueFull))?;
        self.results = Some(results?);
        self.preferred_domain = domain;
        Ok(())
    }

    /// Returns whether there are results for another target, or the stages may run for it.
    pub(super) fn may_run_stages(&self) -> bool {
        self.plan.is_none()
            || self.results.is_some()
            || self.stage_runs < STAGE_RUNS_MAX
            || self.punctuality.first_at().is_some()
    }

    /// Sends the request until a target's reply begins.
    pub(super) async fn send(&mut self) -> Result<Box<StartedReply>, Failure> {
        let mut last_failure: Option<Failure> = None;
        loop {
            self.step = Step::Stages;
            self.ensure_stages()
                .await
                .map_err(|failure| self.unknown_if_run(failure))?;
            self.step = Step::Pick;
            let path = match self.choose_proved_path(last_failure.as_ref()).await {
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
            if let Err(failure) = self.check_time_left() {
                self.abandon(&path);
                return Err(failure);
            }
            self.step = Step::Send;
            self.is_sending = true;
            let outcome = self.send_once(path).await;
            self.is_sending = false;
            self.record_not_run(&outcome);
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

    /// Returns whether the request goes on with a stream that began elsewhere.
    fn is_going_on(&self) -> bool {
        self.job.origin.is_some() && self.events.last_id().is_some()
    }

    /// Releases the place of a request that is not sent after all.
    pub(super) fn abandon(&self, path: &Path) {
        if let Path::Direct(picked) = path {
            let mut state = self.context.state();
            state.record_request_end(picked, self.context.now());
        }
    }

    /// Decides how the request is sent next, and waits until it may be. A stream goes on only at a
    /// target whose run is proved.
    pub(super) async fn choose_proved_path(
        &mut self,
        last_failure: Option<&Failure>,
    ) -> Result<Path, Failure> {
        let unproved = Failure::from(Kind::NoTarget);
        let mut last_failure = last_failure;
        loop {
            let path = self.choose_path(last_failure).await?;
            let Path::Direct(picked) = &path else {
                return Ok(path);
            };
            let (context, attempt) = (&self.context, &self.job.head.attempt);
            if !self.is_going_on() || run_check::keep_if_listed_run(context, attempt, picked).await
            {
                return Ok(path);
            }
            self.tried.push(picked.target.clone());
            self.end_placed(End::NotRun);
            last_failure = Some(&unproved);
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

    /// Derives the outcome from the head of a reply, and records the target's
    /// load and health.
    pub(super) fn classify(&mut self, started: StartedReply) -> (SendOutcome, String) {
        let target = started.exchange.callee.target.clone();
        if let Some(load) = started.reply.load {
            self.record_load(&target, load);
        }
        let detail = format!("status {}", started.reply.status.as_u16());
        match started.reply.validity {
            Validity::Whole if self.reply_use(&started.reply) == Use::Unusable => {
                self.record_failure(&target);
                let failure = Failure::from(Kind::TargetFailed).with_unknown_outcome();
                (
                    SendOutcome::MayHaveRun(failure),
                    format!("{detail}, but not the rest of the stream"),
                )
            }
            Validity::Whole => {
                if started.reply.status.is_server_error() {
                    self.record_failure(&target);
                } else {
                    self.context.state().health().record_success(&target);
                }
                (SendOutcome::Started(Box::new(started)), detail)
            }
            Validity::NotRun => match started.reply.status {
                // A result is gone.
                StatusCode::CONFLICT => (SendOutcome::NotRun(Kind::NoTarget.into()), detail),
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
