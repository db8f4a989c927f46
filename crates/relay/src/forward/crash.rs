//! Records targets that fail or crash, and does not send requests that may crash more.

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::name;

use crate::forward::Forwarder;
use crate::peers;

impl Forwarder {
    /// Records a failed call, after which the target may be avoided for a while.
    pub(super) fn record_failure(&self, target: &name::Target) {
        let now = self.context.now();
        let until = self.context.state().health().record_failure(target, now);
        if let Some(until) = until {
            log::info!(target:% = target, for_ms = (until - now).0; "a target is avoided after failed calls");
        }
    }

    /// Records that a target broke off the connection, which the request may have
    /// caused: a request is quarantined after several such crashes.
    pub(super) fn record_crash(&self, target: &name::Target) {
        self.record_failure(target);
        let now = self.context.now();
        let mut state = self.context.state();
        state.suspects().record_crash(self.job.digest, now);
        let crashes = state.suspects().crashes(&self.job.digest, now);
        drop(state);
        self.record_part_crash();
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
    pub(super) fn record_part_crash(&self) {
        let Some((run, sent_at)) = self.last_send.filter(|_| self.first_byte_at.is_none()) else {
            return;
        };
        let now = self.context.now();
        let parts = self.job.shared_parts();
        let mut state = self.context.state();
        let quarantined = state.parts().record_crash(&parts, run, sent_at, now);
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
