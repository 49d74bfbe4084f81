//! How long calls of each priority wait for servers across the fleet, from the reports of nodes.
//!
//! The load pattern: a burst or a slowdown of servers makes calls wait in many failure domains at once, while every
//! node sees only its own queues. Nodes die, get partitioned and lag, so the report of a single node must never cause
//! the refusal of requests that all others would serve, and must not outlive the node for long.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::{FailureDomain, NodeId, Priority};

use crate::moment::Moment;

/// Time over which the reported waits of a node decay to zero. Live nodes report many times per second, and a report
/// from a dead node must not refuse callers of the fastest lookups for longer.
const REPORT_LIFE: Duration = Duration::from_secs(1);

/// The last report of one node.
#[derive(Debug, Clone)]
struct WaitReport {
    reported_at: Moment,
    waits: BTreeMap<Priority, Duration>,
}

impl WaitReport {
    fn age(&self, now: Moment) -> Duration {
        now.since(self.reported_at)
    }

    fn is_alive(&self, now: Moment) -> bool {
        self.age(now) < REPORT_LIFE
    }

    /// The reported wait of a priority, decayed linearly by the report's age; zero if none of its calls waited.
    fn wait(&self, now: Moment, priority: Priority) -> Duration {
        let remaining = 1.0 - self.age(now).as_secs_f64() / REPORT_LIFE.as_secs_f64();
        self.waits.get(&priority).copied().unwrap_or_default().mul_f64(remaining.clamp(0.0, 1.0))
    }
}

/// The wait of calls of a priority on which half of the failure domains agree.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MedianWait {
    /// The lower median over failure domains: the least wait that at least half of them do not exceed.
    pub wait: Duration,
    /// The age of the oldest report behind it.
    pub age: Duration,
}

/// The reports of all nodes, this one included, on how long calls wait.
#[derive(Debug, Clone, Default)]
pub struct WaitTracker {
    domains: BTreeMap<FailureDomain, BTreeMap<NodeId, WaitReport>>,
}

impl WaitTracker {
    /// Records a node's report: the waits of the priorities that had waiting calls recently.
    pub fn note(
        &mut self,
        now: Moment,
        domain: &FailureDomain,
        node: &NodeId,
        waits: impl IntoIterator<Item = (Priority, Duration)>,
    ) {
        self.drop_expired(now);
        let report = WaitReport { reported_at: now, waits: waits.into_iter().collect() };
        self.domains.entry(domain.clone()).or_default().insert(node.clone(), report);
    }

    /// Drops expired reports.
    fn drop_expired(&mut self, now: Moment) {
        for reports in self.domains.values_mut() {
            reports.retain(|_, report| report.is_alive(now));
        }
        self.domains.retain(|_, reports| !reports.is_empty());
    }

    /// How long calls of a priority wait: the lower median over failure domains of the lower median over the nodes of
    /// each, from reports that have not expired. Without any report the wait is zero.
    pub fn wait(&self, now: Moment, priority: Priority) -> MedianWait {
        let alive = |reports: &BTreeMap<NodeId, WaitReport>| -> Vec<MedianWait> {
            let alive = reports.values().filter(|report| report.is_alive(now));
            alive.map(|report| MedianWait { wait: report.wait(now, priority), age: report.age(now) }).collect()
        };
        let domains = self.domains.values().filter_map(|reports| lower_median(alive(reports)));
        lower_median(domains.collect()).unwrap_or_default()
    }
}

/// The lower median of the waits, so that the longest of several waits never counts alone; `None` without waits.
fn lower_median(mut waits: Vec<MedianWait>) -> Option<MedianWait> {
    waits.sort_unstable_by_key(|wait| wait.wait);
    let age = waits.iter().map(|wait| wait.age).max()?;
    let middle = (waits.len() - 1) / 2;
    Some(MedianWait { wait: waits[middle].wait, age })
}
