//! Bytes that are no answer may come without end, in a head or in a body, until the caller closes. A call must end, and
//! its connection with it, after a bounded number of bytes or at the call's deadline; nothing reads on after that.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::Full;
use streamfold_policy::Moment;
use streamfold_router::answer_memory::AnswerReservation;
use streamfold_router::caller_limits::CallerLimits;
use streamfold_router::connection::{AnswerLimits, ServerConnection};
use streamfold_router::connection_pool::{ConnectionPool, LeaseTerms, RequestKey};
use streamfold_router::error::ExchangeError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The longest wait for a condition; longer than any passing test takes.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The longest body that the test accepts, in bytes.
const MAX_BODY_LEN: usize = 1 << 20;
/// What the buffers of the two sockets hold at most, in bytes.
const MAX_BUFFERED: usize = 16 << 20;
/// The pause between two pieces of a slow answer.
const DRIP_INTERVAL: Duration = Duration::from_millis(5);
/// The time that a call has for a slow answer.
const CALL_TIME: Duration = Duration::from_millis(300);

/// A faulty server. It sends a beginning, then a piece again and again until its connection is closed.
#[derive(Clone)]
struct EndlessServer {
    beginning: &'static str,
    piece: &'static str,
    /// The number of times the piece is repeated in one write.
    repeats: usize,
    pause: Duration,
}

impl EndlessServer {
    /// A server that sends as fast as its caller reads.
    const fn fast(beginning: &'static str, piece: &'static str) -> Self {
        Self { beginning, piece, repeats: 1_024, pause: Duration::ZERO }
    }

    fn slow(self) -> Self {
        Self { repeats: 1, pause: DRIP_INTERVAL, ..self }
    }

    async fn start(self) -> Attack {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sent, closed) = (Arc::new(AtomicUsize::new(0)), watch::Sender::new(0));
        let attack = Attack { address, sent: sent.clone(), closed: closed.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, sent, closed) = (self.clone(), sent.clone(), closed.clone());
                tokio::spawn(async move {
                    server.send(stream, &sent).await;
                    closed.send_modify(|closed| *closed += 1);
                });
            }
        });
        attack
    }

    /// Answers a request until the connection is closed.
    async fn send(&self, mut stream: TcpStream, sent: &AtomicUsize) {
        let mut request = [0; 4_096];
        if !stream.read(&mut request).await.is_ok_and(|len| len > 0) {
            return;
        }
        let pieces = self.piece.repeat(self.repeats);
        let mut next = self.beginning.as_bytes();
        while stream.write_all(next).await.is_ok() {
            sent.fetch_add(next.len(), Ordering::Relaxed);
            next = pieces.as_bytes();
            tokio::time::sleep(self.pause).await;
        }
    }
}

/// What a faulty server has done so far.
struct Attack {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    /// Number of connections that its callers have closed.
    closed: watch::Sender<usize>,
}

impl Attack {
    async fn wait_closed(&self, connections: usize) {
        let mut closed = self.closed.subscribe();
        let closing = closed.wait_for(|closed| *closed >= connections);
        assert!(
            tokio::time::timeout(MAX_WAIT, closing).await.is_ok(),
            "{:?} of {connections} closed",
            *self.closed.borrow()
        );
    }
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/x").header("host", "h").body(Full::default()).expect("a request")
}

/// Calls the server once within a time; returns the error, or `None` if the time was over.
async fn call(attack: &Attack, memory: &Arc<CallerLimits>, time: Duration) -> Option<ExchangeError> {
    let mut connection = ServerConnection::open(attack.address, MAX_WAIT).await.expect("a connection");
    let exchange = connection.exchange(request(), AnswerLimits { body: MAX_BODY_LEN, memory });
    tokio::time::timeout(time, exchange).await.ok().map(|answer| answer.map(|_| ()).expect_err("no answer"))
}

