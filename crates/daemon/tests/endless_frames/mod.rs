//! A faulty server that sends HTTP/2 frames that are no answer, without end, until its connection is closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The longest wait for a condition; longer than any passing test takes.
pub const MAX_WAIT: Duration = Duration::from_secs(10);
/// What may be sent until the connection is closed, in bytes, with what the buffers of the two sockets hold.
const MAX_SENT: usize = 64 << 20;
/// About how much is written at once, in bytes.
const WRITE_LEN: usize = 64 << 10;

/// Types of HTTP/2 frames (RFC 9113, section 6), and one that is unknown.
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
const PRIORITY: u8 = 2;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
pub const CONTINUATION: u8 = 9;
const UNKNOWN: u8 = 0x42;
pub const END_STREAM: u8 = 1;
pub const END_HEADERS: u8 = 4;
/// The header block of an answer with status 200, one of an informational response, and a header.
pub const STATUS_200: &[u8] = &[0x88];
pub const STATUS_100: &[u8] = &[0x08, 3, b'1', b'0', b'0'];
const HEADER: &[u8] = &[0, 1, b'x', 1, b'x'];

/// Encodes an HTTP/2 frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// The beginning of an answer on a stream, and what follows it without end.
pub struct EndlessFrames {
    pub name: &'static str,
    pub beginning: fn(u32) -> Vec<u8>,
    pub piece: fn(u32) -> Vec<u8>,
}

pub const ENDLESS: [EndlessFrames; 13] = [
    EndlessFrames {
        name: "informational responses",
        beginning: |_| Vec::new(),
        piece: |stream| frame(HEADERS, END_HEADERS, stream, STATUS_100),
    },
    EndlessFrames {
        name: "a header block",
        beginning: |stream| frame(HEADERS, 0, stream, STATUS_200),
        piece: |stream| frame(CONTINUATION, 0, stream, &HEADER.repeat(3_000)),
    },
    EndlessFrames {
        name: "empty continuations",
        beginning: |stream| frame(HEADERS, 0, stream, STATUS_200),
        piece: |stream| frame(CONTINUATION, 0, stream, &[]),
    },
    EndlessFrames {
        name: "a body",
        beginning: |stream| frame(HEADERS, END_HEADERS, stream, STATUS_200),
        piece: |stream| frame(DATA, 0, stream, &[b'x'; 1 << 14]),
    },
    EndlessFrames {
        name: "bytes of a body",
        beginning: |stream| frame(HEADERS, END_HEADERS, stream, STATUS_200),
        piece: |stream| frame(DATA, 0, stream, b"x"),
    },
    EndlessFrames {
        name: "empty pieces of a body",
        beginning: |stream| frame(HEADERS, END_HEADERS, stream, STATUS_200),
        piece: |stream| frame(DATA, 0, stream, &[]),
    },
    EndlessFrames { name: "pings", beginning: |_| Vec::new(), piece: |_| frame(PING, 0, 0, &[1; 8]) },
    EndlessFrames { name: "settings", beginning: |_| Vec::new(), piece: |_| frame(SETTINGS, 0, 0, &[]) },
    EndlessFrames { name: "unknown frames", beginning: |_| Vec::new(), piece: |_| frame(UNKNOWN, 0, 0, &[0; 1 << 14]) },
    EndlessFrames { name: "windows", beginning: |_| Vec::new(), piece: |_| frame(WINDOW_UPDATE, 0, 0, &[0, 0, 0, 1]) },
    EndlessFrames {
        name: "priorities",
        beginning: |_| Vec::new(),
        piece: |stream| frame(PRIORITY, 0, stream, &[0, 0, 0, 0, 0]),
    },
    EndlessFrames {
        name: "resets",
        beginning: |_| Vec::new(),
        piece: |stream| frame(RST_STREAM, 0, stream, &[0, 0, 0, 8]),
    },
    EndlessFrames { name: "no protocol", beginning: |_| Vec::new(), piece: |_| b"\x01garbage".to_vec() },
];

/// A running faulty server.
pub struct EndlessServer {
    pub address: SocketAddr,
    /// Bytes that were sent after the first request.
    pub sent: Arc<AtomicUsize>,
    /// Connections that were closed under their answers.
    closed: watch::Sender<usize>,
}

impl EndlessServer {
    pub async fn start(frames: &'static EndlessFrames, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sent, closed) = (Arc::new(AtomicUsize::new(0)), watch::Sender::new(0));
        let upstream = Self { address, sent: sent.clone(), closed: closed.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, closed) = (sent.clone(), closed.clone());
                tokio::spawn(async move {
                    if serve(stream, frames, pause, &sent).await.is_some() {
                        closed.send_modify(|closed| *closed += 1);
                    }
                });
            }
        });
        upstream
    }

    /// Waits until the connection of the first request is closed; returns why not, if it stays open or is closed late.
    pub async fn find_unclosed(&self, name: &str) -> Option<String> {
        let mut closed = self.closed.subscribe();
        let closing = closed.wait_for(|closed| *closed > 0);
        let is_closed = tokio::time::timeout(MAX_WAIT, closing).await.is_ok();
        let sent = self.sent.load(Ordering::Relaxed);
        println!("{name}: closed {is_closed}, {sent} bytes sent");
        let is_bounded = is_closed && sent <= MAX_SENT;
        (!is_bounded).then(|| format!("{name}: closed {is_closed}, {sent} bytes sent"))
    }
}

/// Opens HTTP/2 and answers the first request until the connection is closed; `None` if there was none.
async fn serve(mut stream: TcpStream, frames: &EndlessFrames, pause: Duration, sent: &AtomicUsize) -> Option<()> {
    let mut preface = [0; 24];
    stream.read_exact(&mut preface).await.ok()?;
    stream.write_all(&frame(SETTINGS, 0, 0, &[])).await.ok()?;
    let id = read_request(&mut stream).await?;
    let (mut read, mut write) = stream.into_split();
    // What the caller sends is read and dropped, so that it never waits for this server.
    tokio::spawn(async move {
        let mut dropped = vec![0; WRITE_LEN];
        while read.read(&mut dropped).await.is_ok_and(|len| len > 0) {}
    });
    let piece = (frames.piece)(id);
    let repeats = if pause.is_zero() { (WRITE_LEN / piece.len()).max(1) } else { 1 };
    let pieces = piece.repeat(repeats);
    let mut next = (frames.beginning)(id);
    while write.write_all(&next).await.is_ok() {
        sent.fetch_add(next.len(), Ordering::Relaxed);
        next.clone_from(&pieces);
        tokio::time::sleep(pause).await;
    }
    Some(())
}

/// Reads frames up to the head of a request; returns its stream.
async fn read_request(stream: &mut TcpStream) -> Option<u32> {
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).await.ok()?;
        let mut payload = vec![0; u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize];
        stream.read_exact(&mut payload).await.ok()?;
        if head[3] == HEADERS {
            return Some(u32::from_be_bytes([head[5], head[6], head[7], head[8]]));
        }
    }
}
