//! Passes a stream of events on to the client, event by event.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::stream_origin::Origin;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use tokio::time::timeout;

use crate::forward::Forwarder;
use crate::forward::StartedReply;
use crate::forward::breakage::Breakage;
use crate::http_server::ResponseBody;
use crate::resumption;

/// How long a resumable stream pauses before it is resumed at another target, if one can
/// take it.
///
/// The longest pauses of a typical healthy target, while it reads long prompts, are
/// below half of this.
const STREAM_GAP_MAX: Millis = Millis(1_500);
/// How often it is then looked up whether another target can take the stream. The interval
/// doubles with each search that fails, since a search may run the stages.
const SUCCESSOR_CHECK_INTERVAL: Millis = Millis(500);

/// The pause of a target's stream since its reply began or its last event came. Bytes that
/// complete no event do not end it, since a stalled target may send some now and then.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    /// How long the target was waited for. The time that the client takes to read does not
    /// count.
    waited: Millis,
    /// After how long a wait another target is looked for.
    next_check: Millis,
    /// How long to wait after a check that finds none.
    check_interval: Millis,
}

impl Default for Pause {
    fn default() -> Self {
        Self {
            waited: Millis::ZERO,
            next_check: STREAM_GAP_MAX,
            check_interval: SUCCESSOR_CHECK_INTERVAL,
        }
    }
}

impl Pause {
    /// Returns how long the target was waited for.
    pub(super) fn waited(&self) -> Millis {
        self.waited
    }

    /// Records a search for another target, which took this long and found none.
    pub(super) fn record_search(&mut self, took: Millis) {
        self.waited = self.waited + took;
        self.next_check = self.waited + self.check_interval;
        self.check_interval = self.check_interval * 2;
    }
}

/// Why there are no more bytes of a target's stream.
enum Stop {
    /// It broke off.
    Broken(Breakage),
    /// It has paused for so long that another target is looked for.
    Paused,
}

impl Forwarder {
    /// Takes over a reply that has begun.
    pub(super) fn begin_reply(&mut self, started: StartedReply) {
        self.pause = Pause::default();
        self.comments.clear();
        self.is_limited_to_writers = false;
        let target = &started.exchange.callee.target;
        if !self.writers.contains(target) {
            self.writers.push(target.clone());
        }
        self.current = Some(started);
    }

