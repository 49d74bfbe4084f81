//! Fault-injecting TCP proxy: delays, refuses, breaks, truncates and pauses connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use streamfold_standin::rng;

/// Maximum number of delayed chunks queued on one connection in each direction.
const MAX_QUEUED_CHUNKS: usize = 4_096;
/// Answer that a rejected client gets instead of the target's.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// How often a paused direction checks whether the pause is over.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of a proxy, in effect on all its connections.
#[derive(Default)]
pub struct ProxyFaults {
    /// Delay of each chunk in each direction, in microseconds.
    pub delay_us: AtomicU64,
    /// Whether new connections are closed immediately.
    pub refuse_connections: AtomicBool,
    /// Whether new connections get an HTTP 503 answer to their first bytes and are closed.
    pub reject_requests: AtomicBool,
    /// Whether bytes towards the server are held.
    pub pause_to_server: AtomicBool,
    /// Whether bytes towards the client are held.
    pub pause_to_client: AtomicBool,
    /// Whether bytes in both directions are held.
    pub pause_both: AtomicBool,
    /// Of a thousand chunks towards the client, the number that are cut off in the middle together
    /// with their connection.
    pub reset_per_mille: AtomicU64,
    /// Number of connections forwarded so far.
    pub forwarded: AtomicU64,
    break_all: Notify,
}

impl ProxyFaults {
    /// Closes every open connection.
    pub fn break_all(&self) {
        self.break_all.notify_waiters();
    }
}

/// A running proxy before one address.
pub struct FaultProxy {
    /// Its switches.
    pub faults: Arc<ProxyFaults>,
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    /// Address to which connections are forwarded; may be changed after the start.
    pub target: Arc<Mutex<SocketAddr>>,
    task: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a proxy to `target`.
///
/// # Errors
/// The port cannot be opened.
pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<FaultProxy> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let faults = Arc::new(ProxyFaults::default());
    let target = Arc::new(Mutex::new(target));
    let task = tokio::spawn(accept(faults.clone(), listener, target.clone()));
    Ok(FaultProxy { faults, address, target, task })
}

async fn accept(faults: Arc<ProxyFaults>, listener: TcpListener, target: Arc<Mutex<SocketAddr>>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        if faults.refuse_connections.load(Ordering::Relaxed) {
            continue;
        }
        if faults.reject_requests.load(Ordering::Relaxed) {
            connections.spawn(reject(client));
            continue;
        }
        faults.forwarded.fetch_add(1, Ordering::Relaxed);
        let faults = faults.clone();
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        connections.spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            // Errors are ignored: a socket without TCP_NODELAY still works.
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                () = faults.break_all.notified() => {}
                () = forward(&faults, &faults.pause_to_server, None, client_read, server_write) => {}
                () = forward(&faults, &faults.pause_to_client, Some(&faults.reset_per_mille), server_read, client_write) => {}
            }
        });
    }
}

async fn reject(mut client: TcpStream) {
    let mut buffer = [0; 4 << 10];
    // Reads the request first: closing a socket with unread bytes resets the connection, and the client would
    // lose the answer.
    if client.read(&mut buffer).await.is_ok_and(|length| length > 0) {
        // Errors are ignored: the client has closed the connection.
        let _ = client.write_all(REJECTION).await;
    }
}

/// Forwards one direction. Delayed chunks are queued, so that a delay does not reduce the throughput.
async fn forward(
    faults: &ProxyFaults,
    pause: &AtomicBool,
    resets: Option<&AtomicU64>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) {
    let (sender, mut queue) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
    let read = async move {
        let mut chunk = vec![0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            let due = Instant::now() + Duration::from_micros(faults.delay_us.load(Ordering::Relaxed));
            if sender.send((due, chunk[..length].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = queue.recv().await {
            tokio::time::sleep_until(due).await;
            while pause.load(Ordering::Relaxed) || faults.pause_both.load(Ordering::Relaxed) {
                tokio::time::sleep(PAUSE_CHECK_INTERVAL).await;
            }
            let is_cut_off = resets.is_some_and(|resets| rng::chance(resets.load(Ordering::Relaxed)));
            let part = if is_cut_off { &chunk[..chunk.len() / 2] } else { &chunk[..] };
            if to.write_all(part).await.is_err() || is_cut_off {
                return;
            }
        }
    };
    tokio::pin!(read, write);
    // When reading ends, the queued chunks are still written; when writing ends, the connection ends.
    tokio::select! {
        () = &mut write => {}
        () = &mut read => write.await,
    }
}
