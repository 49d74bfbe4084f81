//! One HTTP/1.1 connection to a server. It has no task of its own: its user polls it, which saves a task switch for
//! each piece of a response.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use streamfold_link::socket::set_tcp_options;
use tokio::net::TcpStream;

use crate::error::ExchangeError;

/// A connection to one server.
pub struct ServerConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
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
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(std::io::Error::other)?;
        Ok(Self { sender, driver })
    }

    /// Whether another request may be sent: the server has neither closed the connection nor sent further data.
    pub async fn is_usable(&mut self) -> bool {
        let ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.driver).poll(cx).is_ready())).await;
        !ended && self.sender.is_ready()
    }

    /// Sends a request and reads the whole response with a body of at most `limit` bytes.
    ///
    /// # Errors
    /// `NotSent` if no byte of the request was sent, `ConnectionLost` if the connection ended before any byte of the
    /// response arrived, `AnswerLost` otherwise.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let sent = self.sender.try_send_request(request);
        let exchange = async move {
            let response = sent.await.map_err(|mut error| match error.take_message() {
                Some(_) => ExchangeError::NotSent,
                None if error.error().is_parse() => ExchangeError::AnswerLost,
                None => ExchangeError::ConnectionLost,
            })?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, limit).collect().await.map_err(|_| ExchangeError::AnswerLost)?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        let mut exchange = pin!(exchange);
        let mut driver = Some(&mut self.driver);
        poll_fn(|cx| poll_both(&mut driver, exchange.as_mut(), cx)).await
    }
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
