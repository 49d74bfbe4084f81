//! Processor time and memory of a process, as the system tells them.

use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat`; Linux fixes it at 100 for user space.
const TICKS: f64 = 100.0;
/// Bytes of a page.
const PAGE: u64 = 4096;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory now, in bytes.
    pub memory: u64,
}

/// Reads what a process has used; `None` if it is gone.
pub fn read(pid: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(ProcessUsage { cpu: Duration::from_secs_f64(ticks / TICKS), memory: pages * PAGE })
}
