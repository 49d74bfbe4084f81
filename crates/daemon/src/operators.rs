//! The HTTP API for operators: health, readiness, metrics, status, configuration and audit trail.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::{DefaultBodyLimit, RawQuery, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use streamfold_model::check::check_files;
use streamfold_model::operator::{ApplyAnswer, ApplyRequest, MemberStatus, NodeStatus, ServerStatus};
use streamfold_model::{ConfigBundle, ConfigVersion, ExecutionState, HeadRecord, ProblemDetails};
use streamfold_router::caller_limits::CallerLimits;
use streamfold_store::{CommitError, CommitRequest};
use tokio::net::TcpListener;

use crate::caller_input::find_parameter;
use crate::clock::wall_ms;
use crate::http_server;
use crate::metrics_text;
use crate::node::Node;
use crate::stop::StopPhase;
use crate::upstream::LinkState;

/// Maximum number of operators' connections.
const MAX_CONNECTIONS: usize = 100;
/// Maximum size of an uploaded configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 64 << 20;
/// Maximum number of audit records in one answer.
const MAX_AUDIT_RECORDS: u64 = 200;
const DEFAULT_AUDIT_RECORDS: u64 = 20;

/// Serves the operators' port until the node stops.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>) {
    let router = Router::new()
        .route("/healthz", get(|| async { "alive\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/v1/status", get(status))
        .route("/v1/config", get(read_config).post(apply))
        .route("/v1/audit", get(audit))
        .layer(DefaultBodyLimit::max(MAX_CONFIG_BYTES))
        .with_state(node.clone());
    // Operators have limits of their own, so that callers never keep them out.
    let limits = CallerLimits::new(node.settings.machine).with_connections(MAX_CONNECTIONS);
    http_server::serve(node, listener, router, Arc::new(limits)).await;
}

fn unready_cause(node: &Node) -> Option<&'static str> {
    if node.phase() != StopPhase::Serving {
        return Some("stopping");
    }
    node.keeper.current().is_none().then_some("no configuration yet")
}

async fn ready(State(node): State<Arc<Node>>) -> Response {
    match unready_cause(&node) {
        None => (StatusCode::OK, "ready\n").into_response(),
        Some(cause) => (StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {cause}\n")).into_response(),
    }
}

async fn metrics() -> String {
    metrics_text::render()
}

async fn status(State(node): State<Arc<Node>>) -> Json<NodeStatus> {
    let cause = unready_cause(&node);
    Json(NodeStatus {
        node: node.settings.node.clone(),
        failure_domain: node.settings.domain.clone(),
        ready: cause.is_none(),
        unready_cause: cause.map(str::to_owned),
        phase: format!("{:?}", node.phase()).to_lowercase(),
        config_version: node.keeper.version(),
        config_age_ms: node.keeper.age_ms(),
        in_flight: node.work_in_flight(),
        members: list_members(&node),
        servers: list_servers(&node),
    })
}

fn list_members(node: &Node) -> Vec<MemberStatus> {
    let now = node.clock.now();
    let members = node.members();
    let statuses = members.entries().map(|entry| MemberStatus {
        node: entry.node.clone(),
        incarnation: entry.incarnation,
        domain: entry.domain.clone(),
        operator_address: entry.operator_address,
        state: format!("{:?}", entry.state).to_lowercase(),
        health: members.health(now, &entry.node),
        config: entry.config,
    });
    statuses.collect()
}

fn list_servers(node: &Node) -> Vec<ServerStatus> {
    let pools = node.pools.all();
    let statuses = pools.iter().flat_map(|pool| {
        pool.servers().into_iter().map(|(link, state)| ServerStatus {
            upstream: pool.spec.name.clone(),
            server: link.address(),
            reachable: link.state() == LinkState::Up,
            leaving: state.is_leaving(),
            in_flight: state.inflight(),
            limit: state.limit(),
            connections: link.open_connections(),
        })
    });
    statuses.collect()
}

fn problem(kind: &str, status: StatusCode, detail: String, ran: ExecutionState, problems: Vec<String>) -> Response {
    let details = ProblemDetails {
        kind: kind.to_owned(),
        status: status.as_u16(),
        detail,
        ran,
        request: None,
        ticket: None,
        retry_after_ms: None,
        problems,
    };
    (status, Json(details)).into_response()
}

async fn apply(State(node): State<Arc<Node>>, body: bytes::Bytes) -> Response {
    let request: ApplyRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => {
            return problem(
                "bad-request",
                StatusCode::BAD_REQUEST,
                error.to_string(),
                ExecutionState::NotRun,
                Vec::new(),
            );
        }
    };
    let current = node.keeper.version();
    // The commit refuses a change that no version is left for.
    let next = current.next().unwrap_or(current);
    if let Err(errors) = check_files(next, &request.files) {
        let detail = format!("the configuration has {} problem(s); nothing was applied", errors.len());
        let problems = errors.iter().map(ToString::to_string).collect();
        return problem(
            "bad-configuration",
            StatusCode::UNPROCESSABLE_ENTITY,
            detail,
            ExecutionState::NotRun,
            problems,
        );
    }
    if request.dry_run {
        return Json(ApplyAnswer { version: node.keeper.version(), committed: false }).into_response();
    }
    commit(&node, request).await
}

