//! The protocol towards servers: header names and the texts in them.
//!
//! One `POST /v1/shards/{index}/{query|order}` for all shards wanted at a server. The
//! answer's body is a JSON object of results by shard.

use crate::ids::ShardId;

/// Header out: the request's id.
pub const SERVER_HEADER_REQUEST: &str = "streamfold-request";
/// Header out and back: the attempt's id, which the answer must echo.
pub const SERVER_HEADER_ATTEMPT: &str = "streamfold-attempt";
/// Header out: the shards wanted, such as `0-3,7`.
pub const SERVER_HEADER_SHARDS: &str = "streamfold-shards";
/// Header out: the wanted index version. Back: the version answered from.
pub const SERVER_HEADER_VERSION: &str = "streamfold-index-version";
/// Header out: microseconds left to the deadline.
pub const SERVER_HEADER_DEADLINE: &str = "streamfold-deadline-us";
/// Header out: the key of a request that is not repeatable.
pub const SERVER_HEADER_KEY: &str = "idempotency-key";
/// Header back: oldest and newest version held, such as `3-9`.
pub const SERVER_HEADER_HELD: &str = "streamfold-held";
/// Header back: load, 0 to 1.
pub const SERVER_HEADER_LOAD: &str = "streamfold-load";
/// Header back: `true` once the server is leaving.
pub const SERVER_HEADER_DRAINING: &str = "streamfold-draining";
/// Header back: which run of the server process answers.
pub const SERVER_HEADER_INCARNATION: &str = "streamfold-incarnation";
/// Header back: `not_run` where the server certainly did not run the request.
pub const SERVER_HEADER_RAN: &str = "streamfold-ran";

/// Writes shards as ranges: `0-3,7`.
pub fn format_shards(shards: &[ShardId]) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    let mut rest = shards;
    while let Some(first) = rest.first() {
        let follows = |(offset, shard): &(u32, &ShardId)| shard.0 == first.0 + offset;
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

/// Reads what [`format_shards`] wrote; `None` where it is malformed or names over `most` shards.
pub fn parse_shards(text: &str, most: usize) -> Option<Vec<ShardId>> {
    let mut shards = Vec::new();
    for part in text.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let (first, last): (u32, u32) = (first.parse().ok()?, last.parse().ok()?);
        if first > last || (last - first) as usize >= most.saturating_sub(shards.len()) {
            return None;
        }
        shards.extend((first..=last).map(ShardId));
    }
    Some(shards)
}
