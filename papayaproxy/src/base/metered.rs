//! Connections that bound what their other side may send: how much a connection reads before other
//! tasks run, and how much it reads that moves no message on. They also tell whether their other side
//! reads.
//!
//! HTTP has parts without a limit of their own, such as interim answers or the digits of a chunk's
//! size.

use super::constants::{TURN_BYTES, UNUSED_BYTES_MAX};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts the bytes that a connection has read since its last progress: a head, or data of a body.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    unused: Cell<usize>,
    /// Whether the kernel accepted none of the bytes that were to be written last.
    blocked: Cell<bool>,
    /// Whether the connection is reset when it is dropped.
    resets: Cell<bool>,
}

/// A TCP connection whose reads are counted and bounded.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: Rc<Meter>,
    /// Bytes read since the connection last waited.
    in_turn: usize,
}

/// A body whose data is progress of its connection.
#[derive(Debug)]
pub(crate) struct MeteredBody<B> {
    body: B,
    meter: Rc<Meter>,
}

impl Meter {
    /// Records that the bytes read so far were of use.
    pub(crate) fn progress(&self) {
        self.unused.set(0);
    }

    /// Whether the other side reads so slowly that the kernel accepts no further bytes for it.
    pub(crate) fn is_blocked(&self) -> bool {
        self.blocked.get()
    }

    /// Resets the connection when it is dropped, so that the kernel drops what is not read.
    pub(crate) fn reset_on_drop(&self) {
        self.resets.set(true);
    }
}

impl MeteredStream {
    /// Counts the reads of `stream`, also in the meter that is returned.
    pub(crate) fn new(stream: TcpStream) -> (Self, Rc<Meter>) {
        let meter = Rc::new(Meter::default());
        (Self { stream, meter: meter.clone(), in_turn: 0 }, meter)
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if self.meter.resets.get()
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            tracing::debug!(%error, "cannot reset a connection");
        }
    }
}

/// Bounds of a socket's buffers in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SocketBuffers {
    /// Size of each, for data and again as much for the kernel's records.
    pub(crate) size: usize,
    /// Data that is not sent yet, from which on the socket accepts no more.
    pub(crate) unsent: usize,
}

/// Sets the buffers of a socket. The kernel does not adapt their size any longer.
///
/// # Errors
/// The operating system refuses it.
pub(crate) fn set_buffers<'s>(
    socket: impl Into<SockRef<'s>>,
    buffers: SocketBuffers,
) -> io::Result<()> {
    let socket = socket.into();
    socket.set_send_buffer_size(buffers.size)?;
    socket.set_recv_buffer_size(buffers.size)?;
    socket.set_tcp_notsent_lowat(buffers.unsent as u32)
}

impl<B> MeteredBody<B> {
    pub(crate) fn new(body: B, meter: Rc<Meter>) -> Self {
        Self { body, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unused = self.meter.unused.get();
        if unused > UNUSED_BYTES_MAX {
            let reason = format!(
                "{unused} bytes were read without a head or data, at most {UNUSED_BYTES_MAX} are expected"
            );
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        if self.in_turn >= TURN_BYTES {
            self.in_turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.in_turn = 0;
        }
        ready!(polled)?;
        let read = buffer.filled().len() - before;
        self.in_turn += read;
        self.meter.unused.set(unused + read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.meter.blocked.set(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.meter.blocked.set(polled.is_pending());
        polled
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

impl<B: Body<Data = Bytes> + Unpin> Body for MeteredBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let data = frame.as_ref().and_then(|f| f.as_ref().ok()).and_then(Frame::data_ref);
        if data.is_some_and(|data| !data.is_empty()) {
            self.meter.progress();
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
