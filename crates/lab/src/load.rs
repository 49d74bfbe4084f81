//! Open-loop load: requests start when they are due, whatever is still running, and their
//! latency counts from when they were due, so nothing is omitted.

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
/// How long a request may take before the load gives it up.
const GIVE_UP: Duration = Duration::from_secs(10);

/// What counts as good where an experiment says nothing else.
pub const DEFAULT_LATENCY_GOAL: Duration = Duration::from_secs(1);

/// What to send.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Nodes, each in turn.
    pub nodes: Vec<SocketAddr>,
    /// The index.
    pub index: String,
    /// The bearer token.
    pub token: String,
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub duration: Duration,
    /// Headers besides.
    pub headers: Vec<(&'static str, String)>,
    /// Answers later than this do not count as good.
    pub latency_goal: Duration,
}

/// What came of a load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Answers of any coverage.
    pub answered: u64,
    /// Share of wanted shards in all answers.
    pub coverage: f64,
    /// Answers with every shard.
    pub whole: u64,
    /// Whole answers within the time that counts as good.
    pub good: u64,
    /// Refusals that say "not run".
    pub refused: u64,
    /// Outcomes told as unknown.
    pub unknown: u64,
    /// No answer at all.
    pub failed: u64,
    /// Answers with mixed versions, another's results or untrue coverage.
    pub broken: u64,
    /// Requests refused as "not run".
    #[serde(skip)]
    pub refusals: Vec<RequestId>,
    /// Latency of answers, milliseconds.
    pub p50_ms: f64,
    /// Likewise.
    pub p99_ms: f64,
    /// Likewise.
    pub p999_ms: f64,
}

struct LoadSums {
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
    covered: u64,
}

impl LoadSums {
    fn new(latency_goal: Duration) -> Self {
        // Three digits up to a minute always make a histogram.
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
            covered: 0,
        }
    }

    fn note(&mut self, answer: Option<&CallAnswer>, latency: Duration) {
        self.requests += 1;
        let Some(answer) = answer else {
            self.failed += 1;
            return;
        };
        if answer.status == StatusCode::OK {
            self.note_answer(answer, latency);
            return;
        }
        let problem: Option<ProblemDetails> = serde_json::from_slice(&answer.body).ok();
        match problem.map(|problem| (problem.ran, problem.request)) {
            Some((ExecutionState::NotRun, Some(request))) => self.refusals.push(request),
            Some((ExecutionState::Unknown, _)) => self.unknown += 1,
            _ => self.failed += 1,
        }
    }

    fn note_answer(&mut self, answer: &CallAnswer, latency: Duration) {
        let Ok(query) = serde_json::from_slice::<QueryAnswer>(&answer.body) else {
            self.broken += 1;
            return;
        };
        self.answered += 1;
        let is_whole = query.coverage.missing.is_empty();
        self.whole += u64::from(is_whole);
        self.good += u64::from(is_whole && latency <= self.latency_goal);
        self.shards += query.coverage.shards as u64;
        self.covered += query.coverage.answered as u64;
        self.broken += u64::from(is_broken(&query));
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latencies.saturating_record(micros.clamp(1, MAX_LATENCY_US));
    }

    fn report(&self) -> LoadReport {
        let ms = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1e3;
        LoadReport {
            requests: self.requests,
            answered: self.answered,
            coverage: if self.shards == 0 { 0.0 } else { self.covered as f64 / self.shards as f64 },
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

/// What a stand-in writes into each result.
#[derive(serde::Deserialize)]
struct ResultMark {
    shard: u32,
    version: u64,
    request: String,
}

/// Whether an answer breaks a promise: mixed versions, another's results, untrue coverage.
fn is_broken(query: &QueryAnswer) -> bool {
    let request = query.request.to_string();
    let foreign = query.results.iter().any(|(shard, raw)| match serde_json::from_str::<ResultMark>(raw.get()) {
        Ok(mark) => mark.shard != shard.0 || mark.version != query.index_version.0 || mark.request != request,
        Err(_) => true,
    });
    let coverage = &query.coverage;
    let untrue = coverage.answered != query.results.len()
        || coverage.answered + coverage.missing.len() != coverage.shards
        || coverage.missing.iter().any(|missing| query.results.contains_key(&missing.shard));
    foreign || untrue
}

/// Runs a load to its end and reports.
pub async fn run(client: &LabClient, plan: &LoadPlan) -> LoadReport {
    let sums = Arc::new(Mutex::new(LoadSums::new(plan.latency_goal)));
    let total = (plan.rate * plan.duration.as_secs_f64()) as u64;
    let start = Instant::now();
    let authorization = format!("Bearer {}", plan.token);
    let mut running = tokio::task::JoinSet::new();
    for number in 0..total {
        let due = start + Duration::from_secs_f64(number as f64 / plan.rate);
        tokio::time::sleep_until(due.into()).await;
        while running.try_join_next().is_some() {}
        let node = plan.nodes[number as usize % plan.nodes.len()];
        let (client, sums) = (client.clone(), sums.clone());
        let (path, authorization) = (format!("/v1/indexes/{}/query", plan.index), authorization.clone());
        let extra = plan.headers.clone();
        running.spawn(async move {
            let mut headers: Vec<(&'static str, &str)> = vec![("authorization", &authorization)];
            headers.extend(extra.iter().map(|(name, value)| (*name, value.as_str())));
            let body = Bytes::from_static(b"{\"find\":\"cart\"}");
            let answer = client.call(Method::POST, node, &path, &headers, body, GIVE_UP).await.ok();
            let latency = due.elapsed();
            sums.lock().unwrap_or_else(PoisonError::into_inner).note(answer.as_ref(), latency);
        });
    }
    while running.join_next().await.is_some() {}
    let sums = sums.lock().unwrap_or_else(PoisonError::into_inner);
    sums.report()
}