/// Answers without end, in each part of an answer.
const ENDLESS: [(&str, EndlessServer); 9] = [
    ("no protocol", EndlessServer::fast("", "\u{1}garbage")),
    ("a status line", EndlessServer::fast("HTTP/1.1 200 ", "OK")),
    ("a header", EndlessServer::fast("HTTP/1.1 200 OK\r\nX: ", "x")),
    ("headers", EndlessServer::fast("HTTP/1.1 200 OK\r\n", "X: x\r\n")),
    ("informational responses", EndlessServer::fast("", "HTTP/1.1 100 Continue\r\n\r\n")),
    ("a body to the end of the connection", EndlessServer::fast("HTTP/1.1 200 OK\r\n\r\n", "x")),
    ("a body of a false length", EndlessServer::fast("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "x")),
    ("chunks", EndlessServer::fast("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n")),
    ("trailers", EndlessServer::fast("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n")),
];

/// Guards against a call that reads for as long as a server sends.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_end_is_read_only_up_to_a_limit() {
    let memory = Arc::new(CallerLimits::default());
    let mut results = Vec::new();
    for (name, server) in ENDLESS {
        let attack = server.start().await;
        let error = call(&attack, &memory, MAX_WAIT).await;
        attack.wait_closed(1).await;
        let sent = attack.sent.load(Ordering::Relaxed);
        assert!(sent <= MAX_BODY_LEN + MAX_BUFFERED, "{name}: {sent} bytes were sent");
        results.push(format!("{name}: {}", error.map_or("time is over".to_owned(), |error| error.to_string())));
    }
    insta::assert_snapshot!(results.join("\n"));
}

/// Guards against a slow answer without end that is read on after the time of its call.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_answer_without_end_ends_with_the_time_of_its_call() {
    let memory = Arc::new(CallerLimits::default());
    for (name, server) in ENDLESS.into_iter().skip(1) {
        let attack = server.slow().start().await;
        let error = call(&attack, &memory, CALL_TIME).await;
        attack.wait_closed(1).await;
        // A false length is refused at once, and headers beyond their greatest number before that time.
        let is_early = matches!(error, Some(ExchangeError::AnswerTooLong | ExchangeError::AnswerLost));
        assert!(error.is_none() || is_early, "{name}: {error:?}");
    }
}

/// Guards against memory that grows with the number of long answers that are read at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_read_together_share_a_limit() {
    const CALLS: usize = 40;
    const LONG_BODY: usize = 16 << 20;
    let memory = Arc::new(CallerLimits::default());
    // Each call stays below the limit of one answer, and the server then holds the connection open.
    let server = EndlessServer { repeats: 4 << 20, pause: Duration::from_millis(50), ..ENDLESS[5].1.clone() };
    let attack = server.start().await;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..CALLS {
        let (memory, address) = (memory.clone(), attack.address);
        calls.spawn(async move {
            let mut connection = ServerConnection::open(address, MAX_WAIT).await.expect("a connection");
            let limits = AnswerLimits { body: LONG_BODY, memory: &memory };
            connection.exchange(request(), limits).await.map(|_| ()).expect_err("no answer")
        });
    }
    let errors = calls.join_all().await;
    assert!(errors.iter().all(|error| *error == ExchangeError::AnswerTooLong), "{errors:?}");
    attack.wait_closed(CALLS).await;
    // All memory was given back.
    let mut reservation = AnswerReservation::new(memory.clone());
    assert!(reservation.grow((64 << 20) + (64 << 10)).await);
    // Short answers need none of it.
    assert!(AnswerReservation::new(memory.clone()).grow(64 << 10).await);
    assert!(!AnswerReservation::new(memory).grow(1 << 20).await);
}

/// Guards against idle connections that fill the machine's buffers, or deliver their bytes to the next request.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_on_an_idle_connection_close_it() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=3600\r\n\r\n";
    let attack = EndlessServer { pause: DRIP_INTERVAL, ..EndlessServer::fast(whole, "HTTP/1.1 200 OK\r\n\r\n") };
    let attack = attack.start().await;
    let (pool, memory) = (ConnectionPool::default(), Arc::new(CallerLimits::default()));
    pool.set_connection_limit(1);
    let terms = LeaseTerms {
        now: Moment::default(),
        request: RequestKey::of(&HeaderValue::from_static("r")),
        is_once: false,
        timeout: MAX_WAIT,
    };
    let mut leased = pool.lease(attack.address, &terms).await.expect("a connection");
    let limits = AnswerLimits { body: MAX_BODY_LEN, memory: &memory };
    leased.connection.exchange(request(), limits).await.expect("an answer");
    pool.put_back(terms.now, leased, Some(Duration::from_secs(3_600)));
    let started = Instant::now();
    while *attack.closed.borrow() == 0 {
        assert!(started.elapsed() < MAX_WAIT, "the connection stays open");
        pool.sweep(terms.now);
        tokio::time::sleep(DRIP_INTERVAL).await;
    }
    assert!(attack.sent.load(Ordering::Relaxed) <= MAX_BUFFERED);
}

/// Guards against bytes that arrive before a request is sent and are taken for its answer.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_arrive_before_a_request_is_sent_are_no_answer_to_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut connection = ServerConnection::open(address, MAX_WAIT).await.expect("a connection");
    let (mut server, _) = listener.accept().await.expect("a connection");
    server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("bytes are sent");
    let started = Instant::now();
    while connection.is_usable() {
        assert!(started.elapsed() < MAX_WAIT, "the bytes are not noticed");
        tokio::time::sleep(DRIP_INTERVAL).await;
    }
    let memory = Arc::new(CallerLimits::default());
    let limits = AnswerLimits { body: MAX_BODY_LEN, memory: &memory };
    assert_eq!(connection.exchange(request(), limits).await.map(|_| ()), Err(ExchangeError::NotSent));
}
