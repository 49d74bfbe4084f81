//! Admission control of callers' requests at this node: a request starts at once, waits in the queue, or is refused.

use std::sync::Arc;

use streamfold_model::CallerName;
use streamfold_policy::{Admission, AdmissionRefusal, AdmissionRequest, Moment, WorkReport};
use tokio::sync::oneshot;

use crate::caller_error::CallerError;
use crate::callers::RequestContext;
use crate::node::Node;
use crate::stats;

/// The permit of a running request. Dropping it frees the slot and starts the next queued request.
pub struct AdmissionPermit {
    node: Arc<Node>,
    caller: CallerName,
    started: Moment,
    /// Times of the request's work so far, from which the admission limit is adjusted.
    pub work: WorkReport,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let started = {
            let mut admission = self.node.admission();
            let started = admission.finish(now, &self.caller, now.since(self.started), self.work);
            stats::set_admission_limit(admission.limit());
            started
        };
        for (caller, tag) in started {
            let permit = Self { node: self.node.clone(), caller, started: now, work: WorkReport::default() };
            // If the receiver is gone, the permit is dropped here and starts the next request.
            let _ = tag.send(permit);
        }
    }
}

/// Removes a request from the queue when its future is dropped.
struct WaitGuard<'a> {
    node: &'a Node,
    caller: &'a CallerName,
    deadline: Moment,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.node.admission().cancel(self.caller, self.deadline, self.number);
    }
}

/// Admits a request, after waiting in the queue if the node is at its limit.
///
/// # Errors
/// The request is refused, or its deadline passes in the queue. It did not run.
pub async fn admit(
    node: &Arc<Node>,
    context: &RequestContext,
    deadline: Moment,
) -> Result<AdmissionPermit, CallerError> {
    let caller = &context.caller.name;
    let (rate, concurrency) = (context.caller.rate, context.caller.concurrency);
    let request = AdmissionRequest { caller: caller.clone(), rate, concurrency, deadline };
    let (tag, receiver) = oneshot::channel();
    let now = node.clock.now();
    let admission = node.admission().admit(now, &request, tag);
    let number = match admission {
        Admission::Started => {
            return Ok(AdmissionPermit {
                node: node.clone(),
                caller: caller.clone(),
                started: now,
                work: WorkReport::default(),
            });
        }
        Admission::Refused(refusal) => return Err(refuse(refusal)),
        // The tag of the displaced request is dropped, which ends its wait with a refusal.
        Admission::Waiting(number) | Admission::Displaced(number, _) => number,
    };
    stats::count_admission_wait();
    let _guard = WaitGuard { node, caller, deadline, number };
    let granted = node.unless_given_up(tokio::time::timeout(deadline.since(now), receiver)).await;
    let granted = granted.ok_or(CallerError::Stopping)?;
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
