//! Records CPU starvation of the machine during a soak. It excuses no violation; when a seed is
//! investigated, it distinguishes a slow node from one that the machine gave no processor.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::soak_fleet::SoakFleet;

/// How often the counters of the system are read.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Waits of at least this length within one interval are logged: a node answers in a few milliseconds.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(100);
/// Unit of the stolen time: the system counts it in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);
/// File in which the system counts the time of all processors, and the index of the field with the stolen time.
const CPU_TIMES_FILE: &str = "/proc/stat";
const STOLEN_FIELD: usize = 8;

/// Total time that each thread has waited for a processor, by process and thread.
type ThreadWaits = HashMap<(u32, String), Duration>;

/// Writes to the log of faults when a thread of a node or of the lab waited long for a processor,
/// when the host took processors away and when the lab itself woke up late. Runs until it is dropped.
pub async fn watch_machine(fleet: Arc<SoakFleet>) {
    let mut previous: Vec<ThreadWaits> = vec![ThreadWaits::new(); fleet.nodes.len()];
    let mut lab_previous = read_waits(Some(std::process::id()));
    let mut stolen = read_stolen().unwrap_or_default();
    loop {
        let start = Instant::now();
        tokio::time::sleep(READ_INTERVAL).await;
        log_if_long(&fleet, "the lab woke up late by", start.elapsed().saturating_sub(READ_INTERVAL));
        for (position, previous) in previous.iter_mut().enumerate() {
            let current = read_waits(fleet.process_id(position).await);
            log_if_long(&fleet, &format!("node {position} waited for a processor"), longest_wait(previous, &current));
            *previous = current;
        }
        // Callers and servers run in the lab's process: while it gets no processor, requests seem late that the
        // nodes answered in time.
        let lab_current = read_waits(Some(std::process::id()));
        log_if_long(&fleet, "the lab waited for a processor", longest_wait(&lab_previous, &lab_current));
        lab_previous = lab_current;
        let current = read_stolen().unwrap_or_default();
        log_if_long(&fleet, "of all processors together the host took", current.saturating_sub(stolen));
        stolen = current;
    }
}

fn log_if_long(fleet: &SoakFleet, what: &str, duration: Duration) {
    if duration >= MIN_LOGGED_WAIT {
        fleet.log_event(&format!("{what} {} ms", duration.as_millis()));
    }
}

/// The longest time that a single thread waited between two readings.
fn longest_wait(previous: &ThreadWaits, current: &ThreadWaits) -> Duration {
    let waited = |(thread, wait): (&(u32, String), &Duration)| {
        let earlier = previous.get(thread).copied().unwrap_or_default();
        wait.saturating_sub(earlier)
    };
    current.iter().map(waited).max().unwrap_or_default()
}

fn read_waits(process: Option<u32>) -> ThreadWaits {
    let Some(process) = process else { return ThreadWaits::new() };
    let Ok(threads) = std::fs::read_dir(format!("/proc/{process}/task")) else { return ThreadWaits::new() };
    let read = |thread: std::fs::DirEntry| {
        let counts = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        let waited = counts.split_whitespace().nth(1)?.parse().ok()?;
        Some(((process, thread.file_name().to_string_lossy().into_owned()), Duration::from_nanos(waited)))
    };
    threads.flatten().filter_map(read).collect()
}

/// Stolen time, summed over all processors: the time in which processes could have run, but the host ran others.
fn read_stolen() -> Option<Duration> {
    let times = std::fs::read_to_string(CPU_TIMES_FILE).ok()?;
    let ticks: u32 = times.lines().next()?.split_whitespace().nth(STOLEN_FIELD)?.parse().ok()?;
    Some(TICK * ticks)
}
