//! A proxy that turns into a faulty server: from a moment on it sends bytes that are no answer, without end, until its
//! caller closes the connection. And a faulty node, whose messages have no end.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes of a piece that are written at once, about.
const WRITE_LEN: usize = 16 << 10;
/// The pause between two pieces that are sent in drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(5);
/// How much of a request is read at a time, in bytes.
const REQUEST_BUFFER_LEN: usize = 64 << 10;

/// Bytes without end.
#[derive(Debug, Clone)]
pub struct EndlessBytes {
    beginning: Vec<u8>,
    piece: Vec<u8>,
    pause: Duration,
}

impl EndlessBytes {
    /// A beginning, then a piece again and again, as fast as they are read.
    pub fn fast(beginning: &[u8], piece: &[u8]) -> Self {
        let piece = piece.repeat((WRITE_LEN / piece.len().max(1)).max(1));
        Self { beginning: beginning.to_vec(), piece, pause: Duration::ZERO }
    }

    /// The same with a pause after each piece.
    pub fn in_drips(beginning: &[u8], piece: &[u8]) -> Self {
        Self { beginning: beginning.to_vec(), piece: piece.to_vec(), pause: DRIP_INTERVAL }
    }
}

/// Counters of a proxy.
#[derive(Debug, Default)]
pub struct EndlessCounts {
    /// Connections on which bytes without end were sent.
    pub begun: AtomicU64,
    /// Those of them that the caller has closed.
    pub closed: AtomicU64,
    /// Bytes without end that were sent.
    pub sent: AtomicU64,
}

/// A running proxy before one address.
pub struct EndlessProxy {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its counters.
    pub counts: Arc<EndlessCounts>,
    bytes: watch::Sender<Option<EndlessBytes>>,
    task: JoinHandle<()>,
}

impl EndlessProxy {
    /// Starts a proxy before `target`.
    ///
    /// # Errors
    /// The port cannot be opened.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (counts, bytes) = (Arc::new(EndlessCounts::default()), watch::Sender::new(None));
        let task = tokio::spawn(accept(listener, target, counts.clone(), bytes.subscribe()));
        Ok(Self { address, counts, bytes, task })
    }

    /// Sends bytes without end from now on: at once on the connections that are open, and on others after their first
    /// request.
    pub fn flood(&self, bytes: EndlessBytes) {
        self.bytes.send_replace(Some(bytes));
    }

    /// Forwards new connections again.
    pub fn stop(&self) {
        self.bytes.send_replace(None);
    }

    /// The connections that still read bytes without end.
    pub fn open(&self) -> u64 {
        let closed = self.counts.closed.load(Ordering::SeqCst);
        self.counts.begun.load(Ordering::SeqCst).saturating_sub(closed)
    }
}

impl Drop for EndlessProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    counts: Arc<EndlessCounts>,
    bytes: watch::Receiver<Option<EndlessBytes>>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        connections.spawn(serve(client, target, counts.clone(), bytes.clone()));
    }
}

async fn serve(
    mut client: TcpStream,
    target: SocketAddr,
    counts: Arc<EndlessCounts>,
    mut bytes: watch::Receiver<Option<EndlessBytes>>,
) {
    // Errors are ignored: a socket without TCP_NODELAY still works.
    let _ = client.set_nodelay(true);
    let is_faulty = bytes.borrow().is_some();
    if is_faulty {
        let mut request = vec![0; REQUEST_BUFFER_LEN];
        if !client.read(&mut request).await.is_ok_and(|length| length > 0) {
            return;
        }
    } else {
        let Ok(mut server) = TcpStream::connect(target).await else { return };
        let _ = server.set_nodelay(true);
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut client, &mut server) => return,
            _ = bytes.wait_for(Option::is_some) => {}
        }
    }
    let Some(endless) = bytes.borrow().clone() else { return };
    counts.begun.fetch_add(1, Ordering::SeqCst);
    send(client, &endless, &counts).await;
    counts.closed.fetch_add(1, Ordering::SeqCst);
}

/// Sends until the connection is closed. What the caller sends meanwhile is read and dropped.
async fn send(client: TcpStream, endless: &EndlessBytes, counts: &EndlessCounts) {
    let (mut read, mut write) = client.into_split();
    let writing = async {
        let mut next = &endless.beginning;
        while write.write_all(next).await.is_ok() {
            counts.sent.fetch_add(next.len() as u64, Ordering::Relaxed);
            next = &endless.piece;
            tokio::time::sleep(endless.pause).await;
        }
    };
    let reading = async {
        let mut dropped = vec![0; REQUEST_BUFFER_LEN];
        while read.read(&mut dropped).await.is_ok_and(|length| length > 0) {}
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
}

/// A node that answers each message with the beginning of the longest frame, and goes on until its stream ends.
pub struct EndlessPeer {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The messages whose answers the caller has ended.
    pub ended: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl EndlessPeer {
    /// Starts a faulty node.
    ///
    /// # Errors
    /// The port cannot be opened.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let ended = Arc::new(AtomicU64::new(0));
        let counted = ended.clone();
        let task = tokio::spawn(async move {
            let mut links = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                links.spawn(serve_peer(stream, counted.clone()));
            }
        });
        Ok(Self { address, ended, task })
    }
}

impl Drop for EndlessPeer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_peer(stream: TcpStream, ended: Arc<AtomicU64>) {
    let Ok(mut connection) = h2::server::handshake(stream).await else { return };
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let ended = ended.clone();
        tokio::spawn(async move {
            let mut message = request.into_body();
            while message.data().await.is_some() {}
            let Ok(mut body) = respond.send_response(http::Response::new(()), false) else { return };
            // The longest frame is 64 MB; an error means that the stream has ended.
            let _ = body.send_data(Bytes::from_static(&[4, 0, 0, 0]), false);
            while send_piece(&mut body).await.is_some() {}
            ended.fetch_add(1, Ordering::SeqCst);
        });
    }
}

/// A piece of a message.
const PIECE: &[u8] = &[1; 64 << 10];

/// Sends a piece once the caller accepts it; `None` when the stream has ended.
async fn send_piece(body: &mut h2::SendStream<Bytes>) -> Option<()> {
    body.reserve_capacity(PIECE.len());
    let len = std::future::poll_fn(|cx| body.poll_capacity(cx)).await?.ok()?;
    body.send_data(Bytes::from_static(&PIECE[..len.min(PIECE.len())]), false).ok()
}
