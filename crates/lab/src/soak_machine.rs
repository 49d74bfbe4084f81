//! What the machine did to a soak meanwhile. It excuses nothing; it tells a late node from a
//! machine that gave it no processor when a seed is traced.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::soak_fleet::SoakFleet;

/// How often it is looked.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Waits in a look from here on are told: a node answers in a few milliseconds.
const TOLD_FROM: Duration = Duration::from_millis(100);
/// The system counts stolen time in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);
/// Where the system counts the time of all processors, and the word that is stolen time.
const PROCESSOR_TIMES: &str = "/proc/stat";
const STOLEN_WORD: usize = 8;

/// How long each thread has waited for a processor so far, by process and thread.
type ThreadWaits = HashMap<(u32, String), Duration>;

/// Writes to the log of faults where a thread of a node waited long for a processor, where the
/// host took processors away and where the lab itself woke up late, until it is dropped.
pub async fn watch_machine(fleet: Arc<SoakFleet>) {
    let mut known: Vec<ThreadWaits> = vec![ThreadWaits::new(); fleet.nodes.len()];
    let mut own_known = read_waits(Some(std::process::id()));
    let mut stolen = read_stolen().unwrap_or_default();
    loop {
        let begin = Instant::now();
        tokio::time::sleep(LOOK_EVERY).await;
        tell(&fleet, "the lab woke up late by", begin.elapsed().saturating_sub(LOOK_EVERY));
        for (position, known) in known.iter_mut().enumerate() {
            let now = read_waits(fleet.process_id(position).await);
            tell(&fleet, &format!("node {position} waited for a processor"), longest_wait(known, &now));
            *known = now;
        }
        // Callers and servers live in the lab: where it does not run, requests look late that nodes answered in time.
        let own_now = read_waits(Some(std::process::id()));
        tell(&fleet, "the lab waited for a processor", longest_wait(&own_known, &own_now));
        own_known = own_now;
        let now = read_stolen().unwrap_or_default();
        tell(&fleet, "of all processors together the host took", now.saturating_sub(stolen));
        stolen = now;
    }
}

fn tell(fleet: &SoakFleet, what: &str, span: Duration) {
    if span >= TOLD_FROM {
        fleet.tell(&format!("{what} {} ms", span.as_millis()));
    }
}

/// The longest that a thread waited between two looks.
fn longest_wait(before: &ThreadWaits, now: &ThreadWaits) -> Duration {
    let waited = |(thread, wait): (&(u32, String), &Duration)| {
        let known = before.get(thread).copied().unwrap_or_default();
        wait.saturating_sub(known)
    };
    now.iter().map(waited).max().unwrap_or_default()
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

/// The time in which processes could have run and the host ran others, on all processors.
fn read_stolen() -> Option<Duration> {
    let times = std::fs::read_to_string(PROCESSOR_TIMES).ok()?;
    let ticks: u32 = times.lines().next()?.split_whitespace().nth(STOLEN_WORD)?.parse().ok()?;
    Some(TICK * ticks)
}
