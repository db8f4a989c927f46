//! Passing a stream of events on, and going on with a broken one.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use gooseberry_kernel::clock::Millis;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use tokio::time::timeout;

use crate::front::Answer;
use crate::passage::Passage;

/// How long a resumable stream may pause before it goes on elsewhere.
///
/// A target's slowest pauses while it reads long prompts are below half of it.
const GAP_MAX: Millis = Millis(1_500);

impl Passage {
    /// Returns the next whole events; `None` at the end of a complete stream.
    pub(super) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.next_bytes().await {
                Ok(Some(bytes)) => {
                    // The first byte shows that the run has read its inputs.
                    self.results = None;
                    let Ok(whole) = self.events.push(&bytes) else {
                        return Some(Err(io::Error::other("an event is too long")));
                    };
                    if !whole.is_empty() {
                        return Some(Ok(whole.into()));
                    }
                }
                Ok(None) if self.events.is_at_event_boundary() => {
                    self.finish();
                    return None;
                }
                broken => {
                    let why = match broken {
                        Err(why) => why,
                        Ok(_) => "it ended within an event".to_owned(),
                    };
                    if let Err(error) = self.resume(&why).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    pub(super) async fn next_bytes(&mut self) -> Result<Option<Bytes>, String> {
        let left = self.job.deadline - self.context.now();
        let limit = if self.job.route.is_resumable {
            left.min(GAP_MAX)
        } else {
            left
        };
        let sent = self.current.as_mut().ok_or("there is no connection")?;
        let exchange = &mut sent.exchange;
        match timeout(Duration::from_millis(limit.0), exchange.next()).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err(format!("nothing came for {limit} ms")),
        }
    }

    /// Goes on with a broken stream at another target, if the route allows it.
    pub(super) async fn resume(&mut self, why: &str) -> io::Result<()> {
        let broken = self.current.take();
        let target = broken.map(|sent| sent.exchange.callee.target.clone());
        if let Some(target) = &target {
            self.note_crash(target);
        }
        self.events.discard_partial();
        let may_resume = self.job.route.is_resumable && self.may_repeat("broken-stream");
        log::info!(
            request:% = self.job.head.attempt,
            target:? = target,
            events = self.events.count(),
            may_resume,
            left_ms = (self.job.deadline - self.context.now()).0;
            "a stream broke off: {why}"
        );
        if !may_resume {
            return Err(io::Error::other("the stream broke off"));
        }
        let sent = self.send().await;
        let sent = sent.map_err(|failure| io::Error::other(failure.to_string()))?;
        if !sent.reply.status.is_success() {
            return Err(io::Error::other("the stream could not be resumed"));
        }
        self.current = Some(sent);
        Ok(())
    }

    pub(super) fn stream(mut self, head: Response<()>, first: Bytes) -> Response<Answer> {
        let now = self.context.now();
        self.first_byte = Some(now);
        let metrics = &self.context.metrics;
        metrics.latency(self.job.form(), "first", now - self.job.arrived);
        let rest = stream::unfold((self, Some(first)), async |(mut passage, first)| {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (passage, None)));
            }
            let next = passage.next().await?;
            Some((next.map(Frame::data), (passage, None)))
        });
        head.map(|()| StreamBody::new(rest).boxed_unsync())
    }
}
