//! A body that is only sent while the leave to send it holds.
//!
//! A check before the call is too early: the client may first have to make a
//! connection, and the process may be paused meanwhile. The client asks for
//! the body when the connection is ready, directly before it writes, so the
//! check stands there. A target that got the head alone cannot have run the
//! call, since the body that the head announces never came.

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

/// The error of a body whose leave has ended.
#[derive(Clone, Copy, Debug)]
pub struct SendDeadlinePassed;

impl std::fmt::Display for SendDeadlinePassed {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("the leave to send the call has ended")
    }
}

impl std::error::Error for SendDeadlinePassed {}

/// A body in one piece that fails if it is asked for too late.
///
/// An empty body is never asked for, so it is not checked here.
#[derive(Clone, Debug)]
pub struct DeadlineBody {
    body: Option<Bytes>,
    send_by: Instant,
    is_late: Arc<AtomicBool>,
}

impl DeadlineBody {
    /// Makes a body that may be sent until the moment.
    #[must_use]
    pub fn new(body: Bytes, send_by: Instant) -> Self {
        Self {
            body: Some(body).filter(|body| !body.is_empty()),
            send_by,
            is_late: Arc::default(),
        }
    }

    /// Returns a flag that turns true if the body was asked for too late.
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
