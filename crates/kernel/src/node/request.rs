//! Admission, routing and retries of client requests at the daemon that serves them.

use super::Node;
use crate::answer::Failure;
use crate::answer::Kind;
use crate::clock::Millis;
use crate::derive::value;
use crate::hash;
use crate::id;
use crate::lease::Resource;
use crate::published_list::ListedTarget;
use crate::published_list::Member;
use crate::quarantine;
use crate::retry_policy;
use crate::retry_policy::Denial;
use crate::retry_policy::Reason;
use crate::route::AttemptResult;
use crate::route::RouteContext;
use crate::route::RouteQuery;
use crate::settings::Pipeline;
use crate::settings::Policy;
use crate::settings::Stage;
use crate::settings::Workspace;

value! {
    /// A client request before admission.
    pub struct IncomingRequest {
        /// The workspace that it names.
        pub workspace: id::Workspace,
        /// The pipeline that it names.
        pub pipeline: id::Pipeline,
        /// The digest of the credential in the request.
        pub credential: id::Digest,
        /// The timeout that the client asks for, if any.
        pub timeout: Option<Millis>,
        /// The digest of the workspace and the body, by which a request that
        /// crashes targets is recognised when it is sent again.
        pub digest: id::Digest,
    }

    /// A request that was admitted.
    pub struct AdmittedRequest {
        /// The workspace.
        pub workspace: Workspace,
        /// The pipeline.
        pub pipeline: Pipeline,
        /// When the answer is due.
        pub deadline: Millis,
    }

    /// The target chosen for an attempt.
    pub struct TargetChoice {
        /// The target.
        pub target: ListedTarget,
        /// The daemon that owns it.
        pub owner: Member,
        /// How many targets crashed while they ran this stage of the request.
        pub crashes: u16,
    }

    /// What to do after a failed attempt.
    pub enum RetryDecision {
        /// Retry after the pause.
        Retry {
            /// Why the attempt is retried.
            reason: retry_policy::Reason,
            /// How long to wait before the next attempt.
            pause: Millis,
        },
        /// Fail the request.
        GiveUp {
            /// The failure that is returned to the client.
            failure: Failure,
            /// Why it is not retried.
            denial: retry_policy::Denial,
        },
    }
}

impl Node {
    /// Authenticates a client, without admitting its request.
    ///
    /// # Errors
    /// Returns [`Kind::BadCredential`] both for a wrong credential and for a
    /// workspace that does not exist, so that a client without a credential
    /// cannot find out which workspaces exist.
    pub fn authenticate(
        &self,
        workspace: &id::Workspace,
        credential: &id::Digest,
    ) -> Result<&Workspace, Kind> {
        let found = self.settings.workspace(workspace);
        // The comparison also runs for an unknown workspace, so that the response
        // time does not reveal which workspaces exist.
        let expected = found.map_or(id::Digest([0; 32]), |workspace| workspace.credential);
        let is_match = expected.matches(credential);
        found.filter(|_| is_match).ok_or(Kind::BadCredential)
    }

    /// Decides whether to admit a request.
    ///
    /// Each admitted request must be ended with [`Self::release`].
    ///
    /// # Errors
    /// Returns why the request is refused; nothing was run.
    pub fn admit(
        &mut self,
        request: &IncomingRequest,
        now: Millis,
    ) -> Result<AdmittedRequest, Failure> {
        self.ready()?;
        let found = self.authenticate(&request.workspace, &request.credential)?;
        let workspace = found.clone();
        let pipeline = self.settings.pipeline(&workspace, &request.pipeline);
        let pipeline = pipeline.ok_or(Kind::NoPipeline)?.clone();
        self.check_quarantine(&pipeline, request.digest, now)?;
        self.check_throttle(&workspace, &pipeline, now)?;
        self.acquire_slot(&workspace)?;
        let timeout = request.timeout.unwrap_or(pipeline.deadline);
        let deadline = now + timeout.min(pipeline.deadline);
        Ok(AdmittedRequest {
            workspace,
            pipeline,
            deadline,
        })
    }

