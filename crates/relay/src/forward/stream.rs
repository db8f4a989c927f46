//! Passes a stream of events on to the client, event by event, and resumes a
//! broken stream at another target.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::event_buffer::EventTooLong;
use gooseberry_kernel::request::stream_origin::Origin;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use tokio::time::timeout;

use crate::forward::Forwarder;
use crate::http_server::ResponseBody;
use crate::resumption;

/// How long a resumable stream may pause before it is resumed at another target.
///
/// The longest pauses of a healthy target, while it reads long prompts, are
/// below half of this.
const STREAM_GAP_MAX: Millis = Millis(1_500);

impl Forwarder {
    /// Returns the next complete events; `None` at the end of a complete stream.
    pub(super) async fn next_events(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let broken = match self.next_bytes().await {
                Ok(Some(bytes)) => {
                    // The first byte shows that the target has read the results.
                    self.results = None;
                    match self.events.push(&bytes) {
                        Ok(events) if !events.is_empty() => {
                            self.event_memory = self.context.reply_memory.reply();
                            return Some(Ok(events.into()));
                        }
                        Ok(_) if self.event_memory.grow(self.events.partial_bytes()) => continue,
                        Ok(_) => "there is no memory for an event".to_owned(),
                        Err(EventTooLong) => "an event is too long".to_owned(),
                    }
                }
                Ok(None) if self.is_cut_before_first_event() => {
                    "the connection ended before the first event".to_owned()
                }
                Ok(None) if self.events.is_at_event_boundary() => {
                    self.finish();
                    return None;
                }
                Ok(None) => "the stream ended within an event".to_owned(),
                Err(why) => why,
            };
            if let Err(error) = self.resume(&broken).await {
                return Some(Err(error));
            }
        }
    }

    /// Returns whether a stream whose end shows only by that of its connection ended
    /// before its first event. A target that crashes leaves the same bytes.
    fn is_cut_before_first_event(&self) -> bool {
        let current = self.current.as_ref();
        let is_unframed = current.is_some_and(|started| !started.exchange.is_framed());
        // A stream that is taken up after its last event has none left.
        let may_be_empty = self.first_byte_at.is_some() || self.job.head.resumed_after.is_some();
        is_unframed && !may_be_empty
    }

    /// Returns the next bytes of the current target's stream; `None` at its end.
    pub(super) async fn next_bytes(&mut self) -> Result<Option<Bytes>, String> {
        let left = self.job.deadline - self.context.now();
        let limit = if self.job.route.is_resumable {
            left.min(STREAM_GAP_MAX)
        } else {
            left
        };
        let started = self.current.as_mut().ok_or("there is no connection")?;
        let exchange = &mut started.exchange;
        match timeout(Duration::from_millis(limit.0), exchange.next_chunk()).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err(format!("no data for {limit} ms")),
        }
    }

    /// Resumes a broken stream at another target after the last complete event,
    /// if the route and the retry budget allow it.
    pub(super) async fn resume(&mut self, why: &str) -> io::Result<()> {
        let broken = self.current.take();
        let callee = broken.map(|started| started.exchange.callee.clone());
        if let Some(callee) = &callee {
            self.record_crash(callee).await;
        }
        self.events.discard_partial();
        let may_resume = self.job.route.is_resumable && self.may_run_again("broken-stream");
        log::info!(
            request:% = self.job.head.attempt,
            target:? = callee.map(|callee| callee.target),
            events = self.events.count(),
            may_resume,
            left_ms = (self.job.deadline - self.context.now()).0;
            "a stream broke off: {why}"
        );
        if !may_resume {
            return Err(io::Error::other("the stream broke off"));
        }
        let started = self.send().await;
        let started = started.map_err(|failure| io::Error::other(failure.to_string()))?;
        if !started.reply.status.is_success() {
            return Err(io::Error::other("the stream could not be resumed"));
        }
        self.current = Some(started);
        Ok(())
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
        if self.job.route.is_resumable {
            resumption::record(&self.context, &self.job, &origin);
        }
        self.origin = Some(origin);
    }

    /// Returns the response whose body passes on the stream, from its first
    /// events on.
    pub(super) fn into_response(
        mut self,
        head: Response<()>,
        first: Bytes,
    ) -> Response<ResponseBody> {
        let now = self.context.now();
        self.first_byte_at = Some(now);
        let metrics = &self.context.metrics;
        metrics.latency(self.job.form(), "first", now - self.job.arrived);
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