    /// Returns the next complete events; `None` at the end of a complete stream.
    pub(super) async fn next_events(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let broken = match self.next_bytes().await {
                Ok(Some(bytes)) => {
                    // The first byte shows that the target has read the results.
                    self.results = None;
                    let complete = self.events.complete();
                    let events = self.events.push(&bytes);
                    let count = self.events.complete() - complete;
                    match events.map(|events| self.release(&events, count)) {
                        Ok(Ok(Some(events))) => return Some(Ok(events)),
                        Ok(Ok(None)) => continue,
                        Ok(Err(broken)) => broken,
                        Err(fault) => fault.into(),
                    }
                }
                Ok(None) if self.is_cut_before_first_event() => Breakage::before_first_event(),
                Ok(None) if self.events.is_at_event_boundary() => {
                    self.finish();
                    return None;
                }
                Ok(None) => Breakage::within_event(),
                Err(Stop::Broken(broken)) => broken,
                // Silence ends a stream only if it can go on at another target.
                Err(Stop::Paused) if self.may_seek_successor() => {
                    // Boxed, since few streams pause.
                    match Box::pin(self.seek_successor()).await {
                        Ok(Some(events)) => return Some(Ok(events)),
                        Ok(None) => continue,
                        Err(broken) => broken,
                    }
                }
                Err(Stop::Paused) => {
                    self.wait_on();
                    continue;
                }
            };
            // Boxed, since few streams break off.
            if let Err(error) = Box::pin(self.resume(&broken)).await {
                return Some(Err(error));
            }
        }
    }

    /// Returns the bytes that are to be passed on now, once a number of complete events has
    /// been received with these.
    pub(super) fn release(&mut self, bytes: &[u8], count: u64) -> Result<Option<Bytes>, Breakage> {
        self.comments.extend_from_slice(bytes);
        // Comments alone do not begin the response, since their target may still fail to.
        let may_pass_on = count > 0 || self.punctuality.first_at().is_some();
        if !bytes.is_empty() && may_pass_on {
            self.record_events(count);
            return Ok(Some(self.take_events()));
        }
        if self.reserve_held() {
            Ok(None)
        } else {
            Err(Breakage::without_memory())
        }
    }

    /// Reserves memory for what waits to be passed on; returns whether there is enough.
    fn reserve_held(&mut self) -> bool {
        let held = self.events.partial_bytes() + self.comments.len() as u64;
        let current = self.current.as_mut();
        current.is_some_and(|started| started.exchange.memory.grow(held))
    }

    /// Returns what is passed on now. Its memory stays reserved until it has been sent; for
    /// the bytes that came last, there may be none.
    fn take_events(&mut self) -> Bytes {
        let events = std::mem::take(&mut self.comments);
        match &mut self.current {
            Some(started) => started.exchange.memory.attach(events),
            None => events.into(),
        }
    }

    /// Records that a number of complete events of the current target are passed on.
    fn record_events(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        if let Some(placed) = &mut self.placed {
            placed.record_events(count);
        }
        let now = self.context.now();
        self.pause = Pause::default();
        if let Some(started) = &self.current {
            let target = &started.exchange.callee.target;
            self.punctuality.record_event(now, target);
        }
    }

    /// Returns whether the current reply ended before its first event, or may have.
    fn is_cut_before_first_event(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|started| {
            let is_framed = started.exchange.is_framed();
            let content = started.reply.content;
            self.events.is_cut_before_first_event(is_framed, content)
        })
    }

    /// Returns the next bytes of the current target's stream; `None` at its end.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, Stop> {
        let now = self.context.now();
        let left = self.job.deadline - now;
        // Checked first, since a target may always have bytes ready.
        if left == Millis::ZERO {
            let why = "the deadline has passed".to_owned();
            return Err(Stop::Broken(Breakage::Connection(why)));
        }
        let limit = if self.job.route.is_resumable {
            left.min(self.pause.next_check - self.pause.waited)
        } else {
            left
        };
        let started = self.current.as_mut();
        let started = started.ok_or_else(|| Stop::Broken(Breakage::without_connection()))?;
        let exchange = &mut started.exchange;
        let chunk = timeout(Duration::from_millis(limit.0), exchange.next_chunk()).await;
        self.pause.waited = self.pause.waited + (self.context.now() - now);
        match chunk {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(error)) => Err(Stop::Broken(error.into())),
            Err(_) if limit < left => Err(Stop::Paused),
            Err(_) => {
                let why = format!("no data for {limit} ms");
                Err(Stop::Broken(Breakage::Connection(why)))
            }
        }
    }

    /// Waits on for a target that pauses, since no other one can take its stream now. A
    /// client that wants to wait no longer leaves.
    fn wait_on(&mut self) {
        if self.pause.next_check == STREAM_GAP_MAX {
            log::info!(
                request:% = self.job.head.attempt,
                target:? = self.current.as_ref().map(|started| &started.exchange.callee.target),
                events = self.events.count(),
                waited_ms = self.pause.waited.0,
                left_ms = (self.job.deadline - self.context.now()).0;
                "a stream pauses and cannot be resumed; its target is waited for"
            );
        }
        self.pause.next_check = self.pause.waited + SUCCESSOR_CHECK_INTERVAL;
    }

    /// Returns whether another target can take the stream now, as far as this is known;
    /// counts nothing.
    fn may_seek_successor(&self) -> bool {
        let now = self.context.now();
        let may_send = self.job.route.is_resumable
            && self.may_run_stages()
            && self.possible_runs < self.job.route.max_attempts;
        let service = &self.job.service.name;
        if !may_send || !self.context.state().has_retry(service, now) {
            return false;
        }
        if self.detour(now).is_some() {
            return true;
        }
        let need = self.need(&self.tried);
        let mut state = self.context.state();
        !state.is_link_down(&self.job.service.name) && state.has_free_target(need, now)
    }

    /// Remembers where the stream began, for this daemon and for those at which its
    /// client may resume it.
    pub(super) fn record_origin(&mut self) {
        let Some(started) = &self.current else {
            return;
        };
        let origin = Origin {
            service: self.job.service.name.clone(),
            version: started.version.clone(),
        };
        log::info!(
            request:% = self.job.head.attempt,
            resumes:% = self.job.head.resumed_attempt.clone().unwrap_or_default(),
            target:% = started.exchange.callee.target,
            service:% = origin.service,
            target_version:% = origin.version;
            "the first event of an answer is passed on"
        );
        if self.job.route.is_resumable {
            resumption::record(&self.context, &self.job, &origin);
        }
        self.job.begin(origin);
    }

    /// Returns the response whose body passes on the stream, from its first
    /// events on.
    pub(super) fn into_response(self, head: Response<()>, first: Bytes) -> Response<ResponseBody> {
        if let Some(first_at) = self.punctuality.first_at() {
            let first = first_at - self.job.arrived;
            self.context
                .metrics
                .latency(self.job.form(), "first", first);
        }
        let rest = stream::unfold((self, Some(first)), async |(mut forwarder, first)| {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (forwarder, None)));
            }
            let events = forwarder.next_events().await?;
            Some((events.map(Frame::data), (forwarder, None)))
        });
        head.map(|()| StreamBody::new(rest).boxed_unsync())
    }
}
