//! Runs the stages of a request one after the other, with retries.
//!
//! The state of the request is only in the memory of the daemon that runs it.
//! Each attempt has its own id, so a late reply to an earlier attempt cannot be
//! taken for the reply to a later one.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::cost::Cost;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::node::AdmittedRequest;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::node::RetryDecision;
use gooseberry_kernel::node::TargetChoice;
use gooseberry_kernel::retry_policy;
use gooseberry_kernel::retry_policy::RetryState;
use gooseberry_kernel::route::AttemptResult;
use gooseberry_kernel::route::RouteQuery;
use gooseberry_kernel::settings::Policy;
use gooseberry_kernel::settings::Stage;

use crate::actor::Message;
use crate::answer::Answer;
use crate::context::Context;
use crate::target_call;
use crate::target_call::CallTask;

/// How long after its deadline a request may still run if its workspace wants
/// late answers.
const LATE_ANSWER_LIMIT: Millis = Millis(60_000);

/// An admitted request that is to be run.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request's id.
    pub request: id::Request,
    /// The workspace, the pipeline and the deadline it was admitted with.
    pub admission: AdmittedRequest,
    /// The idempotency key, if the pipeline is not idempotent.
    pub key: Option<Key>,
    /// The digest of the workspace and the body.
    pub digest: id::Digest,
    /// The body that the caller sent, the input of the first stage.
    pub body: Bytes,
}

/// The state of one running request.
struct PipelineRun<'a> {
    context: &'a Arc<Context>,
    job: &'a Job,
    run_deadline: Millis,
    costs: Vec<Cost>,
    attempts: u16,
    /// The outcome to report if the request fails. With a key, only the stages
    /// that are not idempotent count; otherwise all stages do.
    outcome: Outcome,
}

/// Returns the time after which a request is no longer run: its deadline, or
/// later if its workspace wants late answers.
#[must_use]
pub fn run_deadline(admission: &AdmittedRequest) -> Millis {
    if admission.workspace.wants_late_answers {
        admission.deadline + LATE_ANSWER_LIMIT
    } else {
        admission.deadline
    }
}

/// Runs all stages of a request and returns the answer.
pub async fn run(context: &Arc<Context>, job: &Job) -> Answer {
    let deadline = job.admission.deadline;
    let mut run = PipelineRun {
        context,
        job,
        run_deadline: run_deadline(&job.admission),
        costs: Vec::new(),
        attempts: 0,
        outcome: Outcome::NotRun,
    };
    let started = Instant::now();
    let result = run.run_stages().await;
    run.count_costs(result.is_ok());
    let is_late = context.clock.now() > deadline;
    let pipeline = job.admission.pipeline.id.as_str();
    let workspace = job.admission.workspace.id.as_str();
    let metrics = &context.metrics;
    metrics.observe_latency(workspace, pipeline, "all", started.elapsed());
    Answer {
        request: job.request,
        result,
        is_late,
        costs: run.costs,
    }
}

