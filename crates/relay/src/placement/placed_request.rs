//! A request whose engine was chosen by a placer, which is told how it ended.

use std::net::SocketAddr;
use std::sync::Arc;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::placer_call::Report;
use gooseberry_kernel::name;
use gooseberry_kernel::target::placement::End;
use gooseberry_kernel::target::placement::Finish;
use gooseberry_kernel::target::placement::Placed;

use crate::context::Context;
use crate::state::placement::Assignment;

/// A request whose engine was chosen by a placer. Dropping it reports its end once.
#[derive(Debug)]
pub(crate) struct PlacedRequest {
    context: Arc<Context>,
    assignment: Assignment,
    service: name::Service,
    attempt: name::Attempt,
    placed: Placed,
    /// How long the placer took to choose the engine.
    took: Millis,
    sent_at: Option<Millis>,
    first: Option<Millis>,
    last_event_at: Millis,
    events: u64,
    longest_gap: Millis,
    /// How long work takes on the machine of the target, if its reply says so.
    slowness_percent: Option<u32>,
    end: Option<End>,
}

impl PlacedRequest {
    pub(crate) fn new(
        context: &Arc<Context>,
        assignment: Assignment,
        service: &name::Service,
        attempt: &name::Attempt,
        placed: Placed,
        took: Millis,
    ) -> Self {
        Self {
            context: context.clone(),
            assignment,
            service: service.clone(),
            attempt: attempt.clone(),
            placed,
            took,
            sent_at: None,
            first: None,
            last_event_at: Millis::ZERO,
            events: 0,
            longest_gap: Millis::ZERO,
            slowness_percent: None,
            end: None,
        }
    }

    /// Returns the engine that the placer has chosen.
    pub(crate) fn target(&self) -> &name::Target {
        &self.placed.target
    }

    /// Returns whether the request goes to the engine that the placer has chosen, and logs
    /// and counts that.
    pub(crate) fn record_choice(&self, chosen: Option<&name::Target>) -> bool {
        let is_used = chosen == Some(&self.placed.target);
        let placer = self.assignment.placer;
        let placer: SocketAddr = placer.unwrap_or(self.context.boot.peer_address);
        let end = if is_used { "placed" } else { "unusable" };
        self.context.metrics.placements.end(end);
        if is_used {
            log::info!(
                request:% = self.attempt,
                target:% = self.placed.target,
                placer:% = placer,
                wait_ms = self.placed.wait.0,
                cached_tokens = self.placed.cached_tokens,
                took_ms = self.took.0;
                "placed"
            );
        } else {
            log::info!(
                request:% = self.attempt,
                target:% = self.placed.target,
                placer:% = placer,
                reason = end,
                detail:% = chosen.map_or("no target", name::Target::as_str);
                "placement fell back"
            );
        }
        is_used
    }

    /// Records that the request is sent to the engine.
    pub(crate) fn record_send(&mut self) {
        self.sent_at = Some(self.context.now());
    }

    /// Records that events of the answer have come.
    pub(crate) fn record_events(&mut self, count: u64) {
        let now = self.context.now();
        if self.first.is_none() {
            self.first = self.sent_at.map(|at| now - at);
        } else {
            self.longest_gap = self.longest_gap.max(now - self.last_event_at);
        }
        self.last_event_at = now;
        // Events without an id are not counted.
        self.events += count.max(1);
    }

    /// Records how long work takes on the machine of the target, if its reply says so.
    pub(crate) fn record_slowness(&mut self, percent: Option<u32>) {
        self.slowness_percent = percent;
    }

    /// Records how the request ended. Without a record, its client has left.
    pub(crate) fn record_end(&mut self, end: End) {
        self.end = Some(end);
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        let now = self.context.now();
        let end = match (self.sent_at, self.end) {
            (None, _) => End::NotRun,
            (Some(_), end) => end.unwrap_or(End::Abandoned),
        };
        let finish = Finish {
            attempt: self.attempt.clone(),
            target: self.placed.target.clone(),
            first: self.first,
            events: u32::try_from(self.events).unwrap_or(u32::MAX),
            took: self.sent_at.map_or(Millis::ZERO, |at| now - at),
            longest_gap: self.longest_gap,
            slowness_percent: self.slowness_percent,
            end,
        };
        let (service, group) = (self.service.clone(), self.assignment.group);
        match self.assignment.placer {
            None => self.context.placer.finish(&service, group, &finish, now),
            Some(placer) => {
                let report = Report {
                    service,
                    group,
                    finish,
                };
                self.context.asker.outbox().push(placer, report);
            }
        }
    }
}