    /// Refuses a request that has crashed too many targets of one stage's pool.
    pub(super) fn check_quarantine(
        &self,
        pipeline: &Pipeline,
        digest: id::Digest,
        now: Millis,
    ) -> Result<(), Kind> {
        if self.settings.fleet().policy == Policy::Baseline || self.suspects.is_empty() {
            return Ok(());
        }
        let is_quarantined = |stage: &Stage| {
            let suspect = quarantine::suspect_digest(digest, &stage.pool);
            self.suspects.is_quarantined(&suspect, now)
        };
        if pipeline.stages.iter().any(is_quarantined) {
            return Err(Kind::Quarantined);
        }
        Ok(())
    }

    /// Refuses a share of the requests while a pool refuses most stage calls.
    ///
    /// Workspaces that want late answers are exempt: they prefer to wait.
    fn check_throttle(
        &mut self,
        workspace: &Workspace,
        pipeline: &Pipeline,
        now: Millis,
    ) -> Result<(), Kind> {
        if self.settings.fleet().policy == Policy::Baseline || workspace.wants_late_answers {
            return Ok(());
        }
        for stage in &pipeline.stages {
            let random = self.next_random();
            if self.throttle.should_refuse(&stage.pool, random, now) {
                return Err(Kind::QueueFull);
            }
        }
        Ok(())
    }

    fn acquire_slot(&mut self, workspace: &Workspace) -> Result<(), Kind> {
        let fleet = self.settings.fleet();
        let limit = usize::from(fleet.max_requests);
        match fleet.policy {
            Policy::Baseline => self.limiter.acquire_unshared(&workspace.id, limit),
            Policy::Adaptive => self.limiter.acquire(&workspace.id, workspace.weight, limit),
        }
    }

    /// Ends an admitted request and frees its slot.
    pub fn release(&mut self, workspace: &id::Workspace) {
        self.limiter.release(workspace);
    }

    /// Returns the deadline of a stage, by its share of the remaining time.
    ///
    /// Under the baseline policy each stage may use all of the remaining time.
    #[must_use]
    pub fn stage_deadline(
        admission: &AdmittedRequest,
        stage: usize,
        policy: Policy,
        now: Millis,
    ) -> Millis {
        if policy == Policy::Baseline {
            return admission.deadline;
        }
        let weights = |stages: &[Stage]| stages.iter().map(|stage| u64::from(stage.weight)).sum();
        let remaining_weight: u64 = weights(&admission.pipeline.stages[stage..]);
        let own_weight: u64 = weights(&admission.pipeline.stages[stage..=stage]);
        let remaining = admission.deadline - now;
        // A stage may also use half of the time that is left for later stages.
        let share = remaining.0 * own_weight / remaining_weight.max(1);
        let allowed = remaining.0.midpoint(share);
        now + Millis(allowed)
    }

    /// Chooses the target of the next attempt.
    ///
    /// # Errors
    /// Returns [`Kind::NoTarget`] if no target takes new work,
    /// [`Kind::NoOwner`] if the list names no owner, and
    /// [`Kind::Quarantined`] if the stage has crashed too many targets.
    pub fn choose_target(
        &mut self,
        query: &RouteQuery,
        now: Millis,
    ) -> Result<TargetChoice, Failure> {
        let random = self.next_random();
        let crashes = self.crashes(query.digest, &query.pool, now);
        let is_adaptive = self.settings.fleet().policy == Policy::Adaptive;
        if is_adaptive && crashes >= quarantine::QUARANTINE_CRASHES {
            return Err(Kind::Quarantined.into());
        }
        let list = self.leases.list().ok_or(Kind::NotReady)?;
        self.index.update(list);
        let fleet = self.settings.fleet();
        let route_context = RouteContext {
            list,
            index: &self.index,
            fleet,
            pool: self.settings.pool(&query.pool).ok_or(Kind::NoTarget)?,
            loads: &self.loads,
            domain: &self.me.domain,
        };
        let target = match fleet.policy {
            Policy::Adaptive => route_context.choose(query, random, now),
            Policy::Baseline => route_context.choose_random(query, random),
        };
        let target = target.ok_or(Kind::NoTarget)?;
        let owner = list.owner_of_target(target).ok_or(Kind::NoOwner)?;
        let choice = TargetChoice {
            target: target.clone(),
            owner: owner.clone(),
            crashes,
        };
        self.loads.record_send(&choice.target.id, now);
        Ok(choice)
    }

