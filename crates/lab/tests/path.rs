//! End-to-end tests with real processes: queries, missing shards, refusals and planned stops.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use insta::assert_json_snapshot;
use serde_json::{Value, json};
use streamfold_lab::client::{CallAnswer, LabClient};
use streamfold_lab::fleet::{Fleet, FleetError, INDEX, TOKEN};
use streamfold_lab::fleet_plan::{DomainPlan, FleetPlan};
use streamfold_lab::load::{self, DEFAULT_LATENCY_GOAL, LoadPlan};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The name of a case, its path, headers and body.
type RefusalCase<'a> = (&'a str, String, Vec<(&'static str, &'a str)>, &'a [u8]);

fn plan() -> FleetPlan {
    let domain = |name| DomainPlan { name, nodes: 2, upstreams: 3 };
    FleetPlan { domains: vec![domain("vienna"), domain("tyrol")], has_processes: true, ..FleetPlan::default() }
}

async fn post(fleet: &Fleet, path: &str, headers: &[(&'static str, &str)], body: &[u8]) -> CallAnswer {
    let address = fleet.caller_addresses()[0];
    let body = Bytes::copy_from_slice(body);
    LabClient::default().call(Method::POST, address, path, headers, body, CALL_TIMEOUT).await.expect("an answer")
}

/// The problem details of an answer without the values that differ from run to run.
fn problem(answer: &CallAnswer) -> Value {
    let mut problem: Value = serde_json::from_slice(&answer.body).expect("problem details");
    let fields = problem.as_object_mut().expect("an object");
    fields.remove("request");
    if let Some(ticket) = fields.get_mut("ticket") {
        *ticket = json!("(a ticket)");
    }
    problem
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_complete_and_lists_missing_shards() {
    let mut fleet = Fleet::start(plan()).await.expect("a fleet");
    for callers in fleet.caller_addresses() {
        let answer = fleet.query(callers).await.expect("an answer");
        assert_eq!((answer.coverage.shards, answer.coverage.answered), (6, 6));
        assert_eq!(answer.results.len(), 6);
    }
    fleet.kill_server(4, 0);
    fleet.kill_server(4, 1);
    let answer = fleet.query(fleet.caller_addresses()[0]).await.expect("an answer");
    assert_json_snapshot!(json!({ "coverage": answer.coverage, "shards": answer.results.keys().collect::<Vec<_>>() }));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_refusals_that_did_not_run() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    let token = format!("Bearer {TOKEN}");
    let authorization = ("authorization", token.as_str());
    let query = format!("/v1/indexes/{INDEX}/query");
    let order = format!("/v1/indexes/{INDEX}/order");
    let large = vec![b' '; (1 << 20) + 1];
    let cases: Vec<RefusalCase> = vec![
        ("unknown index", "/v1/indexes/nowhere/query".to_owned(), vec![authorization], b"{}"),
        ("unknown caller", query.clone(), vec![("authorization", "Bearer nobody")], b"{}"),
        ("no token", query.clone(), vec![], b"{}"),
        ("body over the limit", query.clone(), vec![authorization], &large),
        ("bad deadline", query.clone(), vec![authorization, ("streamfold-deadline", "soon")], b"{}"),
        ("bad preference", query.clone(), vec![authorization, ("streamfold-prefer", "luck")], b"{}"),
        ("bad shards", format!("{query}?shards=3-1"), vec![authorization], b"{}"),
        ("no such shard", format!("{query}?shards=0,17"), vec![authorization], b"{}"),
        ("order without key", order.clone(), vec![authorization], b"{\"key\":\"a\"}"),
        ("order without record", order.clone(), vec![authorization, ("idempotency-key", "k")], b"{}"),
        ("forged ticket", order.clone(), vec![authorization, ("idempotency-key", "t1.x")], b"{\"key\":\"a\"}"),
    ];
    let mut results = Vec::new();
    for (name, path, headers, body) in cases {
        let answer = post(&fleet, &path, &headers, body).await;
        results.push(json!({ "case": name, "status": answer.status.as_u16(), "problem": problem(&answer) }));
    }
    assert_json_snapshot!(results);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_configuration_is_rejected_as_a_whole() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    let invalid_config =
        fleet.config.replace("slots: 2", "slots: 0").replace("prefer: coverage", "prefer: coverage\n    rate: 5/h");
    let refused = fleet.apply(&invalid_config).await;
    assert!(matches!(refused, Err(FleetError::Apply(StatusCode::UNPROCESSABLE_ENTITY, _))), "{refused:?}");
    for callers in fleet.caller_addresses() {
        let answer = fleet.query(callers).await.expect("an answer");
        assert_eq!(answer.config_version.0, 1);
        assert!(answer.coverage.missing.is_empty());
    }
    assert_eq!(fleet.platform.state.dump("audit/").len(), 0, "no change may have been committed");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_loses_no_request() {
    let mut fleet = Fleet::start(plan()).await.expect("a fleet");
    let stopping_node = fleet.nodes[1].handle.take().expect("a running node");
    let load_plan = LoadPlan {
        nodes: fleet.caller_addresses(),
        index: INDEX.to_owned(),
        token: TOKEN.to_owned(),
        rate: 100.0,
        duration: Duration::from_secs(3),
        headers: Vec::new(),
        latency_goal: DEFAULT_LATENCY_GOAL,
    };
    let load = tokio::spawn(async move { load::run(&LabClient::default(), &load_plan).await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(stopping_node.stop().await, "the stopping node must exit by itself, with code 0");
    let report = load.await.expect("a report");
    assert_eq!((report.requests, report.whole, report.broken), (300, 300, 0), "{report:?}");
    fleet.stop().await;
}
