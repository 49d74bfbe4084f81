//! CPU time and memory of a process, read from `/proc`.

use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat`; Linux fixes it at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_SIZE: u64 = 4096;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// CPU time since the process started.
    pub cpu: Duration,
    /// Current resident memory, in bytes.
    pub memory: u64,
}

/// Reads the resource usage of a process; `None` if it does not exist any more.
pub fn read(pid: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(ProcessUsage { cpu: Duration::from_secs_f64(ticks / TICKS_PER_SECOND), memory: pages * PAGE_SIZE })
}
