//! Until when a server whose entry is gone may still be used.
//!
//! An entry is gone because its server has left, or because the platform's store lost the entries of servers for a
//! moment; those of live servers reappear soon. A server that has left must receive no more requests within a stated
//! time after the store confirmed it, and a node may learn of it late: its watch was lost, or the reader that it follows
//! fell silent. So the time does not count from when the node learns that the entry is gone, but from when the entry
//! was last known to be there.
//!
//! The load pattern is servers that leave without a word while the node that reads the store for the others stands
//! still, with every other server of their service paused or slow, so that each request tries its last resort.

use std::time::Duration;

/// How long a server may be used after its entry was found to be gone. Entries of live servers that the store lost
/// reappear within about two seconds.
const GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// The part of the stated time within which the last requests are on their way to the server.
const DELIVERY_SHARE: f64 = 0.1;

/// How much longer a server is used whose entry has just been found to be gone. `present_age` is how long ago the entry
/// was last known to be there, or the store failed, so that it may have lost the entry since; `None` if never.
/// `drained_within` is how soon a server that leaves must receive no more requests.
pub fn find_remaining_use(present_age: Option<Duration>, drained_within: Duration) -> Duration {
    let Some(present_age) = present_age else { return Duration::ZERO };
    let last_call = drained_within.mul_f64(1.0 - DELIVERY_SHARE);
    last_call.saturating_sub(present_age).min(GRACE_PERIOD)
}
