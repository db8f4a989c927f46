//! Resumes a stream that its target has broken off.

use std::io;

use gooseberry_kernel::target::placement::End;

use crate::answer_record::Reason;
use crate::answer_record::Step;
use crate::forward::Forwarder;
use crate::forward::breakage::Breakage;

impl Forwarder {
    /// Returns whether the stream may go on at another target, and takes a retry from the
    /// budget if so.
    pub(super) fn may_resume(&mut self) -> bool {
        let may_send = self.job.route.is_resumable && self.may_run_stages();
        may_send && self.may_run_again("broken-stream")
    }

    /// Resumes a broken stream at another target after the last complete event,
    /// if the route and the retry budget allow it.
    pub(super) async fn resume(&mut self, broken: &Breakage, may_resume: bool) -> io::Result<()> {
        let current = self.current.take();
        self.end_placed(End::Broken);
        let callee = current.map(|started| started.exchange.callee.clone());
        match (&callee, broken) {
            (Some(callee), Breakage::Connection(_)) => self.record_crash(callee).await,
            (Some(callee), Breakage::Content(_)) => self.record_failure(&callee.target),
            (None, _) => {}
        }
        self.events.discard_partial();
        log::info!(
            request:% = self.job.head.attempt,
            target:? = callee.map(|callee| callee.target),
            events = self.events.count(),
            may_resume,
            left_ms = (self.job.deadline - self.context.now()).0;
            "a stream broke off: {broken}"
        );
        if !may_resume {
            return Err(self.give_up("not-allowed", "it may not be sent again"));
        }
        let sends = self.sends;
        match self.send().await {
            Ok(started) if started.reply.status.is_success() => {
                self.context.metrics.resumption("resumed");
                self.begin_reply(*started);
                Ok(())
            }
            Ok(started) => {
                let target = &started.exchange.callee.target;
                let why = format!("{target} answered with {}", started.reply.status);
                Err(self.give_up("target-failed", &why))
            }
            Err(failure) if self.sends == sends => {
                Err(self.give_up("not-sent", &failure.to_string()))
            }
            Err(failure) => Err(self.give_up("unanswered", &failure.to_string())),
        }
    }

    /// Counts that a stream does not go on, and records why. Returns the error that ends the
    /// answer.
    fn give_up(&self, end: &str, why: &str) -> io::Error {
        self.context.metrics.resumption(end);
        let (reason, step) = if self.context.now() >= self.job.deadline {
            (Reason::Deadline, Step::Target)
        } else if end == "not-allowed" {
            (Reason::NotAllowed, Step::Target)
        } else {
            (Reason::NotResumed, self.step)
        };
        self.job.record.record_cause(reason, step, why);
        io::Error::other(why.to_owned())
    }
}
