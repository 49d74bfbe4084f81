//! Callers that do not behave: they read answers slowly or not at all, send heads and bodies that never end, or keep
//! connections open without a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Receive buffer of a caller that reads slowly, in bytes.
const RECEIVE_BUFFER: u32 = 64 << 10;
/// Bytes that a slow reader reads at once.
const READ_LEN: usize = 64 << 10;
/// Pause of a slow reader between two reads.
const READ_PAUSE: Duration = Duration::from_millis(300);
/// Pause of a slow writer between two bytes.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// Pause between the starts of two callers, so that a server with few slots can answer one after the other.
const START_PAUSE: Duration = Duration::from_millis(20);

/// What became of the callers of a crowd.
#[derive(Debug, Default)]
pub struct CrowdCounts {
    /// Callers whose connection was opened, or could not be opened.
    pub connected: AtomicUsize,
    /// Callers that have read the first bytes of an answer, or have sent all but the end of a request, or whose connection
    /// has ended before.
    pub begun: AtomicUsize,
    /// Callers whose connection has ended, for whatever reason.
    pub ended: AtomicUsize,
    /// Bytes that all callers have read.
    pub read: AtomicUsize,
}

/// A crowd of callers, each on a connection of its own. Dropping it closes them.
#[derive(Debug, Default)]
pub struct CallerCrowd {
    /// What became of its callers.
    pub counts: Arc<CrowdCounts>,
    callers: JoinSet<()>,
}

/// Opens a connection with a small receive buffer.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(address).await
}

/// The head of a request, complete but for the empty line at its end.
pub fn write_head(method: &str, path: &str, headers: &[(&str, &str)]) -> String {
    let lines = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("{method} {path} HTTP/1.1\r\n") + &lines.collect::<String>()
}

/// The first `chunks` chunks of a body, of one byte each; more would follow.
pub fn write_tiny_chunks(chunks: usize) -> Vec<u8> {
    b"1\r\nx\r\n".repeat(chunks)
}

impl CallerCrowd {
    /// Starts one more caller that sends some bytes, and then reads what comes slowly until the connection ends.
    pub async fn add_slow_reader(&mut self, address: SocketAddr, sent: Vec<u8>) {
        let counts = self.counts.clone();
        self.callers.spawn(async move {
            let has_begun = read_slowly(address, &sent, &counts).await;
            counts.begun.fetch_add(usize::from(!has_begun), Ordering::Relaxed);
            counts.ended.fetch_add(1, Ordering::Relaxed);
        });
        tokio::time::sleep(START_PAUSE).await;
    }

    /// Starts one more caller that sends some bytes, then a further one from time to time, and reads nothing.
    pub fn add_slow_writer(&mut self, address: SocketAddr, sent: Vec<u8>) {
        let counts = self.counts.clone();
        self.callers.spawn(async move {
            // A connection that is refused or reset has ended, which is all that is counted.
            let _ = write_slowly(address, &sent, &counts).await;
            counts.ended.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Starts one more caller that sends some bytes, and then neither sends nor reads anything.
    pub fn add_silent(&mut self, address: SocketAddr, sent: Vec<u8>) {
        let counts = self.counts.clone();
        self.callers.spawn(async move {
            let connected = connect(address).await;
            counts.connected.fetch_add(1, Ordering::Relaxed);
            let Ok(mut stream) = connected else { return };
            // The write ends early where the other side reads no more; the connection stays open all the same.
            let _ = stream.write_all(&sent).await;
            std::future::pending::<()>().await;
        });
    }
}

/// Returns whether any byte was read.
async fn read_slowly(address: SocketAddr, sent: &[u8], counts: &CrowdCounts) -> bool {
    let connected = connect(address).await;
    counts.connected.fetch_add(1, Ordering::Relaxed);
    let Ok(mut stream) = connected else { return false };
    if stream.write_all(sent).await.is_err() {
        return false;
    }
    let mut buffer = vec![0; READ_LEN];
    let mut has_begun = false;
    while let Ok(len @ 1..) = stream.read(&mut buffer).await {
        counts.read.fetch_add(len, Ordering::Relaxed);
        counts.begun.fetch_add(usize::from(!has_begun), Ordering::Relaxed);
        has_begun = true;
        tokio::time::sleep(READ_PAUSE).await;
    }
    has_begun
}

async fn write_slowly(address: SocketAddr, sent: &[u8], counts: &CrowdCounts) -> std::io::Result<()> {
    let connected = connect(address).await;
    counts.connected.fetch_add(1, Ordering::Relaxed);
    let begun = async {
        let mut stream = connected?;
        stream.write_all(sent).await?;
        Ok::<_, std::io::Error>(stream)
    };
    let begun = begun.await;
    counts.begun.fetch_add(1, Ordering::Relaxed);
    let mut stream = begun?;
    loop {
        tokio::time::sleep(WRITE_PAUSE).await;
        stream.write_all(b"x").await?;
    }
}
