//! Structured logs: one key=value line for each event, on standard output. A separate thread writes the lines from a
//! bounded buffer, so that a slow reader of standard output blocks no other thread.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tracing::Subscriber;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Capacity of the buffer in bytes. A line that does not fit is dropped and counted.
const MAX_BUFFERED: usize = 256 << 10;
/// Time between two writes of the buffer.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Filter in place of a missing or an invalid one.
const DEFAULT_FILTER: &str = "info";
/// How long the exiting process waits for its last lines to be written. The reader of standard output may have stopped,
/// and a process that does not exit is killed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Lines that are not written yet.
#[derive(Default)]
struct LogBuffer {
    buffered: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

static BUFFER: OnceLock<LogBuffer> = OnceLock::new();
/// Sends flush requests to the log thread; the enclosed sender is notified when the buffer is written.
static FLUSHER: OnceLock<Sender<Sender<()>>> = OnceLock::new();

fn buffer() -> &'static LogBuffer {
    BUFFER.get_or_init(LogBuffer::default)
}

impl LogBuffer {
    fn buffered(&self) -> MutexGuard<'_, Vec<u8>> {
        self.buffered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut buffered = self.buffered();
        if buffered.len() + line.len() > MAX_BUFFERED {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("streamfold_log_lines_dropped_total").increment(1);
            return;
        }
        buffered.extend_from_slice(line);
    }

    fn take(&self) -> Vec<u8> {
        let mut lines = std::mem::take(&mut *self.buffered());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend_from_slice(format!("level=warn event=log_lines_dropped count={dropped}\n").as_bytes());
        }
        lines
    }
}

/// Writes lines to the buffer.
struct LogLine(&'static LogBuffer);

impl Write for LogLine {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.push(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Creates writers to the buffer.
struct BufferWriter;

impl MakeWriter<'_> for BufferWriter {
    type Writer = LogLine;

    fn make_writer(&self) -> LogLine {
        LogLine(buffer())
    }
}

/// Writes the buffered lines, or gives up after [`FLUSH_TIMEOUT`].
pub fn flush() {
    let Some(flusher) = FLUSHER.get() else { return write_buffered() };
    let (written, is_written) = channel();
    // The lines are lost if the thread has ended or standard output is blocked.
    let _ = flusher.send(written);
    let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
}

/// Writes the buffered lines, without a time limit.
fn write_buffered() {
    let lines = buffer().take();
    if lines.is_empty() {
        return;
    }
    let mut output = std::io::stdout().lock();
    // If standard output is closed, the error cannot be reported anywhere.
    let _ = output.write_all(&lines).and_then(|()| output.flush());
}

/// Logs each panic with its source location, since the task that panics cannot log it itself. There is no backtrace:
/// writing one takes tens of milliseconds or more, in which the thread serves nothing else.
fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        let location = panic.location().map(ToString::to_string);
        let error = panic.payload_as_str();
        tracing::error!(event = "panicked", thread = std::thread::current().name(), place = location, error);
        metrics::counter!("streamfold_panics_total").increment(1);
    }));
}

/// A subscriber that writes events to the buffer. An invalid filter is replaced by [`DEFAULT_FILTER`].
fn subscriber(filter: &str) -> impl Subscriber + Send + Sync {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(BufferWriter);
    tracing_subscriber::registry().with(filter).with(layer)
}

/// Whether standard output takes at least one line without blocking.
fn is_writable() -> bool {
    let output = std::io::stdout();
    let mut polled = [PollFd::new(&output, PollFlags::OUT)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}

/// Logs that the program runs. This comes before the settings are read, so only the filter of the flags is known. If a
/// SIGHUP ended a process that has not logged this event, the signal came before the program ignored it.
pub fn log_starting(filter: Option<&str>) {
    tracing::subscriber::with_default(subscriber(filter.unwrap_or(DEFAULT_FILTER)), || {
        tracing::info!(event = "starting", version = env!("CARGO_PKG_VERSION"), pid = std::process::id());
    });
    // Written here, since a process that a signal ends early has no log thread yet. If standard output is blocked, that
    // thread writes the line later, so that the start is not delayed.
    if is_writable() {
        write_buffered();
    }
}

/// Starts logging with a filter such as `info`.
pub fn start(filter: &str) {
    // If logging was started before in this process, that subscriber stays.
    let _ = subscriber(filter).try_init();
    install_panic_hook();
    let (flusher, requests) = channel();
    let thread = std::thread::Builder::new().name("logs".to_owned()).spawn(move || run(&requests));
    match thread {
        // If logging was started before in this process, its thread stays in use.
        Ok(_) => drop(FLUSHER.set(flusher)),
        Err(error) => eprintln!("streamfoldd: starting the log thread: {error}"),
    }
}

/// Writes the buffered lines at intervals and on request.
fn run(requests: &Receiver<Sender<()>>) {
    loop {
        let written = match requests.recv_timeout(FLUSH_INTERVAL) {
            Ok(written) => Some(written),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        write_buffered();
        if let Some(written) = written {
            // The receiver is gone if the flush timed out.
            let _ = written.send(());
        }
    }
}
