//! A link to a node that can fall silent: connections stay open, and nothing arrives any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// The link to one node.
pub struct SilentLink {
    /// The address that stands for the node.
    pub address: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl SilentLink {
    /// Starts a link to the node at an address.
    pub async fn start(node: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let link = Self { address: listener.local_addr().expect("an address"), is_silent: Arc::default() };
        tokio::spawn(accept(listener, node, link.is_silent.clone()));
        link
    }

    /// Delivers nothing any more.
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }
}

async fn accept(listener: TcpListener, node: SocketAddr, is_silent: Arc<AtomicBool>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(node).await else { continue };
        let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
        tokio::spawn(copy(near_read, far_write, is_silent.clone()));
        tokio::spawn(copy(far_read, near_write, is_silent.clone()));
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_silent: Arc<AtomicBool>) {
    let mut buffer = [0; 4_096];
    loop {
        let read = from.read(&mut buffer).await;
        if is_silent.load(Ordering::Relaxed) {
            // Both connections stay open.
            std::future::pending::<()>().await;
        }
        let Some(len) = read.ok().filter(|len| *len > 0) else { return };
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
