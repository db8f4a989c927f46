//! A TCP stream that reports the bytes it reads and writes to an observer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Receives the byte counts of an [`ObservedStream`].
pub trait ByteObserver {
    /// Called before each poll for reading.
    ///
    /// # Errors
    /// The read fails with the error that is returned.
    fn before_read(&self) -> io::Result<()> {
        Ok(())
    }

    /// Called after each poll for reading, with the bytes read; may be zero.
    fn on_read(&self, bytes: usize);

    /// Called after each successful write, with the bytes written.
    fn on_write(&self, bytes: usize);

    /// Called after each successful flush. Buffers above this stream are empty then.
    fn on_flush(&self) {}
}

impl<O: ByteObserver + ?Sized> ByteObserver for Arc<O> {
    fn before_read(&self) -> io::Result<()> {
        (**self).before_read()
    }

    fn on_read(&self, bytes: usize) {
        (**self).on_read(bytes);
    }

    fn on_write(&self, bytes: usize) {
        (**self).on_write(bytes);
    }

    fn on_flush(&self) {
        (**self).on_flush();
    }
}

/// A TCP stream with its observer.
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O> ObservedStream<O> {
    /// Wraps a stream, whose byte counts go to the observer.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }

    /// Closes the connection with a reset, so that the other side does not take it for the
    /// regular end of what was sent.
    pub fn reset(self) {
        // If the option cannot be set, the connection closes in the usual way.
        self.stream.set_zero_linger().ok();
    }
}

impl<O: ByteObserver> ObservedStream<O> {
    fn report_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.observer.on_write(*bytes);
        }
        polled
    }
}

impl<O: ByteObserver + Unpin> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.observer.before_read()?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.observer.on_read(buffer.filled().len() - before);
        polled
    }
}

impl<O: ByteObserver + Unpin> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.report_write(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.report_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = polled {
            self.observer.on_flush();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
