//! A request body that is not sent after a deadline.
//!
//! A check before the call would be too early: the client may first have to open
//! a connection, and the process may be paused meanwhile. The client polls the
//! body when the connection is ready, directly before it writes, so the deadline
//! is checked in that poll. A target that got only the head cannot have run the
//! call, since the announced body never came.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

/// The error of a body that was polled after its send deadline.
#[derive(Clone, Copy, Debug)]
pub struct SendDeadlinePassed;

impl std::fmt::Display for SendDeadlinePassed {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("the send deadline of the call has passed")
    }
}

impl std::error::Error for SendDeadlinePassed {}

/// A body in one frame that fails if it is polled after the send deadline.
///
/// An empty body is never polled, so its deadline is not checked.
#[derive(Clone, Debug)]
pub struct DeadlineBody {
    body: Option<Bytes>,
    send_by: Instant,
    is_late: Arc<AtomicBool>,
}

impl DeadlineBody {
    /// Makes a body that may be sent until `send_by`.
    #[must_use]
    pub fn new(body: Bytes, send_by: Instant) -> Self {
        Self {
            body: Some(body).filter(|body| !body.is_empty()),
            send_by,
            is_late: Arc::default(),
        }
    }

    /// Returns a flag that becomes true if the body was polled too late.
    #[must_use]
    pub fn late_flag(&self) -> Arc<AtomicBool> {
        self.is_late.clone()
    }
}

impl Body for DeadlineBody {
    type Data = Bytes;
    type Error = SendDeadlinePassed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, SendDeadlinePassed>>> {
        let Some(body) = self.body.take() else {
            return Poll::Ready(None);
        };
        if Instant::now() >= self.send_by {
            self.is_late.store(true, Ordering::Release);
            return Poll::Ready(Some(Err(SendDeadlinePassed)));
        }
        Poll::Ready(Some(Ok(Frame::data(body))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.body.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
    }
}
