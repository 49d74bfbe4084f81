//! A node's port sends bytes that are no answer, without end. The command must end with an exit code that says that the
//! outcome is unknown, after a bounded number of bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The exit code of a command whose outcome is unknown.
const EXIT_UNKNOWN: i32 = 4;
/// What may be sent until the command ends, in bytes, with the heads of chunks and what the buffers of sockets hold.
const MAX_SENT: u64 = 160 << 20;
/// How often a piece is repeated in one write.
const REPEATS: usize = 4_096;

/// The beginning of an answer, and the piece that follows it without end.
const ENDLESS: [(&str, &str); 5] = [
    ("", "\u{1}garbage"),
    ("HTTP/1.1 200 OK\r\nX: ", "x"),
    ("HTTP/1.1 200 OK\r\n", "X: x\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "garbage"),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "64\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\r\n",
    ),
];

fn start(beginning: &'static str, piece: &'static str) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, sent) = (listener.local_addr().expect("an address"), Arc::new(AtomicU64::new(0)));
    let counted = sent.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            answer(stream, beginning, piece, &counted);
        }
    });
    (address, sent)
}

fn answer(mut stream: TcpStream, beginning: &str, piece: &str, sent: &AtomicU64) {
    let mut request = [0; 4_096];
    if !stream.read(&mut request).is_ok_and(|len| len > 0) {
        return;
    }
    let pieces = piece.repeat(REPEATS);
    let mut next = beginning;
    while stream.write_all(next.as_bytes()).is_ok() {
        sent.fetch_add(next.len() as u64, Ordering::Relaxed);
        next = &pieces;
    }
}

/// Guards against a command that keeps all bytes that a node sends.
#[test]
fn an_endless_answer_of_a_node_ends_the_command() {
    for (beginning, piece) in ENDLESS {
        let (address, sent) = start(beginning, piece);
        let mut command = Command::new(env!("CARGO_BIN_EXE_streamfold"));
        let output =
            command.args(["status", "--operators", &address.to_string()]).output().expect("the command starts");
        let sent = sent.load(Ordering::Relaxed);
        println!("{beginning:?} {piece:?}: {sent} bytes, {}", String::from_utf8_lossy(&output.stderr).trim());
        assert_eq!(output.status.code(), Some(EXIT_UNKNOWN), "{beginning:?} {piece:?}");
        assert!(sent <= MAX_SENT, "{beginning:?} {piece:?}: {sent} bytes");
    }
}
