//! Header names and values towards servers, made ready for use on the path of a request.

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

/// A value that never comes again. Marked sensitive, it stays out of HTTP/2's table of
/// headers, where it would only push out those that do come again.
pub fn single_use(value: &impl Display) -> HeaderValue {
    // Ids and numbers are always visible ASCII.
    let mut value = HeaderValue::from_str(&value.to_string()).unwrap_or_else(|_| HeaderValue::from_static(""));
    value.set_sensitive(true);
    value
}
