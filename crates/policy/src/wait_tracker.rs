//! How long calls of each priority wait for servers, as nodes tell it.
//!
//! The load pattern: a burst, or servers that became slow, makes calls wait in many failure domains at once, and
//! every node sees only its own lines. Nodes die, are cut off and lag, so what one of them tells must never turn
//! away what all others would serve, and must not outlive it.

use std::collections::BTreeMap;
use std::time::Duration;

use streamfold_model::{FailureDomain, NodeId, Priority};

use crate::moment::Moment;

/// What a node told counts for so long, less and less: nodes that live tell anew many times a second, and callers
/// of the quickest lookups should not be turned away for longer by one that died.
const REPORT_LIFE: Duration = Duration::from_secs(1);

/// What one node told last.
#[derive(Debug, Clone)]
struct WaitReport {
    told: Moment,
    waits: BTreeMap<Priority, Duration>,
}

impl WaitReport {
    fn age(&self, now: Moment) -> Duration {
        now.since(self.told)
    }

    fn is_alive(&self, now: Moment) -> bool {
        self.age(now) < REPORT_LIFE
    }

    /// What it tells of a priority, less what its age has taken; nothing if none of its calls waited.
    fn wait(&self, now: Moment, priority: Priority) -> Duration {
        let kept = 1.0 - self.age(now).as_secs_f64() / REPORT_LIFE.as_secs_f64();
        self.waits.get(&priority).copied().unwrap_or_default().mul_f64(kept.clamp(0.0, 1.0))
    }
}

/// How long calls of a priority wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MedianWait {
    /// The least wait that at least half of the failure domains do not exceed.
    pub wait: Duration,
    /// The age of the oldest report that it rests on.
    pub age: Duration,
}

/// What nodes tell of waiting calls, this one among them.
#[derive(Debug, Clone, Default)]
pub struct WaitTracker {
    domains: BTreeMap<FailureDomain, BTreeMap<NodeId, WaitReport>>,
}

impl WaitTracker {
    /// Notes what a node tells now: the waits of those priorities of which any call waited lately.
    pub fn note(
        &mut self,
        now: Moment,
        domain: &FailureDomain,
        node: &NodeId,
        waits: impl IntoIterator<Item = (Priority, Duration)>,
    ) {
        self.forget(now);
        let report = WaitReport { told: now, waits: waits.into_iter().collect() };
        self.domains.entry(domain.clone()).or_default().insert(node.clone(), report);
    }

    /// Drops reports that no longer count.
    fn forget(&mut self, now: Moment) {
        for reports in self.domains.values_mut() {
            reports.retain(|_, report| report.is_alive(now));
        }
        self.domains.retain(|_, reports| !reports.is_empty());
    }

    /// How long calls of a priority wait, as most of those agree on that were heard lately: nodes within their
    /// failure domain, and failure domains with each other. Nothing heard is no wait.
    pub fn wait(&self, now: Moment, priority: Priority) -> MedianWait {
        let alive = |reports: &BTreeMap<NodeId, WaitReport>| -> Vec<MedianWait> {
            let alive = reports.values().filter(|report| report.is_alive(now));
            alive.map(|report| MedianWait { wait: report.wait(now, priority), age: report.age(now) }).collect()
        };
        let domains = self.domains.values().filter_map(|reports| agree(alive(reports)));
        agree(domains.collect()).unwrap_or_default()
    }
}

/// The least wait that at least half of some views do not exceed (the lower median), so that of several views the
/// longest alone never counts; none without a view.
fn agree(mut views: Vec<MedianWait>) -> Option<MedianWait> {
    views.sort_unstable_by_key(|view| view.wait);
    let age = views.iter().map(|view| view.age).max()?;
    let middle = (views.len() - 1) / 2;
    Some(MedianWait { wait: views[middle].wait, age })
}
