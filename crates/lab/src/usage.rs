//! CPU time, memory and file descriptors of a process, read from `/proc`, and the limit of its descriptors.

use std::time::Duration;

use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit, setrlimit};

/// Clock ticks a second in `/proc/PID/stat`; Linux fixes it at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_SIZE: u64 = 4096;
/// How often in a row the peak memory of a process must be the same to count as settled, and the time between two looks.
const SETTLED_CHECKS: u32 = 20;
const SETTLED_INTERVAL: Duration = Duration::from_millis(50);

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

/// The most resident memory that a process has used so far, in bytes; `None` if it does not exist any more.
pub fn peak_memory(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Waits until a process has taken no more memory for a while, since it reads what its callers sent some time after they
/// sent it. Returns its peak in bytes; `None` if it does not exist any more.
pub async fn settled_peak_memory(pid: u32) -> Option<u64> {
    let mut last = peak_memory(pid)?;
    let mut unchanged = 0;
    while unchanged < SETTLED_CHECKS {
        tokio::time::sleep(SETTLED_INTERVAL).await;
        let next = peak_memory(pid)?;
        unchanged = if next == last { unchanged + 1 } else { 0 };
        last = next;
    }
    Some(last)
}

/// The number of file descriptors that a process has open; `None` if it does not exist any more.
pub fn count_descriptors(pid: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}

/// Lowers the number of file descriptors that a running process may open.
///
/// # Errors
/// The process does not exist or belongs to another user.
pub fn limit_descriptors(pid: u32, limit: u32) -> std::io::Result<()> {
    let lowered = Rlimit { current: Some(limit.into()), maximum: getrlimit(Resource::Nofile).maximum };
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    prlimit(pid, Resource::Nofile, lowered)?;
    Ok(())
}

/// Lowers the number of file descriptors of this process, and of those that it starts, until it is dropped.
#[derive(Debug)]
pub struct LoweredDescriptors(Rlimit);

impl LoweredDescriptors {
    /// Lowers the limit.
    ///
    /// # Errors
    /// The system refuses the limit.
    pub fn set(limit: u32) -> std::io::Result<Self> {
        let before = getrlimit(Resource::Nofile);
        setrlimit(Resource::Nofile, Rlimit { current: Some(limit.into()), maximum: before.maximum })?;
        Ok(Self(before))
    }
}

impl Drop for LoweredDescriptors {
    fn drop(&mut self) {
        if let Err(error) = setrlimit(Resource::Nofile, self.0) {
            tracing::warn!(event = "limit_not_restored", %error);
        }
    }
}
