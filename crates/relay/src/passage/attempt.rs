//! Sending a request to targets, until an answer begins.

use std::time::Duration;

use compact_str::CompactString;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_platform::target;
use gooseberry_platform::target::Standing;
use gooseberry_platform::target::Terms;
use http::StatusCode;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::exchange::Callee;
use crate::exchange::Error;
use crate::exchange::Exchange;
use crate::exchange::FRESH;
use crate::passage::Flight;
use crate::passage::Passage;
use crate::passage::Sent;
use crate::passage::Try;
use crate::passage::overdue;
use crate::pool::KEPT_MAX;
use crate::stages;
use crate::state::Pick;
use crate::state::Picked;

/// How long to wait for a place at a target that is cold or full.
const PLACE_PAUSE: Duration = Duration::from_millis(25);
/// For how many objectives a repeatable request waits for its first byte.
const FIRST_BYTE_OBJECTIVES: u64 = 2;
/// How often the stages of a request are made: a second time if results are
/// gone at the run, or if its stream has to go on at another target.
const MAKINGS_MAX: u32 = 2;

impl Passage {
    /// Has the stages made whose results the run reads, if they are not there.
    pub(super) async fn prepare(&mut self) -> Result<(), Failure> {
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
    pub(super) async fn send(&mut self) -> Result<Sent, Failure> {
        let mut last: Option<Failure> = None;
        loop {
            self.prepare().await.map_err(|failure| self.fate(failure))?;
            let picked = match self.pick(last.as_ref()).await {
                Ok(picked) => picked,
                Err(failure) => return Err(last.unwrap_or(self.fate(failure))),
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
    pub(super) async fn pick(&mut self, last: Option<&Failure>) -> Result<Picked, Failure> {
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

    pub(super) async fn attempt(&mut self, picked: Picked) -> Try {
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
                    Try::MayHaveRun(Failure::from(Kind::TargetFailed).with_unknown_outcome()),
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
    pub(super) fn judge(&mut self, sent: Sent) -> (Try, String) {
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
                let failure = Failure::from(Kind::TargetFailed).with_unknown_outcome();
                (Try::MayHaveRun(failure), format!("{detail}, {standing:?}"))
            }
        }
    }

    pub(super) fn first_byte_limit(&self, left: Millis) -> Millis {
        if !self.job.route.is_repeatable() || self.runs + 1 >= self.job.route.attempts {
            return left;
        }
        let limit = Millis(self.job.route.objective.0 * FIRST_BYTE_OBJECTIVES);
        limit.min(left)
    }

    pub(super) fn note_failure(&self, target: &name::Target) {
        let now = self.context.now();
        let until = self.context.state().health().note_failure(target, now);
        if let Some(until) = until {
            log::info!(target:% = target, for_ms = (until - now).0; "a target is avoided");
        }
    }

    pub(super) fn note_crash(&self, target: &name::Target) {
        self.note_failure(target);
        let now = self.context.now();
        let mut state = self.context.state();
        state.suspects().record_crash(self.job.digest, now);
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

    /// Asks whether one more target may run the request.
    pub(super) fn may_repeat(&mut self, reason: &str) -> bool {
        self.runs < self.job.route.attempts && self.may_send_again(reason)
    }

    /// Asks the budget whether the request may be sent once more.
    pub(super) fn may_send_again(&mut self, reason: &str) -> bool {
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
    pub(super) fn fate(&self, failure: Failure) -> Failure {
        if self.runs > 0 {
            failure.with_unknown_outcome()
        } else {
            failure
        }
    }
}
