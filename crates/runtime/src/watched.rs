//! Connections whose bytes somebody is told of.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Learns of the bytes that go over a connection.
pub trait Watch {
    /// Notes that so many bytes were read; there may be none.
    fn note_read(&self, bytes: usize);

    /// Notes that so many bytes were written.
    fn note_written(&self, bytes: usize);
}

impl<W: Watch + ?Sized> Watch for Arc<W> {
    fn note_read(&self, bytes: usize) {
        (**self).note_read(bytes);
    }

    fn note_written(&self, bytes: usize) {
        (**self).note_written(bytes);
    }
}

/// A connection with the one who is told of its bytes.
#[derive(Debug)]
pub struct Watched<W> {
    stream: TcpStream,
    watch: W,
}

impl<W> Watched<W> {
    /// Has the bytes of a connection watched.
    pub fn new(stream: TcpStream, watch: W) -> Self {
        Self { stream, watch }
    }
}

impl<W: Watch> Watched<W> {
    fn tell_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.watch.note_written(*bytes);
        }
        polled
    }
}

impl<W: Watch + Unpin> AsyncRead for Watched<W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.watch.note_read(buffer.filled().len() - before);
        polled
    }
}

impl<W: Watch + Unpin> AsyncWrite for Watched<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.tell_written(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.tell_written(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
