//! Structured logs: one key=value line for each event, on standard output. Lines wait in a
//! bounded buffer that a thread of its own empties, so that nobody waits for a slow reader.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Bytes that may wait; a line that finds no room is dropped and counted.
const MAX_WAITING: usize = 256 << 10;
/// How often the buffer is emptied.
const FLUSH_EVERY: Duration = Duration::from_millis(200);

/// How long the end of the process waits for its last lines to be written. Whoever reads them
/// may have stopped, and a process that does not end is killed.
const FLUSH_WITHIN: Duration = Duration::from_millis(300);

/// Lines that wait to be written.
#[derive(Default)]
struct LogBuffer {
    waiting: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

static BUFFER: OnceLock<LogBuffer> = OnceLock::new();
/// Asks the thread of the logs to write what waits and to say when it has.
static FLUSHER: OnceLock<Sender<Sender<()>>> = OnceLock::new();

fn buffer() -> &'static LogBuffer {
    BUFFER.get_or_init(LogBuffer::default)
}

impl LogBuffer {
    fn waiting(&self) -> MutexGuard<'_, Vec<u8>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, line: &[u8]) {
        let mut waiting = self.waiting();
        if waiting.len() + line.len() > MAX_WAITING {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("streamfold_log_lines_dropped_total").increment(1);
            return;
        }
        waiting.extend_from_slice(line);
    }

    fn take(&self) -> Vec<u8> {
        let mut lines = std::mem::take(&mut *self.waiting());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend_from_slice(format!("level=warn event=log_lines_dropped count={dropped}\n").as_bytes());
        }
        lines
    }
}

/// One line on its way into the buffer.
struct LogLine(&'static LogBuffer);

impl Write for LogLine {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.add(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Makes writers into the buffer.
struct BufferWriter;

impl MakeWriter<'_> for BufferWriter {
    type Writer = LogLine;

    fn make_writer(&self) -> LogLine {
        LogLine(buffer())
    }
}

/// Has what waits written out, within a bounded time.
pub fn flush() {
    let Some(flusher) = FLUSHER.get() else { return write_out() };
    let (written, is_written) = channel();
    // Without the thread, or without room in standard output, the lines stay unwritten.
    let _ = flusher.send(written);
    let _ = is_written.recv_timeout(FLUSH_WITHIN);
}

/// Writes out what waits, however long that takes.
fn write_out() {
    let lines = buffer().take();
    if lines.is_empty() {
        return;
    }
    let mut output = std::io::stdout().lock();
    // Where standard output is gone there is nobody left to tell.
    let _ = output.write_all(&lines).and_then(|()| output.flush());
}

/// Has each panic told as a line with its place, since the task that panics cannot say itself what it was doing.
fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let place = panic.location().map(ToString::to_string);
        let error = panic.payload_as_str();
        tracing::error!(event = "panicked", thread = std::thread::current().name(), place, error);
        metrics::counter!("streamfold_panics_total").increment(1);
    }));
}

/// Starts logging with a filter such as `info`; one that cannot be read counts as `info`.
pub fn start(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(BufferWriter);
    // A second start in one process keeps the first.
    let _ = tracing_subscriber::registry().with(filter).with(layer).try_init();
    log_panics();
    let (flusher, asked) = channel();
    let thread = std::thread::Builder::new().name("logs".to_owned()).spawn(move || run(&asked));
    match thread {
        // A second start in one process keeps the first.
        Ok(_) => drop(FLUSHER.set(flusher)),
        Err(error) => eprintln!("streamfoldd: starting the log thread: {error}"),
    }
}

/// Writes out what waits, time and again and when asked.
fn run(asked: &Receiver<Sender<()>>) {
    loop {
        let written = match asked.recv_timeout(FLUSH_EVERY) {
            Ok(written) => Some(written),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        write_out();
        if let Some(written) = written {
            // Whoever asked may have given up waiting.
            let _ = written.send(());
        }
    }
}
