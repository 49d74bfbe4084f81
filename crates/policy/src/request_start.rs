//! When a caller began to wait for the answer to a request.
//!
//! The load pattern: callers that open a connection for each request. They have waited a round trip for the handshake
//! before the node can read anything, and longer if its processor was overloaded. An answer whose time limits were
//! measured from the moment of reading would be late by that much.

use std::time::Duration;

use crate::moment::Moment;

/// A first request that is read later than this after its connection was accepted did not wait for the handshake: the
/// caller had opened the connection in advance.
const MAX_READ_DELAY: Duration = Duration::from_millis(50);

/// The time at which the caller began to wait: the start of the handshake on a new connection, otherwise `read`, the
/// time at which the request was read. `accepted` is the time at which the connection was accepted if this is the first
/// request on it, and `one_way` the network delay from the caller to the node.
pub fn find_request_start(read: Moment, accepted: Option<Moment>, one_way: Duration) -> Moment {
    let new_connection = accepted.filter(|accepted| read.since(*accepted) < MAX_READ_DELAY);
    new_connection.map_or(read, |accepted| accepted.minus(one_way * 2))
}
