//! Lets callers' requests in at this node, at once, after waiting, or not at all.

use std::sync::Arc;

use streamfold_model::CallerName;
use streamfold_policy::{Admission, AdmissionRefusal, AdmissionRequest, Moment, WorkReport};
use tokio::sync::oneshot;

use crate::caller_error::CallerError;
use crate::callers::CallerVisit;
use crate::node::Node;
use crate::stats;

/// A request that was let in, until it ends. Dropping it gives its place to a waiting one.
pub struct AdmittedVisit {
    node: Arc<Node>,
    caller: CallerName,
    started: Moment,
    /// How its work went, filled in as it goes.
    pub work: WorkReport,
}

impl Drop for AdmittedVisit {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let started = {
            let mut gate = self.node.gate();
            let started = gate.finish(now, &self.caller, now.since(self.started), self.work);
            stats::set_admission_limit(gate.limit());
            started
        };
        for (caller, tag) in started {
            let visit = Self { node: self.node.clone(), caller, started: now, work: WorkReport::default() };
            // Nobody may wait for it any more; then it comes back and gives its place to the next.
            let _ = tag.send(visit);
        }
    }
}

/// Takes a waiting request out of the queue when nobody waits for it any more.
struct WaitGuard<'a> {
    node: &'a Node,
    caller: &'a CallerName,
    deadline: Moment,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.node.gate().cancel(self.caller, self.deadline, self.number);
    }
}

/// Lets a request in.
///
/// # Errors
/// It is refused and did not run.
pub async fn let_in(node: &Arc<Node>, visit: &CallerVisit, deadline: Moment) -> Result<AdmittedVisit, CallerError> {
    let caller = &visit.caller.name;
    let (rate, concurrency) = (visit.caller.rate, visit.caller.concurrency);
    let ask = AdmissionRequest { caller: caller.clone(), rate, concurrency, deadline };
    let (tag, place) = oneshot::channel();
    let now = node.clock.now();
    let admission = node.gate().admit(now, &ask, tag);
    let number = match admission {
        Admission::Started => {
            return Ok(AdmittedVisit {
                node: node.clone(),
                caller: caller.clone(),
                started: now,
                work: WorkReport::default(),
            });
        }
        Admission::Refused(refusal) => return Err(refuse(refusal)),
        // The one given up learns it by its tag's end.
        Admission::Waiting(number) | Admission::Displaced(number, _) => number,
    };
    stats::count_admission_wait();
    let _guard = WaitGuard { node, caller, deadline, number };
    let granted = tokio::time::timeout(deadline.since(now), place).await;
    let overloaded = CallerError::Overloaded(deadline.since(now));
    granted.map_err(|_| overloaded.clone())?.map_err(|_| overloaded)
}

fn refuse(refusal: AdmissionRefusal) -> CallerError {
    match refusal {
        AdmissionRefusal::OverRate(wait) => CallerError::OverRate(wait),
        AdmissionRefusal::OverConcurrency => CallerError::OverConcurrency,
        AdmissionRefusal::Overloaded(wait) => CallerError::Overloaded(wait),
    }
}
