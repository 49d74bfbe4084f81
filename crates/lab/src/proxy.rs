//! A TCP proxy that delays, cuts, half-cuts, resets and pauses connections.

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

use streamfold_standin::dice;

/// Chunks that may wait out their delay on one connection.
const QUEUED_CHUNKS: usize = 4_096;
/// What a caller that is turned away gets instead of its way.
const TURNED_AWAY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// How often a paused direction looks whether it may go on.
const PAUSE_LOOK: Duration = Duration::from_millis(5);

/// Faults of a proxy, in force on all its connections.
#[derive(Default)]
pub struct ProxyFaults {
    /// Microseconds each chunk is held, each way.
    pub delay_us: AtomicU64,
    /// New connections are closed at once.
    pub refuse_connections: AtomicBool,
    /// New connections get a refusal of HTTP to their first bytes and are closed.
    pub reject_requests: AtomicBool,
    /// Bytes towards the server are held.
    pub pause_to_server: AtomicBool,
    /// Bytes towards the client are held.
    pub pause_to_client: AtomicBool,
    /// Bytes both ways are held.
    pub pause_both: AtomicBool,
    /// Of a thousand chunks towards the client, after so many the connection breaks off midway.
    pub reset_per_mille: AtomicU64,
    /// Connections connections so far.
    pub connections: AtomicU64,
    break_all: Notify,
}

impl ProxyFaults {
    /// Breaks every open connection.
    pub fn break_all(&self) {
        self.break_all.notify_waiters();
    }
}

/// A running proxy before one address.
pub struct FaultProxy {
    /// Its switches.
    pub faults: Arc<ProxyFaults>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it leads; may be set after the start.
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
            connections.spawn(reject_requests(client));
            continue;
        }
        faults.connections.fetch_add(1, Ordering::Relaxed);
        let faults = faults.clone();
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        connections.spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else { return };
            // Sockets that refuse it work all the same.
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::select! {
                () = faults.break_all.notified() => {}
                () = carry(&faults, &faults.pause_to_server, None, client_read, server_write) => {}
                () = carry(&faults, &faults.pause_to_client, Some(&faults.reset_per_mille), server_read, client_write) => {}
            }
        });
    }
}

async fn reject_requests(mut client: TcpStream) {
    let mut head = [0; 4 << 10];
    // Read first: a connection closed over unread bytes is reset, and the refusal with it.
    if client.read(&mut head).await.is_ok_and(|length| length > 0) {
        // A caller that has left needs no refusal.
        let _ = client.write_all(TURNED_AWAY).await;
    }
}

/// Carries one direction. Delayed chunks queue up one behind the other, so a delay costs no
/// throughput.
async fn carry(
    faults: &ProxyFaults,
    pause: &AtomicBool,
    resets: Option<&AtomicU64>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
) {
    let (sender, mut queue) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUED_CHUNKS);
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
                tokio::time::sleep(PAUSE_LOOK).await;
            }
            let breaks = resets.is_some_and(|resets| dice::chance(resets.load(Ordering::Relaxed)));
            let part = if breaks { &chunk[..chunk.len() / 2] } else { &chunk[..] };
            if to.write_all(part).await.is_err() || breaks {
                return;
            }
        }
    };
    tokio::pin!(read, write);
    // The reader's end lets what is queued go out; the writer's end is the connection's.
    tokio::select! {
        () = &mut write => {}
        () = &mut read => write.await,
    }
}
