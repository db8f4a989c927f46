//! Hands a paused stream over to another target.
//!
//! The paused target may be sound and go on, and the other one may refuse the stream, fail
//! or be silent, too. The first connection is therefore kept and read until the other target
//! has accepted the stream and had a moment to send an event: whichever target sends one first
//! goes on with the stream.

use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::continuation::Content;
use gooseberry_kernel::request::event_buffer::EventBuffer;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_kernel::target::placement::End;
use tokio::time::timeout;

use crate::exchange::Exchange;
use crate::forward::Forwarder;
use crate::forward::StartedReply;
use crate::forward::breakage::Breakage;
use crate::forward::race::STREAM_OVERLAP_MAX;
use crate::forward::retry::Retry;
use crate::placement::PlacedRequest;

/// A target's stream, read event by event.
struct Reading {
    /// The events that were received, and the beginning of the next one.
    events: EventBuffer,
    /// What may be passed on of it.
    received: Vec<u8>,
    /// How many events are complete in it.
    count: u64,
    /// Whether the reply itself says where it ends.
    is_framed: bool,
    /// What the reply says its body is.
    content: Content,
}

impl Reading {
    /// Reads until an event is complete, or until the end of the stream.
    ///
    /// # Errors
    /// Returns why the stream has broken off, if it has.
    async fn next_event(&mut self, exchange: &mut Exchange) -> Result<(), Breakage> {
        while self.count == 0 {
            let bytes = exchange.next_chunk().await;
            let Some(bytes) = bytes? else {
                return self.check_end();
            };
            let complete = self.events.complete();
            let events = self.events.push(&bytes)?;
            self.received.extend_from_slice(&events);
            self.count += self.events.complete() - complete;
            let held = self.events.partial_bytes() + self.received.len() as u64;
            // A complete event is passed on at once.
            if self.count == 0 && !exchange.memory.grow(held) {
                return Err(Breakage::without_memory());
            }
        }
        Ok(())
    }

    /// Checks that the stream is complete if it ends now.
    fn check_end(&self) -> Result<(), Breakage> {
        if !self.events.is_at_event_boundary() {
            Err(Breakage::within_event())
        } else if self
            .events
            .is_cut_before_first_event(self.is_framed, self.content)
        {
            Err(Breakage::before_first_event())
        } else {
            Ok(())
        }
    }
}

/// The target of a paused stream, while another one is sought.
struct PausedTarget {
    started: StartedReply,
    placed: Option<PlacedRequest>,
    last_send: Option<(Run, Millis)>,
    reading: Reading,
    /// Why its stream has broken off meanwhile, if it has.
    broken: Option<Breakage>,
}

/// What there is first when a stream is handed over.
enum First<T> {
    /// The paused target goes on, or its stream is complete.
    Paused,
    /// The other target has come this far.
    Other(T),
}

impl PausedTarget {
    /// Waits until the paused target goes on, or for the other one.
    async fn race<T>(&mut self, other: impl Future<Output = T>) -> First<T> {
        tokio::pin!(other);
        if self.broken.is_none() {
            let going_on = self.reading.next_event(&mut self.started.exchange);
            tokio::select! {
                biased;
                going_on = going_on => match going_on {
                    Ok(()) => return First::Paused,
                    Err(why) => self.broken = Some(why),
                },
                output = &mut other => return First::Other(output),
            }
        }
        First::Other(other.await)
    }
}

impl Forwarder {
    /// Seeks another target for a paused stream. Returns the events of the target that goes on
    /// first, if there are any, and makes it the current one.
    ///
    /// # Errors
    /// Returns why the stream has broken off, if its target broke it off meanwhile and no
    /// other one goes on with it.
    pub(super) async fn seek_successor(&mut self) -> Result<Option<Bytes>, Breakage> {
        let Some(started) = self.current.take() else {
            return Err(Breakage::without_connection());
        };
        let began = self.context.now();
        let (is_framed, content) = (started.exchange.is_framed(), started.reply.content);
        let mut paused = PausedTarget {
            started,
            placed: self.placed.take(),
            last_send: self.last_send,
            reading: Reading {
                events: self.events.clone(),
                received: std::mem::take(&mut self.comments),
                count: 0,
                is_framed,
                content,
            },
            broken: None,
        };
        let (tried, tried_detours) = (self.tried.clone(), self.tried_detours.clone());
        let stage_runs = self.stage_runs;
        let (runs, sends) = (self.possible_runs, self.sends);
        self.retry = Retry::Pending("broken-stream");
        let (end, failure) = match paused.race(self.send()).await {
            First::Paused => ("not-needed", None),
            First::Other(Ok(other)) => match self.read_first_event(&mut paused, other).await {
                Ok((other, reading)) => return self.switch_to(other, reading, paused),
                Err(end) => (end, None),
            },
            First::Other(Err(failure)) if self.sends == sends => ("not-sent", Some(failure)),
            First::Other(Err(failure)) => ("unanswered", Some(failure)),
        };
        self.retry = Retry::None;
        if std::mem::take(&mut self.is_sending) {
            // The other target may have begun to run it.
            self.sends += 1;
            self.possible_runs += 1;
        }
        if self.possible_runs == runs {
            self.tried = tried;
            self.tried_detours = tried_detours;
            self.stage_runs = stage_runs;
        }
        self.log_search(end, failure.as_ref(), &paused, began);
        self.stay_at(paused, began)
    }

