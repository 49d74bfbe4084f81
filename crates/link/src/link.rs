//! Client side of the link to another node: connects on first use and reconnects after a failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use streamfold_policy::Moment;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::counted_stream::CountedStream;
use crate::error::PeerError;
use crate::exchange_limit::{ExchangeAllowance, MAX_HTTP2_HEAD_LEN};
use crate::frame::{FrameReader, MAX_FRAME_LEN, encode_frame_within, send_frame};
use crate::socket::set_tcp_options;

/// The longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// After a failed connect, calls fail at once for this long before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Consecutive calls without an answer after which no new message is sent on the connection.
const MAX_UNANSWERED_CALLS: u32 = 2;
/// Flow-control window of each stream and connection, in bytes.
pub const PEER_WINDOW_SIZE: u32 = 8 << 20;
/// The largest HTTP/2 frame between nodes, in bytes.
pub const PEER_HTTP2_FRAME_SIZE: u32 = 256 << 10;

/// A connection that new messages use. A separate task drives it until its last stream ends, even after new messages
/// have moved to another connection.
#[derive(Clone)]
struct OpenConnection {
    id: u64,
    sender: SendRequest<Bytes>,
    allowance: Arc<ExchangeAllowance>,
}

/// The link to one node.
pub struct PeerLink {
    address: SocketAddr,
    current: ArcSwapOption<OpenConnection>,
    last_failure: Mutex<Option<Instant>>,
    unanswered_calls: AtomicU32,
    last_reply: AtomicU64,
    next_id: AtomicU64,
}

