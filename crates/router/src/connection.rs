//! One HTTP/1.1 connection to a server. It has no task of its own: its user polls it, which saves a task switch for
//! each piece of a response.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use streamfold_link::socket::set_tcp_options;
use tokio::net::TcpStream;

use crate::answer_memory::AnswerReservation;
use crate::caller_limits::CallerLimits;
use crate::error::ExchangeError;
use crate::growing_buffer::GrowingBuffer;
use streamfold_link::counted_stream::CountedStream;
use streamfold_link::read_limit::ReadAllowance;

/// The longest head accepted from a server, in bytes.
const MAX_HEAD_LEN: usize = 64 << 10;
/// What may be read until the head is complete, in bytes: the head, and the start of the body that comes with its end.
/// It also ends informational responses without end, which precede a head.
const MAX_READ_WITH_HEAD: usize = 2 * MAX_HEAD_LEN;

/// A connection to one server.
pub struct ServerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<CountedStream<ReadAllowance>>, Full<Bytes>>,
    allowance: Arc<ReadAllowance>,
}

/// The limits of an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLimits<'a> {
    /// The longest body as it is sent, in bytes.
    pub body: usize,
    /// The memory that it shares with other answers.
    pub memory: &'a Arc<CallerLimits>,
}

impl ServerConnection {
    /// Connects to a server.
    ///
    /// # Errors
    /// The connection is refused, cannot be set up, or is not established within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let connect = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connect.await.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        set_tcp_options(&stream)?;
        // A cancelled call resets its connection. Otherwise bytes that a network partition holds back would
        // reach the server much later as another request.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let allowance = Arc::new(ReadAllowance::default());
        let stream = TokioIo::new(CountedStream::new(stream, allowance.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_LEN).handshake(stream);
        let (sender, driver) = handshake.await.map_err(std::io::Error::other)?;
        Ok(Self { sender, driver, allowance })
    }

    /// Whether another request may be sent: the server has neither closed the connection nor sent further data.
    pub fn is_usable(&mut self) -> bool {
        // Nobody waits for the connection now; the next exchange registers its own waker.
        let mut cx = Context::from_waker(Waker::noop());
        let has_ended = Pin::new(&mut self.driver).poll(&mut cx).is_ready();
        !has_ended && self.sender.is_ready()
    }

    /// Sends a request and reads the whole response within limits.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request was sent, `ConnectionLost` if the connection ended before any byte of the
    /// response arrived, `AnswerTooLong` if the response exceeds the limits, `AnswerLost` otherwise.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limits: AnswerLimits<'_>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let allowance = self.allowance.clone();
        allowance.start(MAX_READ_WITH_HEAD);
        let sent = self.sender.try_send_request(request);
        let exchange = async move {
            let response = sent.await.map_err(|mut error| match error.take_message() {
                Some(_) => ExchangeError::NotSent,
                None if allowance.is_exceeded() || error.error().is_parse_too_large() => ExchangeError::AnswerTooLong,
                None if allowance.has_read() => ExchangeError::AnswerLost,
                None => ExchangeError::ConnectionLost,
            })?;
            let (parts, body) = response.into_parts();
            allowance.extend(limits.body);
            let body = read_body(body, limits).await;
            let body = body.map_err(|error| if allowance.is_exceeded() { ExchangeError::AnswerTooLong } else { error });
            Ok(Response::from_parts(parts, body?))
        };
        let mut exchange = pin!(exchange);
        let mut driver = Some(&mut self.driver);
        poll_fn(|cx| poll_both(&mut driver, exchange.as_mut(), cx)).await
    }
}

/// Reads a whole body. Its memory is counted for as long as any part of it is in use.
async fn read_body(mut body: Incoming, limits: AnswerLimits<'_>) -> Result<Bytes, ExchangeError> {
    if body.size_hint().lower() > limits.body as u64 {
        return Err(ExchangeError::AnswerTooLong);
    }
    let most = body.size_hint().exact().map_or(limits.body, |len| usize::try_from(len).unwrap_or(limits.body));
    let mut reservation = AnswerReservation::new(limits.memory.clone());
    let mut buffer = GrowingBuffer::new(most);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeError::AnswerLost)?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.is_empty() && body.is_end_stream() {
            let is_reserved = reservation.grow(data.len()).await;
            return if is_reserved { Ok(reservation.attach_piece(data)) } else { Err(ExchangeError::AnswerTooLong) };
        }
        let growth = buffer.growth(data.len()).map_err(|_| ExchangeError::AnswerTooLong)?;
        if !reservation.grow(growth).await {
            return Err(ExchangeError::AnswerTooLong);
        }
        buffer.push(&data).map_err(|error| {
            tracing::warn!(event = "answer_not_buffered", %error);
            ExchangeError::AnswerTooLong
        })?;
    }
    Ok(if buffer.is_empty() { Bytes::new() } else { reservation.attach(buffer) })
}

/// Polls the connection and then the exchange.
fn poll_both<D: Future + Unpin, E: Future>(
    driver: &mut Option<&mut D>,
    exchange: Pin<&mut E>,
    cx: &mut Context<'_>,
) -> Poll<E::Output> {
    if let Some(running) = driver
        && Pin::new(&mut **running).poll(cx).is_ready()
    {
        // The exchange learns of the end of the connection through their shared channel.
        *driver = None;
    }
    exchange.poll(cx)
}