    /// Returns the hash by which a stage's target is chosen.
    #[must_use]
    pub fn affinity(workspace: &id::Workspace, prefix: &[u8]) -> u64 {
        hash::mix(hash::text(workspace.as_str()), hash::bytes(prefix))
    }

    /// Records the first attempt of a stage, which adds to the retry budget.
    pub fn record_first_attempt(&mut self) {
        self.retry_budget.deposit();
    }

    /// Records what the outcome of an attempt shows about its target.
    pub fn record_reply(&mut self, reply: &AttemptResult, now: Millis) {
        self.loads.record(reply, now);
        let suspect = quarantine::suspect_digest(reply.digest, &reply.pool);
        match reply.failure {
            None => {
                self.suspects.record_answer(suspect);
                self.throttle.record(&reply.pool, true, now);
            }
            Some(_) => self.suspects.merge_crashes(suspect, reply.crashes, now),
        }
    }

    /// Decides whether to retry a failed attempt at a stage that uses the pool.
    pub fn decide_retry(
        &mut self,
        pool: &id::Pool,
        failure: &Failure,
        retry_state: retry_policy::RetryState,
        deadline: Millis,
        now: Millis,
    ) -> RetryDecision {
        let decision = self.retry_decision(failure, retry_state, deadline, now);
        let is_overload = matches!(failure.kind, Kind::QueueFull | Kind::TooLate);
        if is_overload && matches!(decision, RetryDecision::GiveUp { .. }) {
            self.throttle.record(pool, false, now);
        }
        decision
    }

    fn retry_decision(
        &mut self,
        failure: &Failure,
        retry_state: retry_policy::RetryState,
        deadline: Millis,
        now: Millis,
    ) -> RetryDecision {
        let retry = match self.settings.fleet().policy {
            Policy::Baseline => baseline_retry(failure, retry_state),
            Policy::Adaptive => self.adaptive_retry(failure, retry_state),
        };
        match retry {
            Ok((_, pause)) if now + pause >= deadline => RetryDecision::GiveUp {
                failure: failure.clone(),
                denial: Denial::Time,
            },
            Ok((reason, pause)) => RetryDecision::Retry { reason, pause },
            Err(denial) => RetryDecision::GiveUp {
                failure: failure.clone(),
                denial,
            },
        }
    }

    fn adaptive_retry(
        &mut self,
        failure: &Failure,
        retry_state: retry_policy::RetryState,
    ) -> Result<(Reason, Millis), Denial> {
        let reason = retry_policy::decide(failure, retry_state)?;
        if !self.retry_budget.withdraw(reason, failure.outcome) {
            return Err(Denial::Budget);
        }
        Ok((
            reason,
            retry_policy::backoff(retry_state.total_attempts, self.next_random()),
        ))
    }

    /// Returns the daemon that owns a key, by its hash.
    ///
    /// # Errors
    /// Returns [`Kind::NoOwner`] if the list names none.
    pub fn key_owner(&self, hash: u64) -> Result<Member, Failure> {
        let list = self.leases.list().ok_or(Kind::NotReady)?;
        let id = crate::lease::owner(list, &Resource::Key(hash)).ok_or(Kind::NoOwner)?;
        let member = list.member(id).ok_or(Kind::NoOwner)?;
        Ok(member.clone())
    }
}

/// Decides about a retry under the baseline policy: at most two retries, without
/// a pause, and only where a second run does no harm.
fn baseline_retry(
    failure: &Failure,
    retry_state: retry_policy::RetryState,
) -> Result<(Reason, Millis), Denial> {
    let max_attempts = 1 + retry_policy::BASELINE_RETRIES;
    let reason = retry_policy::decide(
        failure,
        retry_policy::RetryState {
            max_attempts,
            ..retry_state
        },
    )?;
    if retry_state.total_attempts >= max_attempts {
        return Err(Denial::Attempts);
    }
    Ok((reason, Millis::ZERO))
}