impl PipelineRun<'_> {
    async fn run_stages(&mut self) -> Result<Bytes, Failure> {
        let mut body = self.job.body.clone();
        for (index, stage) in self.job.admission.pipeline.stages.iter().enumerate() {
            let started = Instant::now();
            self.costs.push(Cost::new(stage.id.clone()));
            let result = self.run_stage(index, stage, &body).await;
            self.record_latency(stage, started);
            // The failure of the last attempt may say "not run" although an
            // earlier attempt ran, so the outcome of all attempts is reported.
            body = result.map_err(|failure| Failure {
                outcome: self.outcome,
                ..failure
            })?;
            self.record_possible_run(stage);
        }
        Ok(body)
    }

    async fn run_stage(
        &mut self,
        index: usize,
        stage: &Stage,
        body: &Bytes,
    ) -> Result<Bytes, Failure> {
        let mut tried: Vec<id::Target> = Vec::new();
        let mut last_failure: Option<Failure> = None;
        let mut retry_state = RetryState {
            is_idempotent: stage.is_idempotent,
            max_attempts: stage.attempts,
            counted_attempts: 0,
            total_attempts: 0,
        };
        loop {
            let tried_before = tried.len();
            let mut failure = match self.run_attempt(index, stage, body, &mut tried).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if failure.outcome != Outcome::NotRun {
                self.record_possible_run(stage);
            }
            if failure.kind == Kind::NoTarget && tried.len() == tried_before {
                failure = restart_or_fail(failure, last_failure, &mut tried)?;
            }
            retry_state.total_attempts += 1;
            retry_state.counted_attempts += u16::from(!retry_policy::may_reuse_targets(&failure));
            self.wait_before_retry(stage, &failure, retry_state).await?;
            last_failure = Some(failure);
        }
    }

    /// Waits before the next attempt, or returns the failure to give up with.
    async fn wait_before_retry(
        &self,
        stage: &Stage,
        failure: &Failure,
        retry_state: RetryState,
    ) -> Result<(), Failure> {
        let pool = stage.pool.clone();
        let failure = failure.clone();
        let run_deadline = self.run_deadline;
        let message = |reply| Message::DecideRetry(pool, failure, retry_state, run_deadline, reply);
        match self.context.node.ask(message).await? {
            RetryDecision::GiveUp { failure, denial } => {
                self.context.metrics.count_retry_denial(denial);
                Err(failure)
            }
            RetryDecision::Retry { reason, pause } => {
                self.context.metrics.count_retry(reason);
                log::debug!(
                    request:% = self.job.request,
                    workspace:% = self.job.admission.workspace.id,
                    pipeline:% = self.job.admission.pipeline.id,
                    stage:% = stage.id,
                    attempt = self.attempts,
                    reason = reason.label();
                    "retrying"
                );
                tokio::time::sleep(Duration::from_millis(pause.0)).await;
                Ok(())
            }
        }
    }

    async fn run_attempt(
        &mut self,
        index: usize,
        stage: &Stage,
        body: &Bytes,
        tried: &mut Vec<id::Target>,
    ) -> Result<Bytes, Failure> {
        let now = self.context.clock.now();
        if now >= self.run_deadline {
            return Err(Kind::TooLate.into());
        }
        let (choice, policy) = self.choose_target(stage, body, tried).await?;
        tried.push(choice.target.id.clone());
        self.check_key(stage).await?;
        self.attempts += 1;
        let stage_deadline = self.stage_deadline(index, policy, now);
        let task = CallTask {
            target: choice.target.id.clone(),
            attempt: id::Attempt {
                request: self.job.request,
                stage: u8::try_from(index).unwrap_or(u8::MAX),
                number: self.attempts,
            },
            workspace: self.job.admission.workspace.id.clone(),
            pipeline: self.job.admission.pipeline.id.clone(),
            digest: self.job.digest,
            crashes: choice.crashes,
            due: self.job.admission.deadline - now,
            timeout: stage_deadline - now,
            body: body.clone(),
        };
        let report = if choice.owner.id == self.context.local.instance {
            target_call::perform(self.context, task).await
        } else {
            target_call::forward(self.context, choice.owner.data, &task).await
        };
        self.costs[index].add_attempt(report.target_time, report.result.is_ok());
        let latency = report.result.is_ok().then_some(report.target_time);
        self.context
            .node
            .tell(Message::ReportAttempt(AttemptResult {
                target: choice.target.id,
                pool: choice.target.pool,
                load_percent: report.load_percent,
                latency,
                failure: report.result.as_ref().err().map(|failure| failure.kind),
                digest: self.job.digest,
                crashes: report.crashes,
            }));
        report.result
    }

    async fn choose_target(
        &self,
        stage: &Stage,
        body: &Bytes,
        tried: &[id::Target],
    ) -> Result<(TargetChoice, Policy), Failure> {
        let pool = stage.pool.clone();
        let read = move |node: &Node, _| {
            let pool = node.settings().pool(&pool);
            let prefix_length = pool.map_or(0, |pool| pool.prefix_bytes);
            (prefix_length, node.settings().fleet().policy)
        };
        let (prefix_length, policy) = self.context.node.read(read).await?;
        let prefix_length = usize::try_from(prefix_length).unwrap_or(usize::MAX);
        let prefix = &body[..body.len().min(prefix_length)];
        let query = RouteQuery {
            pool: stage.pool.clone(),
            prefix: Node::affinity(&self.job.admission.workspace.id, prefix),
            tried: tried.to_vec(),
            digest: self.job.digest,
        };
        let is_first = tried.is_empty();
        let message = |reply| Message::ChooseTarget(query, is_first, reply);
        let choice = self.context.node.try_ask(message).await?;
        Ok((choice, policy))
    }

    /// Checks that this daemon still owns the key, directly before a stage that is
    /// not idempotent.
    async fn check_key(&self, stage: &Stage) -> Result<(), Failure> {
        let Some(key) = self.job.key.clone().filter(|_| !stage.is_idempotent) else {
            return Ok(());
        };
        let read = move |node: &Node, now| node.holds_key(&key, now);
        if self.context.node.read(read).await? {
            Ok(())
        } else {
            Err(Kind::NoRight.into())
        }
    }

    fn stage_deadline(&self, index: usize, policy: Policy, now: Millis) -> Millis {
        if self.run_deadline > self.job.admission.deadline {
            return self.run_deadline;
        }
        Node::stage_deadline(&self.job.admission, index, policy, now)
    }

    /// Records that a target may have run a stage.
    fn record_possible_run(&mut self, stage: &Stage) {
        if !stage.is_idempotent || self.job.key.is_none() {
            self.outcome = Outcome::Unknown;
        }
    }

    fn record_latency(&self, stage: &Stage, started: Instant) {
        let pipeline = self.job.admission.pipeline.id.as_str();
        let metrics = &self.context.metrics;
        let workspace = self.job.admission.workspace.id.as_str();
        metrics.observe_latency(workspace, pipeline, stage.id.as_str(), started.elapsed());
    }

    /// Counts the cost of each stage; all target time is wasted if the request
    /// failed.
    fn count_costs(&mut self, is_answered: bool) {
        let admission = &self.job.admission;
        for cost in &mut self.costs {
            if !is_answered {
                cost.mark_wasted();
            }
            let labels = [
                admission.workspace.id.as_str(),
                admission.pipeline.id.as_str(),
                cost.stage.as_str(),
            ];
            let metrics = &self.context.metrics;
            metrics.add_stage_cost(labels, cost.target_time.0, cost.wasted_time.0);
        }
    }
}

/// Decides what to do when every target of the pool has been tried.
///
/// If the stage may start over, clears the tried targets and returns the last
/// failure, by which the next pause is decided.
///
/// # Errors
/// Returns the last failure if the stage may not start over.
fn restart_or_fail(
    failure: Failure,
    last_failure: Option<Failure>,
    tried: &mut Vec<id::Target>,
) -> Result<Failure, Failure> {
    let last_failure = last_failure.unwrap_or(failure);
    if !retry_policy::may_reuse_targets(&last_failure) {
        return Err(last_failure);
    }
    tried.clear();
    Ok(last_failure)
}
