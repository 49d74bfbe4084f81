//! A stream that reads no more than it may. A faulty server may send bytes without end, in a head or a body, as long as
//! its caller reads them.

use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How many bytes a stream may still read, and whether it has read any. Shared with the user of the connection, which
/// does not own the stream.
#[derive(Debug, Default)]
pub struct ReadAllowance {
    left: AtomicUsize,
    has_read: AtomicBool,
    is_exceeded: AtomicBool,
}

impl ReadAllowance {
    /// Starts to count anew.
    pub fn start(&self, bytes: usize) {
        self.left.store(bytes, Ordering::Relaxed);
        self.has_read.store(false, Ordering::Relaxed);
    }

    /// Allows further bytes.
    pub fn extend(&self, bytes: usize) {
        self.left.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Whether any byte was read since the start.
    pub fn has_read(&self) -> bool {
        self.has_read.load(Ordering::Relaxed)
    }

    /// Whether more bytes arrived than were allowed.
    pub fn is_exceeded(&self) -> bool {
        self.is_exceeded.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) -> std::io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        self.has_read.store(true, Ordering::Relaxed);
        let subtract = |left: usize| left.checked_sub(bytes);
        if self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok() {
            return Ok(());
        }
        self.is_exceeded.store(true, Ordering::Relaxed);
        Err(Error::other("the server sends more than is accepted"))
    }
}

/// A TCP stream that fails once more bytes arrive than allowed.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: Arc<ReadAllowance>,
}

impl LimitedStream {
    /// Limits a stream.
    pub fn new(stream: TcpStream, allowance: Arc<ReadAllowance>) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.allowance.take(buf.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
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
