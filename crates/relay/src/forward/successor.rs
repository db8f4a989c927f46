//! Hands a paused stream over to another target.
//!
//! The paused target may be sound and go on, and the other one may refuse the stream, fail
//! or be silent, too. The first connection is therefore kept and read until the other target
//! has sent an event: whichever target sends one first goes on with the stream.

use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::event_buffer::EventBuffer;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_kernel::target::placement::End;
use tokio::time::timeout;

use crate::body_memory::ReplyPermit;
use crate::exchange::Exchange;
use crate::forward::Forwarder;
use crate::forward::StartedReply;
use crate::forward::retry::Retry;
use crate::forward::stream::STREAM_GAP_MAX;
use crate::placement::PlacedRequest;

/// A target's stream, read event by event.
struct Reading {
    /// The events that were received, and the beginning of the next one.
    events: EventBuffer,
    /// What may be passed on of it.
    received: Vec<u8>,
    /// How many events are complete in it.
    count: u64,
    memory: ReplyPermit,
}

impl Reading {
    /// Reads until an event is complete, or until the end of the stream.
    async fn next_event(&mut self, exchange: &mut Exchange) -> Result<(), String> {
        while self.count == 0 {
            let bytes = exchange.next_chunk().await;
            let Some(bytes) = bytes.map_err(|error| error.to_string())? else {
                return Ok(());
            };
            let complete = self.events.complete();
            let events = self.events.push(&bytes);
            let events = events.map_err(|fault| fault.to_string())?;
            self.received.extend_from_slice(&events);
            self.count += self.events.complete() - complete;
            let held = self.events.partial_bytes() + self.received.len() as u64;
            if !self.memory.grow(held) {
                return Err("there is no memory for an event".to_owned());
            }
        }
        Ok(())
    }
}

/// The target of a paused stream, while another one is sought.
struct PausedTarget {
    started: StartedReply,
    placed: Option<PlacedRequest>,
    last_send: Option<(Run, Millis)>,
    reading: Reading,
    /// Why its stream has broken off meanwhile, if it has.
    broken: Option<String>,
}

/// What there is first when a stream is handed over.
enum First<T> {
    /// The paused target goes on, or its stream has ended.
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
    pub(super) async fn hand_over(&mut self) -> Result<Option<Bytes>, String> {
        let Some(started) = self.current.take() else {
            return Err("there is no connection".to_owned());
        };
        let began = self.context.now();
        let unused = self.context.reply_memory.reply();
        let mut paused = PausedTarget {
            started,
            placed: self.placed.take(),
            last_send: self.last_send,
            reading: Reading {
                events: self.events.clone(),
                received: std::mem::take(&mut self.comments),
                count: 0,
                memory: std::mem::replace(&mut self.event_memory, unused),
            },
            broken: None,
        };
        let (tried, stage_runs) = (self.tried.clone(), self.stage_runs);
        let (runs, sends) = (self.possible_runs, self.sends);
        self.retry = Retry::Pending("broken-stream");
        let (end, failure) = match paused.race(self.send()).await {
            First::Paused => ("not-needed", None),
            First::Other(Ok(other)) => match self.read_first_event(&mut paused, other).await {
                Ok((other, reading)) => return self.switch_to(other, reading, paused).await,
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
            self.stage_runs = stage_runs;
        }
        self.log_search(end, failure.as_ref(), &paused, began);
        self.keep(
            paused,
            failure.and_then(|failure| failure.retry_after),
            began,
        )
    }

    /// Waits for the first event of the other target.
    ///
    /// # Errors
    /// Returns how the search has ended if it does not send one in time, or the paused target
    /// goes on before.
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
            memory: self.context.reply_memory.reply(),
        };
        let left = self.job.deadline - self.context.now();
        let limit = Duration::from_millis(STREAM_GAP_MAX.min(left).0);
        let next_event = timeout(limit, reading.next_event(&mut other.exchange));
        let outcome = match paused.race(next_event).await {
            First::Paused => return Err("not-needed"),
            First::Other(outcome) => outcome,
        };
        match outcome {
            Ok(Ok(())) if reading.count > 0 => Ok((other, reading)),
            // It is all that is left.
            Err(_) if paused.broken.is_some() => Ok((other, reading)),
            _ => {
                self.record_failure(&target);
                self.end_placed(End::Broken);
                Err("target-failed")
            }
        }
    }

    /// Closes the connection to the paused target, and goes on with the other one.
    async fn switch_to(
        &mut self,
        other: Box<StartedReply>,
        reading: Reading,
        mut paused: PausedTarget,
    ) -> Result<Option<Bytes>, String> {
        let callee = paused.started.exchange.callee.clone();
        if let Some(placed) = &mut paused.placed {
            placed.record_end(End::Broken);
        }
        let (is_broken, paused_send) = (paused.broken.is_some(), paused.last_send);
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
        if is_broken {
            let send = std::mem::replace(&mut self.last_send, paused_send);
            self.record_crash(&callee).await;
            self.last_send = send;
        } else {
            self.record_failure(&callee.target);
        }
        self.begin_reply(*other);
        self.events = reading.events;
        self.event_memory = reading.memory;
        if reading.count > 0 {
            self.results = None;
        }
        self.release(&reading.received, reading.count)
    }

    /// Goes on with the paused target, which has gone on or is waited for.
    fn keep(
        &mut self,
        paused: PausedTarget,
        retry_after: Option<Millis>,
        began: Millis,
    ) -> Result<Option<Bytes>, String> {
        let reading = paused.reading;
        self.current = Some(paused.started);
        self.placed = paused.placed;
        self.last_send = paused.last_send;
        self.events = reading.events;
        self.event_memory = reading.memory;
        if let Some(why) = paused.broken {
            return Err(why);
        }
        if reading.count > 0 {
            self.results = None;
        }
        let took = self.context.now() - began;
        self.pause.record_failed_search(took, retry_after);
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
            broken = paused.broken.as_deref().unwrap_or_default(),
            events = paused.reading.events.count(),
            sends = self.sends,
            waited_ms = (self.pause.waited() + (now - began)).0,
            left_ms = (self.job.deadline - now).0;
            "a paused stream stays at its target"
        );
    }
}
