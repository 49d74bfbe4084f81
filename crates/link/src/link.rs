//! The connection to another node, made when first wanted and made anew when it fails.

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

use crate::error::PeerError;
use crate::frame::{FrameReader, MAX_FRAME_LEN, encode_frame, send_frame};
use crate::socket::set_tcp_options;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// After a failed connect the link counts as down for this long.
const DOWN_FOR: Duration = Duration::from_millis(200);
/// Calls in a row without an answer after which the connection is given up.
const MAX_SILENT_CALLS: u32 = 2;
/// Flow-control window of each stream and connection.
pub const PEER_WINDOW_SIZE: u32 = 8 << 20;
/// The largest HTTP/2 frame between nodes.
pub const PEER_HTTP2_FRAME_SIZE: u32 = 256 << 10;

/// A connection in use. A task of its own drives it until nothing more is on its way over it, also when no new
/// message goes out on it any more.
struct OpenLink {
    number: u64,
    sender: SendRequest<Bytes>,
}

/// The link to one node.
pub struct PeerLink {
    address: SocketAddr,
    current: ArcSwapOption<OpenLink>,
    failed: Mutex<Option<Instant>>,
    silent: AtomicU32,
    heard: AtomicU64,
    connections: AtomicU64,
}

impl PeerLink {
    /// A link that is not connected yet.
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            current: ArcSwapOption::empty(),
            failed: Mutex::new(None),
            silent: AtomicU32::new(0),
            heard: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        })
    }

    /// Where it leads.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether there is a connection now.
    pub fn is_open(&self) -> bool {
        self.current.load().is_some()
    }

    /// Connects if there is no connection.
    ///
    /// # Errors
    /// The node cannot be reached.
    pub async fn ensure_connected(self: &Arc<Self>) -> Result<(), PeerError> {
        self.sender().await.map(|_| ())
    }

    /// Notes that the node replied to something.
    pub fn record_reply(&self, now: Moment) {
        self.heard.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Whether the node has replied to nothing since a moment.
    pub fn has_no_reply_since(&self, moment: Moment) -> bool {
        self.heard.load(Ordering::Relaxed) < moment.0
    }

    async fn sender(self: &Arc<Self>) -> Result<SendRequest<Bytes>, PeerError> {
        if let Some(open) = self.current.load().as_ref() {
            return Ok(open.sender.clone());
        }
        let mut failed = self.failed.lock().await;
        if let Some(open) = self.current.load().as_ref() {
            return Ok(open.sender.clone());
        }
        if failed.is_some_and(|at| at.elapsed() < DOWN_FOR) {
            return Err(PeerError::NotConnected);
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        match connected {
            Ok(Ok(sender)) => {
                *failed = None;
                Ok(sender)
            }
            _ => {
                *failed = Some(Instant::now());
                Err(PeerError::NotConnected)
            }
        }
    }

    async fn connect(self: &Arc<Self>) -> Result<SendRequest<Bytes>, PeerError> {
        let stream = TcpStream::connect(self.address).await.map_err(|_| PeerError::NotConnected)?;
        set_tcp_options(&stream).map_err(|_| PeerError::NotConnected)?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(PEER_WINDOW_SIZE).initial_connection_window_size(PEER_WINDOW_SIZE);
        builder.max_frame_size(PEER_HTTP2_FRAME_SIZE);
        let (sender, connection) = builder.handshake(stream).await?;
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        self.current.store(Some(Arc::new(OpenLink { number, sender: sender.clone() })));
        let link = Arc::downgrade(self);
        tokio::spawn(async move {
            // Its error reaches every stream on it.
            let _ = connection.await;
            if let Some(link) = link.upgrade() {
                link.forget(number);
            }
        });
        Ok(sender)
    }

    /// Sends nothing more on a connection; another one that was made since stays.
    fn forget(&self, number: u64) {
        let open = self.current.load();
        if open.as_ref().is_some_and(|open| open.number == number) {
            self.current.compare_and_swap(&open, None);
        }
    }

    /// Sends a message and returns the frames of the answer as they come.
    ///
    /// # Errors
    /// `NotConnected` if nothing was sent; any other error may come after the message arrived.
    pub async fn stream<M: Encode>(self: &Arc<Self>, path: &str, message: &M) -> Result<FrameReader, PeerError> {
        let frame = encode_frame(message)?;
        let sender = self.sender().await?;
        let mut sender = sender.ready().await.map_err(|_| PeerError::NotConnected)?;
        let request = Request::post(format!("http://{}{path}", self.address)).body(())?;
        let (response, mut body) = sender.send_request(request, false)?;
        send_frame(&mut body, frame, true).await?;
        let response = response.await?;
        if !response.status().is_success() {
            return Err(PeerError::BadStatus(response.status().as_u16()));
        }
        Ok(FrameReader::new(response.into_body(), MAX_FRAME_LEN))
    }

    /// Sends a message and returns its one answer.
    ///
    /// # Errors
    /// As [`Self::stream`]; an answer that does not come within `wait` is `EndedEarly`.
    pub async fn call<M: Encode, A: Decode<()>>(
        self: &Arc<Self>,
        path: &str,
        message: &M,
        wait: Duration,
    ) -> Result<A, PeerError> {
        let exchange = async {
            let mut reader = self.stream(path, message).await?;
            reader.next().await?.ok_or(PeerError::EndedEarly)
        };
        match tokio::time::timeout(wait, exchange).await {
            Ok(answer) => {
                self.silent.store(0, Ordering::Relaxed);
                answer
            }
            Err(_) => {
                self.note_silence();
                Err(PeerError::EndedEarly)
            }
        }
    }

    /// Sends a message and returns the first frame of its answer.
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

    /// A link that is cut without a word would wait for the network's own long time-outs, so
    /// it is made anew. What is on its way goes on: where the other node is only late, closing the connection loses it.
    fn note_silence(&self) {
        if self.silent.fetch_add(1, Ordering::Relaxed) + 1 >= MAX_SILENT_CALLS {
            self.silent.store(0, Ordering::Relaxed);
            self.current.store(None);
            tracing::info!(event = "link_given_up", address = %self.address, silent_calls = MAX_SILENT_CALLS);
        }
    }
}
