//! The protocol between nodes and servers: header names and their values.
//!
//! A node sends one `POST /v1/shards/{index}/{query|order}` to a server for all the shards that it requests there. The
//! body of the answer is a JSON object with the results by shard.

use crate::ids::ShardId;

/// Request header: the id of the request.
pub const SERVER_HEADER_REQUEST: &str = "streamfold-request";
/// Request and response header: the id of the attempt, which the answer must echo.
pub const SERVER_HEADER_ATTEMPT: &str = "streamfold-attempt";
/// Request header: the requested shards, such as `0-3,7`.
pub const SERVER_HEADER_SHARDS: &str = "streamfold-shards";
/// Request header: the requested index version. Response header: the index version of the answer.
pub const SERVER_HEADER_VERSION: &str = "streamfold-index-version";
/// Request header: microseconds left until the deadline.
pub const SERVER_HEADER_DEADLINE: &str = "streamfold-deadline-us";
/// Request header: the idempotency key of a request that is not repeatable.
pub const SERVER_HEADER_KEY: &str = "idempotency-key";
/// Response header: the oldest and the newest index version that the server holds, such as `3-9`.
pub const SERVER_HEADER_HELD: &str = "streamfold-held";
/// Response header: the load of the server, 0 to 1.
pub const SERVER_HEADER_LOAD: &str = "streamfold-load";
/// Response header: `true` once the server is shutting down.
pub const SERVER_HEADER_DRAINING: &str = "streamfold-draining";
/// Response header: the incarnation of the server process that answers.
pub const SERVER_HEADER_INCARNATION: &str = "streamfold-incarnation";
/// Response header: `not_run` if the server certainly did not run the request.
pub const SERVER_HEADER_RAN: &str = "streamfold-ran";

/// Formats sorted shards as ranges, such as `0-3,7`.
pub fn format_shards(shards: &[ShardId]) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    let mut rest = shards;
    while let Some(first) = rest.first() {
        let follows = |(offset, shard): &(u32, &ShardId)| first.0.checked_add(*offset) == Some(shard.0);
        let run = (0..).zip(rest).take_while(follows).count();
        let comma = if text.is_empty() { "" } else { "," };
        // Writing to a String cannot fail.
        let _ = match run {
            1 => write!(text, "{comma}{first}"),
            _ => write!(text, "{comma}{first}-{}", rest[run - 1]),
        };
        rest = &rest[run..];
    }
    text
}

/// Parses the format of [`format_shards`]; `None` if it is malformed or has more than `limit` shards.
pub fn parse_shards(text: &str, limit: usize) -> Option<Vec<ShardId>> {
    let mut shards = Vec::new();
    for part in text.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let (first, last): (u32, u32) = (first.parse().ok()?, last.parse().ok()?);
        if first > last || (last - first) as usize >= limit.saturating_sub(shards.len()) {
            return None;
        }
        shards.extend((first..=last).map(ShardId));
    }
    Some(shards)
}
