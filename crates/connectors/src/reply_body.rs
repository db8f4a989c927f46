//! The body of a reply, with a limit on the bytes that bring nothing of it.
//!
//! A faulty target may send a chunk's size or other framing without end. It takes no memory,
//! but reading it would take a processor for as long as the request may wait.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;

use crate::read_limit::ReadLimit;

/// How many bytes may be read until the next part of a body comes: those of two full
/// buffers, of which one waits to be taken, and framing.
const UNTIL_NEXT_PART_MAX_BYTES: usize = 256 << 10;

/// The body of a reply. The connection fails if it brings only framing.
#[derive(Debug)]
pub struct ReplyBody {
    body: Incoming,
    read_limit: ReadLimit,
}

impl ReplyBody {
    /// Wraps a body that comes on the connection with this limit.
    pub(crate) fn new(body: Incoming, read_limit: ReadLimit) -> Self {
        read_limit.set(UNTIL_NEXT_PART_MAX_BYTES);
        Self { body, read_limit }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if matches!(frame, Some(Ok(_))) {
            self.read_limit.set(UNTIL_NEXT_PART_MAX_BYTES);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