    /// Waits for the first event of the other target, or the end of a stream that has none
    /// left; not for long, since both targets work on the stream meanwhile.
    ///
    /// # Errors
    /// Returns how the search has ended if the other target breaks off, or the paused one goes
    /// on before.
    async fn read_first_event(
        &mut self,
        paused: &mut PausedTarget,
        mut other: Box<StartedReply>,
    ) -> Result<(Box<StartedReply>, Reading), &'static str> {
        let target = other.exchange.callee.target.clone();
        if !other.reply.status.is_success() {
            self.end_placed(End::Broken);
            return Err("target-failed");
        }
        let mut events = self.events.clone();
        events.discard_partial();
        let mut reading = Reading {
            events,
            received: Vec::new(),
            count: 0,
            is_framed: other.exchange.is_framed(),
            content: other.reply.content,
        };
        let limit = Duration::from_millis(STREAM_OVERLAP_MAX.0);
        let next_event = timeout(limit, reading.next_event(&mut other.exchange));
        match paused.race(next_event).await {
            First::Paused => return Err("not-needed"),
            // It has sent an event, has none left, or has accepted the stream and is waited for.
            First::Other(Ok(Ok(())) | Err(_)) => return Ok((other, reading)),
            First::Other(Ok(Err(_))) => {}
        }
        self.record_failure(&target);
        self.end_placed(End::Broken);
        Err("target-failed")
    }

    /// Closes the connection to the paused target, and goes on with the other one.
    fn switch_to(
        &mut self,
        other: Box<StartedReply>,
        reading: Reading,
        mut paused: PausedTarget,
    ) -> Result<Option<Bytes>, Breakage> {
        let callee = paused.started.exchange.callee.clone();
        if let Some(placed) = &mut paused.placed {
            placed.record_end(End::Broken);
        }
        drop(paused);
        self.context.metrics.resumption("resumed");
        log::info!(
            request:% = self.job.head.attempt,
            target:% = callee.target,
            successor:% = other.exchange.callee.target,
            events = self.events.count(),
            waited_ms = self.pause.waited().0,
            left_ms = (self.job.deadline - self.context.now()).0;
            "a paused stream goes on at another target"
        );
        self.record_failure(&callee.target);
        self.begin_reply(*other);
        self.events = reading.events;
        if reading.count > 0 {
            self.results = None;
        }
        self.release(&reading.received, reading.count)
    }

    /// Goes on with the paused target, which has gone on or is waited for.
    fn stay_at(&mut self, paused: PausedTarget, began: Millis) -> Result<Option<Bytes>, Breakage> {
        let reading = paused.reading;
        self.current = Some(paused.started);
        self.placed = paused.placed;
        self.last_send = paused.last_send;
        self.events = reading.events;
        if let Some(why) = paused.broken {
            return Err(why);
        }
        if reading.count > 0 {
            self.results = None;
        }
        let took = self.context.now() - began;
        self.pause.record_search(took);
        self.release(&reading.received, reading.count)
    }

    /// Logs and counts a search for another target that has found none.
    fn log_search(
        &self,
        end: &str,
        failure: Option<&Failure>,
        paused: &PausedTarget,
        began: Millis,
    ) {
        self.context.metrics.resumption(end);
        let now = self.context.now();
        log::info!(
            request:% = self.job.head.attempt,
            target:% = paused.started.exchange.callee.target,
            end,
            failure = failure.map(ToString::to_string).unwrap_or_default(),
            broken = paused.broken.as_ref().map(ToString::to_string).unwrap_or_default(),
            events = paused.reading.events.count(),
            sends = self.sends,
            waited_ms = (self.pause.waited() + (now - began)).0,
            left_ms = (self.job.deadline - now).0;
            "no other target goes on with a paused stream"
        );
    }
}
