//! Every metric, by one small function each.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

/// A caller's request ended. `result` is `whole`, `partial` or a problem's kind.
pub fn count_request(caller: &str, result: &str, elapsed: Duration) {
    counter!("streamfold_requests_total", "caller" => caller.to_owned(), "result" => result.to_owned()).increment(1);
    histogram!("streamfold_request_seconds", "caller" => caller.to_owned()).record(elapsed.as_secs_f64());
}

/// Shards asked for and answered.
pub fn count_shards(asked: usize, answered: usize) {
    counter!("streamfold_shards_asked_total").increment(asked as u64);
    counter!("streamfold_shards_answered_total").increment(answered as u64);
}

/// Calls to servers made for pieces, and how many pieces there were; the rest is extra load.
pub fn count_calls(pieces: u64, calls: u64) {
    counter!("streamfold_pieces_total").increment(pieces);
    counter!("streamfold_server_calls_total").increment(calls);
}

/// A hedge started.
pub fn count_hedge() {
    counter!("streamfold_hedges_total").increment(1);
}

/// A piece was sent to a second owner because the first was silent.
pub fn count_owner_hedge() {
    counter!("streamfold_owner_hedges_total").increment(1);
}

/// A retry was wanted.
pub fn count_retry(allowed: bool) {
    counter!("streamfold_retries_total", "allowed" => allowed.to_string()).increment(1);
}

/// An answer did not echo its attempt and was dropped.
pub fn count_foreign() {
    counter!("streamfold_foreign_answers_total").increment(1);
}

/// An answer was of another index version than the pinned one and was dropped.
pub fn count_other_version() {
    counter!("streamfold_other_version_answers_total").increment(1);
}

/// A query started again at a newer index version.
pub fn count_restart() {
    counter!("streamfold_query_restarts_total").increment(1);
}

/// A link between nodes was closed for a malformed message.
pub fn count_bad_peer() {
    counter!("streamfold_bad_peer_messages_total").increment(1);
}

/// The configuration in force.
pub fn set_config(version: u64) {
    gauge!("streamfold_config_version").set(version as f64);
}

/// The store showed a configuration that contradicts the one in force.
pub fn count_config_alarm() {
    counter!("streamfold_config_alarms_total").increment(1);
}

/// A call to the platform's store.
pub fn count_store_call(kind: &'static str, ok: bool) {
    counter!("streamfold_store_calls_total", "kind" => kind, "ok" => ok.to_string()).increment(1);
}

/// Nodes that may be given work, this one included.
pub fn set_workers(count: usize) {
    gauge!("streamfold_live_nodes").set(count as f64);
}

/// Bytes of heartbeats sent.
pub fn count_gossip_bytes(bytes: usize) {
    counter!("streamfold_gossip_bytes_total").increment(bytes as u64);
}

/// Callers' requests running.
pub fn set_inflight(count: usize) {
    gauge!("streamfold_requests_in_flight").set(count as f64);
}

/// A caller's request had to wait to be let in.
pub fn count_admission_wait() {
    counter!("streamfold_admission_waits_total").increment(1);
}

/// Requests that may run at once at this node.
pub fn set_admission_limit(limit: u32) {
    gauge!("streamfold_admission_limit").set(f64::from(limit));
}
