//! Resumes a stream that its target has broken off.
//!
//! A refusal does not end the answer: until its deadline, the stream is offered again to the
//! targets that its route allows, in growing intervals. Once it has run at as many as the route
//! allows, it may still go back to those that have written some of it.

use std::io;
use std::time::Duration;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::target::placement::End;
use tokio::time::sleep;

use crate::answer_record::Reason;
use crate::answer_record::Step;
use crate::forward::Forwarder;
use crate::forward::breakage::Breakage;
use crate::forward::retry::Retry;

/// How long after a refusal a broken stream is offered again. Clients abandon an answer that
/// sends nothing for two seconds or more, so several offers fit into what they wait.
const OFFER_INTERVAL: Millis = Millis(200);
/// The longest of these intervals, which double, since an offer may run the stages again.
const OFFER_INTERVAL_MAX: Millis = Millis(800);

impl Forwarder {
    /// Resumes a broken stream after its last complete event: at another target, or at one that
    /// has written some of it.
    ///
    /// # Errors
    /// Returns the error that ends the answer, if its route does not allow the stream to go on,
    /// or no target has taken it by its deadline.
    pub(super) async fn resume(&mut self, broken: &Breakage) -> io::Result<()> {
        self.record_break(broken).await;
        if !self.job.route.is_resumable {
            let why = "its route does not allow a second target";
            return Err(self.give_up("not-allowed", Step::Target, why));
        }
        // Before its first event, the client can be told that it failed.
        let has_begun = self.punctuality.first_at().is_some();
        let mut interval = OFFER_INTERVAL;
        let mut step = Step::Target;
        loop {
            if let Err(why) = self.check_resumable() {
                return Err(self.give_up("not-allowed", step, why));
            }
            let sends = self.sends;
            let failure = match self.offer().await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
            step = self.step;
            let now = self.context.now();
            let left = self.job.deadline - now;
            if left == Millis::ZERO || !has_begun {
                let is_sent = self.sends > sends;
                let end = if is_sent { "unanswered" } else { "not-sent" };
                return Err(self.give_up(end, step, &failure.to_string()));
            }
            let delay = failure.retry_after.unwrap_or_default().max(interval);
            let delay = delay.min(OFFER_INTERVAL_MAX).min(left);
            log::info!(
                request:% = self.job.head.attempt,
                step:%,
                sends = self.sends,
                stage_runs = self.stage_runs,
                delay_ms = delay.0,
                left_ms = left.0;
                "a broken stream is not resumed yet: {failure}"
            );
            sleep(Duration::from_millis(delay.0)).await;
            interval = (interval * 2).min(OFFER_INTERVAL_MAX);
            // Those that refused it or could not be reached may take it now.
            self.tried.clear();
            self.tried_detours.clear();
        }
    }

    /// Records that the target of the current reply has broken its stream off.
    async fn record_break(&mut self, broken: &Breakage) {
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
            is_resumable = self.job.route.is_resumable,
            possible_runs = self.possible_runs,
            left_ms = (self.job.deadline - self.context.now()).0;
            "a stream broke off: {broken}"
        );
    }

    /// Checks that the stream may go on at some target, and decides at which.
    ///
    /// # Errors
    /// Returns why it may not.
    fn check_resumable(&mut self) -> Result<(), &'static str> {
        let now = self.context.now();
        if now >= self.job.deadline {
            return Err("its deadline has passed");
        }
        let digest = self.job.digest;
        if self.context.state().suspects().is_quarantined(&digest, now) {
            return Err("the request is in quarantine");
        }
        if self.is_part_quarantined() {
            return Err("a part of its prompt is in quarantine");
        }
        self.is_limited_to_writers = self.possible_runs >= self.job.route.max_attempts;
        if self.is_limited_to_writers {
            if self.punctuality.first_at().is_none() {
                return Err("it has run at as many targets as its route allows");
            }
            self.tried.clear();
            let state = self.context.state();
            if !self.writers.iter().any(|writer| state.is_listed(writer)) {
                return Err("it has run at as many targets as its route allows, and they left");
            }
        }
        Ok(())
    }

    /// Sends the rest of the stream to a target, if the retry budget has a retry for it.
    async fn offer(&mut self) -> Result<(), Failure> {
        let now = self.context.now();
        let service = &self.job.service.name;
        if !self.context.state().has_retry(service, now) {
            self.step = Step::Pick;
            return Err(Kind::QueueFull.into());
        }
        self.retry = Retry::Pending("broken-stream");
        let sent = self.send().await;
        self.retry = Retry::None;
        let started = sent?;
        if !started.reply.status.is_success() {
            self.end_placed(End::Broken);
            return Err(Kind::TargetFailed.into());
        }
        self.context.metrics.resumption("resumed");
        self.begin_reply(*started);
        Ok(())
    }

    /// Counts that a stream does not go on, and records why. Returns the error that ends the
    /// answer.
    fn give_up(&self, end: &str, step: Step, why: &str) -> io::Error {
        self.context.metrics.resumption(end);
        let reason = if self.context.now() >= self.job.deadline {
            Reason::Deadline
        } else {
            Reason::NotAllowed
        };
        self.job.record.record_cause(reason, step, why);
        io::Error::other(why.to_owned())
    }
}
