//! When a caller began to wait for the answer to a request.
//!
//! The load pattern: callers that open a connection for a request. They have waited for the handshake, there and back,
//! before the node can read anything, and longer where its processor was behind. An answer that is decided by the
//! moment of reading comes too late by as much.

use std::time::Duration;

use crate::moment::Moment;

/// A first request that is read later than this after its connection was accepted did not wait for the connection: the
/// caller had opened it beforehand.
const FIRST_WITHIN: Duration = Duration::from_millis(50);

/// When a request began that was read at a moment; `accepted` is the moment at which its connection was accepted, if
/// it is the first one on it, and `way` the time from the caller to the node.
pub fn find_request_start(read: Moment, accepted: Option<Moment>, way: Duration) -> Moment {
    let fresh = accepted.filter(|accepted| read.since(*accepted) < FIRST_WITHIN);
    fresh.map_or(read, |accepted| accepted.minus(way * 2))
}