impl PeerLink {
    /// Creates a link that is not connected yet.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            current: ArcSwapOption::empty(),
            last_failure: Mutex::new(None),
            unanswered_calls: AtomicU32::new(0),
            last_reply: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
        })
    }

    /// The address of the other node.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether there is a connection for new messages.
    pub fn is_open(&self) -> bool {
        self.current.load().is_some()
    }

    /// Connects if there is no connection.
    ///
    /// # Errors
    /// The node cannot be reached.
    pub async fn ensure_connected(self: &Arc<Self>) -> Result<(), PeerError> {
        self.open_connection().await.map(|_| ())
    }

    /// Records that the other node replied at this time.
    pub fn record_reply(&self, now: Moment) {
        self.last_reply.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Whether no reply of the other node was recorded at or after this time.
    pub fn has_no_reply_since(&self, since: Moment) -> bool {
        self.last_reply.load(Ordering::Relaxed) < since.0
    }

    async fn open_connection(self: &Arc<Self>) -> Result<OpenConnection, PeerError> {
        if let Some(open) = self.current.load().as_ref() {
            return Ok(OpenConnection::clone(open));
        }
        let mut last_failure = self.last_failure.lock().await;
        if let Some(open) = self.current.load().as_ref() {
            return Ok(OpenConnection::clone(open));
        }
        if last_failure.is_some_and(|at| at.elapsed() < RECONNECT_DELAY) {
            return Err(PeerError::NotConnected);
        }
        let result = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        match result {
            Ok(Ok(open)) => {
                *last_failure = None;
                Ok(open)
            }
            _ => {
                *last_failure = Some(Instant::now());
                Err(PeerError::NotConnected)
            }
        }
    }

    async fn connect(self: &Arc<Self>) -> Result<OpenConnection, PeerError> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| PeerError::NotConnected)?;
        set_tcp_options(&stream).map_err(|_| PeerError::NotConnected)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(PEER_WINDOW_SIZE).initial_connection_window_size(PEER_WINDOW_SIZE);
        builder.max_frame_size(PEER_HTTP2_FRAME_SIZE).max_header_list_size(MAX_HTTP2_HEAD_LEN);
        // Late answers to cancelled messages count towards this limit over the whole life of the connection, which would
        // end with all messages in flight.
        builder.max_local_error_reset_streams(None);
        let allowance = Arc::new(ExchangeAllowance::new(PEER_WINDOW_SIZE, PEER_WINDOW_SIZE));
        let stream = CountedStream::new(stream, allowance.clone());
        let (sender, connection) = builder.handshake(stream).await?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let open = OpenConnection { id, sender, allowance: allowance.clone() };
        self.current.store(Some(Arc::new(open.clone())));
        let link = Arc::downgrade(self);
        let address = self.address;
        tokio::spawn(async move {
            // Every stream on the connection reports its error.
            let _ = connection.await;
            if allowance.is_exceeded() {
                tracing::warn!(event = "answer_discarded", %address, reason = "too_long");
            }
            if let Some(link) = link.upgrade() {
                link.retire(id);
            }
        });
        Ok(open)
    }

    /// Stops sending new messages on a connection, unless a newer one has replaced it already.
    fn retire(&self, id: u64) {
        let open = self.current.load();
        if open.as_ref().is_some_and(|open| open.id == id) {
            self.current.compare_and_swap(&open, None);
        }
    }

    /// Sends a message and returns a reader for the frames of the answer.
    ///
    /// # Errors
    /// [`PeerError::is_not_sent`] tells whether the message may have arrived.
    pub async fn stream<M: Encode>(self: &Arc<Self>, path: &str, message: &M) -> Result<FrameReader, PeerError> {
        self.stream_within(path, message, MAX_FRAME_LEN).await
    }

    /// As [`Self::stream`], for a message of which the other node accepts at most `limit` bytes. It would close the link
    /// after a longer one.
    ///
    /// # Errors
    /// As [`Self::stream`]; `MessageTooLong` if the message is longer than `limit`.
    pub async fn stream_within<M: Encode>(
        self: &Arc<Self>,
        path: &str,
        message: &M,
        limit: usize,
    ) -> Result<FrameReader, PeerError> {
        let frame = encode_frame_within(message, limit)?;
        let OpenConnection { sender, allowance, .. } = self.open_connection().await?;
        let mut sender = sender.ready().await.map_err(|_| PeerError::NotConnected)?;
        let request = Request::post(format!("http://{}{path}", self.address)).body(())?;
        let exchange = allowance.begin();
        let (response, mut body) = sender.send_request(request, false)?;
        // The response is polled meanwhile: informational ones are kept until then, and may come without end while the
        // other node accepts nothing.
        let (sent, response) = tokio::join!(send_frame(&mut body, frame, true), response);
        if exchange.is_exceeded() {
            return Err(PeerError::AnswerTooLong);
        }
        sent?;
        let response = response?;
        if !response.status().is_success() {
            return Err(PeerError::BadStatus(response.status().as_u16()));
        }
        Ok(FrameReader::new(response.into_body(), MAX_FRAME_LEN).with_exchange(exchange))
    }

    /// Sends a message and returns its single answer.
    ///
    /// # Errors
    /// As [`Self::stream`]; `EndedEarly` if no answer arrives within `timeout`.
    pub async fn call<M: Encode, A: Decode<()>>(
        self: &Arc<Self>,
        path: &str,
        message: &M,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let exchange = async {
            let mut reader = self.stream(path, message).await?;
            reader.next().await?.ok_or(PeerError::EndedEarly)
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answer) => {
                self.unanswered_calls.store(0, Ordering::Relaxed);
                answer
            }
            Err(_) => {
                self.count_unanswered();
                Err(PeerError::EndedEarly)
            }
        }
    }

    /// Sends a message and returns the first frame of its answer. The caller sets the timeout; a timeout does not count
    /// as an unanswered call.
    ///
    /// # Errors
    /// As [`Self::stream`].
    pub async fn call_without_timeout<M: Encode, A: Decode<()>>(
        self: &Arc<Self>,
        path: &str,
        message: &M,
    ) -> Result<A, PeerError> {
        let mut reader = self.stream(path, message).await?;
        reader.next().await?.ok_or(PeerError::EndedEarly)
    }

    /// Counts a call without an answer; after [`MAX_UNANSWERED_CALLS`] in a row the next message opens a new
    /// connection. A network path that drops packets silently would otherwise hold calls until the long TCP timeouts
    /// expire. The old connection is not closed: where the other node is only slow, closing it would lose the messages
    /// in flight.
    fn count_unanswered(&self) {
        if self.unanswered_calls.fetch_add(1, Ordering::Relaxed) + 1 >= MAX_UNANSWERED_CALLS {
            self.unanswered_calls.store(0, Ordering::Relaxed);
            self.current.store(None);
            tracing::info!(event = "link_given_up", address = %self.address, silent_calls = MAX_UNANSWERED_CALLS);
        }
    }
}
