//! Which calls a stopping node still makes: none that is expected to end only after the node has.
//!
//! The load pattern: servers that work for seconds, and requests that arrive until the balancer has removed the node. A
//! call that the node abandons at its end costs a server its work and the caller its time, and a request that must not
//! run twice is then lost: nobody knows whether it has run. If it is refused instead, another node serves it.

use std::time::Duration;

use crate::finish_estimate::ServerEstimate;

/// Whether a call to a server that is made now is expected to end within `left`, the time until the node ends. `usual`
/// is the measured usual duration of such calls, if enough of them were measured. What a server is observed to take
/// counts only if the observation is confirmed. Without either, the call is expected to end in time.
pub fn is_call_in_time(left: Duration, usual: Option<Duration>, estimate: ServerEstimate) -> bool {
    let observed = estimate.is_confirmed().then_some(estimate.finish);
    usual.max(observed).is_none_or(|expected| expected <= left)
}
