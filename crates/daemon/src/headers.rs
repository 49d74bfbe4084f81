//! Headers of requests to servers and of their answers, parsed once so that a request does not parse them again.

use std::fmt::Display;

use http::{HeaderName, HeaderValue};
use streamfold_model::server;

/// See [`server::SERVER_HEADER_REQUEST`].
pub const REQUEST: HeaderName = HeaderName::from_static(server::SERVER_HEADER_REQUEST);
/// See [`server::SERVER_HEADER_ATTEMPT`].
pub const ATTEMPT: HeaderName = HeaderName::from_static(server::SERVER_HEADER_ATTEMPT);
/// See [`server::SERVER_HEADER_SHARDS`].
pub const SHARDS: HeaderName = HeaderName::from_static(server::SERVER_HEADER_SHARDS);
/// See [`server::SERVER_HEADER_VERSION`].
pub const VERSION: HeaderName = HeaderName::from_static(server::SERVER_HEADER_VERSION);
/// See [`server::SERVER_HEADER_DEADLINE`].
pub const DEADLINE: HeaderName = HeaderName::from_static(server::SERVER_HEADER_DEADLINE);
/// See [`server::SERVER_HEADER_KEY`].
pub const KEY: HeaderName = HeaderName::from_static(server::SERVER_HEADER_KEY);
/// See [`server::SERVER_HEADER_HELD`].
pub const HELD: HeaderName = HeaderName::from_static(server::SERVER_HEADER_HELD);
/// See [`server::SERVER_HEADER_LOAD`].
pub const LOAD: HeaderName = HeaderName::from_static(server::SERVER_HEADER_LOAD);
/// See [`server::SERVER_HEADER_DRAINING`].
pub const DRAINING: HeaderName = HeaderName::from_static(server::SERVER_HEADER_DRAINING);
/// See [`server::SERVER_HEADER_INCARNATION`].
pub const INCARNATION: HeaderName = HeaderName::from_static(server::SERVER_HEADER_INCARNATION);
/// See [`server::SERVER_HEADER_RAN`].
pub const RAN: HeaderName = HeaderName::from_static(server::SERVER_HEADER_RAN);

/// A header value that is used only once. It is marked sensitive, which keeps it out of HTTP/2's header compression
/// table (HPACK), where it would evict values that repeat.
pub fn unindexed_value(value: &impl Display) -> HeaderValue {
    // Ids, numbers and keys are visible ASCII, so this does not fail.
    let mut value = HeaderValue::from_str(&value.to_string()).unwrap_or_else(|_| HeaderValue::from_static(""));
    value.set_sensitive(true);
    value
}