async fn commit(node: &Arc<Node>, request: ApplyRequest) -> Response {
    let files = request.files;
    let commit = CommitRequest {
        files: files.clone(),
        change: request.change,
        expected: request.expected,
        operator: request.operator,
        reason: request.reason,
        node: node.settings.node.to_string(),
        time_ms: wall_ms(),
    };
    match node.store.commit(&commit).await {
        Ok(head) => {
            let version = head.version;
            tracing::info!(event = "config_committed", version = %version, change = %head.change, operator = head.operator);
            // The commit may be a retry of a change that newer ones have followed; the offer then changes nothing.
            node.offer(ConfigBundle { head, files });
            Json(ApplyAnswer { version, committed: true }).into_response()
        }
        Err(error) => {
            tracing::warn!(event = "config_not_committed", change = %commit.change, error = %error);
            commit_problem(&error)
        }
    }
}

fn commit_problem(error: &CommitError) -> Response {
    let (kind, status, ran) = match error {
        CommitError::Conflict(_) => ("conflict", StatusCode::CONFLICT, ExecutionState::NotRun),
        CommitError::NotApplied(_) => ("store-unavailable", StatusCode::SERVICE_UNAVAILABLE, ExecutionState::NotRun),
        CommitError::Unknown => ("outcome-unknown", StatusCode::GATEWAY_TIMEOUT, ExecutionState::Unknown),
        CommitError::BadHead => ("bad-head", StatusCode::INTERNAL_SERVER_ERROR, ExecutionState::NotRun),
    };
    problem(kind, status, error.to_string(), ran, Vec::new())
}

fn find_number(parameters: Option<&str>, name: &str) -> Option<u64> {
    find_parameter(parameters, name).and_then(|value| value.parse().ok())
}

async fn read_config(State(node): State<Arc<Node>>, RawQuery(parameters): RawQuery) -> Response {
    let wanted = find_number(parameters.as_deref(), "version").map(ConfigVersion);
    let active = node.keeper.current();
    if let Some(active) = &active
        && wanted.is_none_or(|wanted| wanted == active.bundle.head.version)
    {
        return Json(&active.bundle).into_response();
    }
    let Some(wanted) = wanted else {
        let detail = "there is no configuration yet".to_owned();
        return problem("no-configuration", StatusCode::NOT_FOUND, detail, ExecutionState::NotRun, Vec::new());
    };
    let read = async { node.store.read_bundle(node.store.read_audit(wanted).await?).await };
    match read.await {
        Ok(bundle) => Json(bundle).into_response(),
        Err(error) => {
            let detail = format!("reading version {wanted}: {error}");
            problem("version-not-found", StatusCode::NOT_FOUND, detail, ExecutionState::NotRun, Vec::new())
        }
    }
}

/// The most recent audit records, newest first.
async fn audit(State(node): State<Arc<Node>>, RawQuery(parameters): RawQuery) -> Response {
    let limit = find_number(parameters.as_deref(), "limit").unwrap_or(DEFAULT_AUDIT_RECORDS).min(MAX_AUDIT_RECORDS);
    let mut records: Vec<HeadRecord> = Vec::new();
    let newest = match node.store.read_head().await {
        Ok(head) => head.map_or(ConfigVersion(0), |(head, _)| head.version),
        Err(error) => {
            let detail = format!("reading the audit trail: {error}");
            return problem(
                "store-unavailable",
                StatusCode::SERVICE_UNAVAILABLE,
                detail,
                ExecutionState::NotRun,
                Vec::new(),
            );
        }
    };
    let mut version = newest;
    while version > ConfigVersion(0) && (records.len() as u64) < limit {
        match node.store.read_audit(version).await {
            Ok(record) => records.push(record),
            Err(error) => {
                let detail = format!("reading audit record {version}: {error}");
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return problem("store-unavailable", status, detail, ExecutionState::NotRun, Vec::new());
            }
        }
        version = ConfigVersion(version.0 - 1);
    }
    Json(records).into_response()
}
