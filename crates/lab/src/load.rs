//! Open-loop load generator: a request starts at its scheduled time, however many are still running, and its latency
//! counts from that time, which avoids coordinated omission.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, StatusCode};
use serde::Serialize;
use streamfold_model::{ExecutionState, ProblemDetails, QueryAnswer, RequestId};

use crate::client::{CallAnswer, LabClient};

/// The longest latency recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Client-side timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Latency goal where an experiment sets none.
pub const DEFAULT_LATENCY_GOAL: Duration = Duration::from_secs(1);

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Callers' addresses of the nodes, used round-robin.
    pub nodes: Vec<SocketAddr>,
    /// Index to query.
    pub index: String,
    /// Bearer token of the caller.
    pub token: String,
    /// Requests a second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Additional request headers.
    pub headers: Vec<(&'static str, String)>,
    /// Latency up to which a complete answer counts as good.
    pub latency_goal: Duration,
}

/// Results of a load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Answers of any coverage.
    pub answered: u64,
    /// Share of the requested shards that the answers contain.
    pub coverage: f64,
    /// Answers that contain every shard.
    pub whole: u64,
    /// Answers with every shard within the latency goal.
    pub good: u64,
    /// Requests refused with the execution state "not run".
    pub refused: u64,
    /// Requests reported with the execution state "unknown".
    pub unknown: u64,
    /// Requests without an answer, or with a problem that is neither refused nor unknown.
    pub failed: u64,
    /// Answers with mixed index versions, another request's results or wrong coverage.
    pub broken: u64,
    /// Ids of the requests counted in `refused`.
    #[serde(skip)]
    pub refusals: Vec<RequestId>,
    /// Median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answers, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of answers, in milliseconds.
    pub p999_ms: f64,
}

struct LoadCounts {
    latencies: Histogram<u64>,
    requests: u64,
    answered: u64,
    whole: u64,
    good: u64,
    latency_goal: Duration,
    refusals: Vec<RequestId>,
    unknown: u64,
    failed: u64,
    broken: u64,
    shards: u64,
    answered_shards: u64,
}

impl LoadCounts {
    fn new(latency_goal: Duration) -> Self {
        // These constant bounds and three significant digits are always valid.
        #[allow(clippy::unwrap_used)]
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap();
        Self {
            latencies,
            requests: 0,
            answered: 0,
            whole: 0,
            good: 0,
            latency_goal,
            refusals: Vec::new(),
            unknown: 0,
            failed: 0,
            broken: 0,
            shards: 0,
            answered_shards: 0,
        }
    }

    fn record(&mut self, answer: Option<&CallAnswer>, latency: Duration) {
        self.requests += 1;
        let Some(answer) = answer else {
            self.failed += 1;
            return;
        };
        if answer.status == StatusCode::OK {
            self.record_answer(answer, latency);
            return;
        }
        let problem: Option<ProblemDetails> = serde_json::from_slice(&answer.body).ok();
        match problem.map(|problem| (problem.ran, problem.request)) {
            Some((ExecutionState::NotRun, Some(request))) => self.refusals.push(request),
            Some((ExecutionState::Unknown, _)) => self.unknown += 1,
            _ => self.failed += 1,
        }
    }

    fn record_answer(&mut self, answer: &CallAnswer, latency: Duration) {
        let Ok(query) = serde_json::from_slice::<QueryAnswer>(&answer.body) else {
            self.broken += 1;
            return;
        };
        self.answered += 1;
        let is_whole = query.coverage.missing.is_empty();
        self.whole += u64::from(is_whole);
        self.good += u64::from(is_whole && latency <= self.latency_goal);
        self.shards += query.coverage.shards as u64;
        self.answered_shards += query.coverage.answered as u64;
        self.broken += u64::from(is_broken(&query));
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latencies.saturating_record(micros.clamp(1, MAX_LATENCY_US));
    }

    fn report(&self) -> LoadReport {
        let ms = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1e3;
        LoadReport {
            requests: self.requests,
            answered: self.answered,
            coverage: if self.shards == 0 { 0.0 } else { self.answered_shards as f64 / self.shards as f64 },
            whole: self.whole,
            good: self.good,
            refused: self.refusals.len() as u64,
            refusals: self.refusals.clone(),
            unknown: self.unknown,
            failed: self.failed,
            broken: self.broken,
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
        }
    }
}

/// Content of a shard's result, as the simulated servers write it.
#[derive(serde::Deserialize)]
struct ResultMark {
    shard: u32,
    version: u64,
    request: String,
}

/// Whether an answer mixes index versions, contains another request's results or states a wrong coverage.
fn is_broken(query: &QueryAnswer) -> bool {
    let request = query.request.to_string();
    let has_foreign = query.results.iter().any(|(shard, raw)| match serde_json::from_str::<ResultMark>(raw.get()) {
        Ok(mark) => mark.shard != shard.0 || mark.version != query.index_version.0 || mark.request != request,
        Err(_) => true,
    });
    let coverage = &query.coverage;
    let has_wrong_coverage = coverage.answered != query.results.len()
        || coverage.answered + coverage.missing.len() != coverage.shards
        || coverage.missing.iter().any(|missing| query.results.contains_key(&missing.shard));
    has_foreign || has_wrong_coverage
}

/// Runs a load to its end and returns its results.
pub async fn run(client: &LabClient, plan: &LoadPlan) -> LoadReport {
    let counts = Arc::new(Mutex::new(LoadCounts::new(plan.latency_goal)));
    let total = (plan.rate * plan.duration.as_secs_f64()) as u64;
    let start = Instant::now();
    let authorization = format!("Bearer {}", plan.token);
    let mut running = tokio::task::JoinSet::new();
    for number in 0..total {
        let due = start + Duration::from_secs_f64(number as f64 / plan.rate);
        tokio::time::sleep_until(due.into()).await;
        while running.try_join_next().is_some() {}
        let node = plan.nodes[number as usize % plan.nodes.len()];
        let (client, counts) = (client.clone(), counts.clone());
        let (path, authorization) = (format!("/v1/indexes/{}/query", plan.index), authorization.clone());
        let extra_headers = plan.headers.clone();
        running.spawn(async move {
            let mut headers: Vec<(&'static str, &str)> = vec![("authorization", &authorization)];
            headers.extend(extra_headers.iter().map(|(name, value)| (*name, value.as_str())));
            let body = Bytes::from_static(b"{\"find\":\"cart\"}");
            let answer = client.call(Method::POST, node, &path, &headers, body, REQUEST_TIMEOUT).await.ok();
            let latency = due.elapsed();
            counts.lock().unwrap_or_else(PoisonError::into_inner).record(answer.as_ref(), latency);
        });
    }
    while running.join_next().await.is_some() {}
    let counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
    counts.report()
}
