//! Records targets that fail or crash, and does not send requests that may crash more.

use std::sync::Arc;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;

use crate::context::Context;
use crate::exchange::Callee;
use crate::forward::Forwarder;
use crate::link;
use crate::peers;

impl Forwarder {
    /// Records a failed call, after which the target may be avoided for a while.
    pub(super) fn record_failure(&self, target: &name::Target) {
        record_failure(&self.context, target);
    }

    /// Records that a call to a target broke off, which the request may have caused: a
    /// request is quarantined after several such crashes.
    pub(super) async fn record_crash(&self, callee: &Callee) {
        self.record_failure(&callee.target);
        let broke_at = self.context.now();
        let (context, service) = (&self.context, &self.job.service.name);
        let is_fault = is_fault_of_target(context, service, callee, broke_at).await;
        self.record_judged_crash(&callee.target, is_fault, broke_at);
    }

    /// Records that a call to a target broke off, and whether that was the target's fault.
    pub(super) fn record_judged_crash(
        &self,
        target: &name::Target,
        is_fault: bool,
        broke_at: Millis,
    ) {
        if is_fault {
            self.record_suspect(target, broke_at);
        } else {
            log::info!(request:% = self.job.head.attempt, target:% = target; "a call broke off, and its target is not known to be the cause; the request is no suspect");
        }
    }

    /// Records that a target broke a call off at `broke_at`.
    pub(super) fn record_suspect(&self, target: &name::Target, broke_at: Millis) {
        let mut state = self.context.state();
        state.suspects().record_crash(self.job.digest, broke_at);
        let crashes = state.suspects().crashes(&self.job.digest, broke_at);
        drop(state);
        self.record_part_crash(broke_at);
        log::info!(
            request:% = self.job.head.attempt,
            target:% = target,
            digest:% = self.job.digest,
            parts:% = self.job.head.prompt_parts.join(","),
            events = self.events.count(),
            crashes;
            "a target broke the connection off; the request is a suspect"
        );
    }

    /// Records that a target broke off the connection before the answer began, which a
    /// part of the prompt may have caused.
    pub(super) fn record_part_crash(&self, broke_at: Millis) {
        let Some((run, sent_at)) = self
            .last_send
            .filter(|_| self.punctuality.first_at().is_none())
        else {
            return;
        };
        let parts = self.job.shared_parts();
        let mut state = self.context.state();
        let quarantined = state.parts().record_crash(&parts, run, sent_at, broke_at);
        drop(state);
        for part in &quarantined {
            log::warn!(request:% = self.job.head.attempt, part:% = part; "a part of prompts is in quarantine: targets crash on it");
        }
        if !quarantined.is_empty() {
            // The other daemons must not send requests with it either.
            let context = self.context.clone();
            tokio::spawn(async move { peers::greet_all(&context).await });
        }
    }

    /// Returns the failure of a request that is not sent any more.
    pub(super) fn quarantine_failure(&self) -> Failure {
        if self.possible_runs > 0 {
            return Failure::from(Kind::TargetFailed).with_unknown_outcome();
        }
        Kind::Quarantined.into()
    }

    /// Returns whether a part of the prompt has come into quarantine while the request
    /// waited, or while it was tried.
    pub(super) fn is_part_quarantined(&self) -> bool {
        if self.job.is_trial && self.sends == 0 {
            return false;
        }
        let parts = self.job.shared_parts();
        let part = self.context.state().parts().quarantined_part(&parts);
        if let Some(part) = part {
            log::info!(request:% = self.job.head.attempt, part:% = part; "not sent: a part of the prompt is in quarantine");
        }
        part.is_some()
    }
}

/// Records a failed call, after which the target may be avoided for a while.
pub(super) fn record_failure(context: &Context, target: &name::Target) {
    let now = context.now();
    let until = context.state().health().record_failure(target, now);
    if let Some(until) = until {
        log::info!(target:% = target, for_ms = (until - now).0; "a target is avoided after failed calls");
    }
}

/// Returns whether a call that broke off was the fault of its target. A peer that made
/// the call judges that itself, as long as the reply has not begun.
pub(super) async fn is_fault_of_target(
    context: &Arc<Context>,
    service: &name::Service,
    callee: &Callee,
    broke_at: Millis,
) -> bool {
    !callee.is_detour && link::is_fault_of_target(context, service, &callee.target, broke_at).await
}
