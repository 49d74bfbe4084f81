//! The metrics of a node that serves indexes, one function each.

use std::time::Duration;

use metrics::{counter, gauge, histogram};

/// Counts a finished request of a caller. `result` is `whole`, `partial`, `ran`, `minted` or the kind of an error.
pub fn count_request(caller: &str, result: &str, elapsed: Duration) {
    counter!("streamfold_requests_total", "caller" => caller.to_owned(), "result" => result.to_owned()).increment(1);
    histogram!("streamfold_request_seconds", "caller" => caller.to_owned()).record(elapsed.as_secs_f64());
}

/// Counts requested and answered shards.
pub fn count_shards(asked: usize, answered: usize) {
    counter!("streamfold_shards_asked_total").increment(asked as u64);
    counter!("streamfold_shards_answered_total").increment(answered as u64);
}

/// Counts pieces and the calls to servers for them. The difference is the extra load of hedges and retries.
pub fn count_calls(pieces: u64, calls: u64) {
    counter!("streamfold_pieces_total").increment(pieces);
    counter!("streamfold_server_calls_total").increment(calls);
}

/// Counts a hedge.
pub fn count_hedge() {
    counter!("streamfold_hedges_total").increment(1);
}

/// Counts a piece that was hedged to a second owner because the first was unresponsive.
pub fn count_owner_hedge() {
    counter!("streamfold_owner_hedges_total").increment(1);
}

/// Counts a retry that was allowed or refused.
pub fn count_retry(allowed: bool) {
    counter!("streamfold_retries_total", "allowed" => allowed.to_string()).increment(1);
}

/// Counts an answer that was dropped because it does not echo the id of its attempt.
pub fn count_foreign() {
    counter!("streamfold_foreign_answers_total").increment(1);
}

/// Counts an answer that was dropped because it is not of the pinned index version.
pub fn count_other_version() {
    counter!("streamfold_other_version_answers_total").increment(1);
}

/// Counts a query that restarted at a newer index version.
pub fn count_restart() {
    counter!("streamfold_query_restarts_total").increment(1);
}

/// Counts a malformed message or reply from another node.
pub fn count_bad_peer() {
    counter!("streamfold_bad_peer_messages_total").increment(1);
}

/// Sets the version of the configuration in force.
pub fn set_config(version: u64) {
    gauge!("streamfold_config_version").set(version as f64);
}

/// Counts a configuration that was rejected because it conflicts with the one in force, is corrupt or invalid.
pub fn count_config_alarm() {
    counter!("streamfold_config_alarms_total").increment(1);
}

/// Counts a call to the platform's store.
pub fn count_store_call(kind: &'static str, ok: bool) {
    counter!("streamfold_store_calls_total", "kind" => kind, "ok" => ok.to_string()).increment(1);
}

/// Sets the number of nodes that accept work, this one included.
pub fn set_workers(count: usize) {
    gauge!("streamfold_live_nodes").set(count as f64);
}

/// Counts the bytes of sent heartbeats.
pub fn count_gossip_bytes(bytes: usize) {
    counter!("streamfold_gossip_bytes_total").increment(bytes as u64);
}

/// Sets the number of running requests of callers.
pub fn set_inflight(count: usize) {
    gauge!("streamfold_requests_in_flight").set(count as f64);
}

/// Counts a request that was queued for admission.
pub fn count_admission_wait() {
    counter!("streamfold_admission_waits_total").increment(1);
}

/// Sets the admission limit: the requests that may run concurrently at this node.
pub fn set_admission_limit(limit: u32) {
    gauge!("streamfold_admission_limit").set(f64::from(limit));
}
