//! A TCP stream that tells how much was read of it.

use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Learns how many bytes were read of a stream.
pub trait ReadCounter {
    /// Counts bytes that were read.
    ///
    /// # Errors
    /// No more may be read; the stream fails with this error.
    fn note_read(&self, bytes: usize) -> std::io::Result<()>;
}

/// A TCP stream whose reads are counted.
#[derive(Debug)]
pub struct CountedStream<C> {
    stream: TcpStream,
    counter: Arc<C>,
}

impl<C> CountedStream<C> {
    /// Counts the reads of a stream.
    pub fn new(stream: TcpStream, counter: Arc<C>) -> Self {
        Self { stream, counter }
    }
}

impl<C: ReadCounter> AsyncRead for CountedStream<C> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.counter.note_read(buf.filled().len() - before))
    }
}

impl<C> AsyncWrite for CountedStream<C> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
