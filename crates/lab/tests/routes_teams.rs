//! Teams, with real processes: authentication of callers by key, the team header that servers get, and the rate limit
//! of a team.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{
    format_refusal, header, local_server, non_idempotent_target, remote_server, service_target,
};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::documents::{REVOKE_MS, USAGE_ALLOWANCE, USAGE_EXCESS, USAGE_WINDOW_S, write_team};
use streamfold_standin::names;

const BLUE: &str = "Bearer blue-key-0123456789";
const RED: &str = "Bearer red-key-0123456789";

/// The key without its scheme, as in the operator's document.
fn strip_scheme(authorization: &'static str) -> &'static str {
    authorization.strip_prefix("Bearer ").expect("a key")
}

fn routes() -> Vec<Value> {
    let open = json!({ "service": "cart", "authExempt": true });
    let all = json!({ "gather": ["s-0", "s-1", "s-2"], "topK": 5, "minCoverage": 0.5 });
    vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("once", "/once/", &non_idempotent_target("cart")),
        write_route("open", "/open/", &open),
        write_route("all", "/all/", &all),
    ]
}

fn plan(teams: Vec<Value>) -> RouteFleetPlan {
    let mut servers = vec![local_server("i-0", "cart"), remote_server("i-1", "cart")];
    servers.extend(["s-0", "s-1", "s-2"].map(|shard| remote_server(&format!("{shard}-f"), shard)));
    RouteFleetPlan { nodes: [2, 1], servers, routes: routes(), teams, ..RouteFleetPlan::default() }
}

fn both_teams() -> Vec<Value> {
    vec![write_team("blue", &[strip_scheme(BLUE)], None), write_team("red", &[strip_scheme(RED)], None)]
}

async fn start(teams: Vec<Value>) -> RouteFleet {
    RouteFleet::start(plan(teams)).await.expect("a fleet")
}

async fn get(
    fleet: &RouteFleet,
    node: usize,
    path: &str,
    id: &str,
    extra_headers: &[(&'static str, &str)],
) -> CallAnswer {
    fleet.call_with(node, Method::GET, path, id, extra_headers, Bytes::new()).await.expect("an answer")
}

/// The values of the team header of each request that servers read, by request id.
fn received_teams(fleet: &RouteFleet) -> Vec<(String, Vec<String>)> {
    let calls = fleet.servers.iter().flat_map(|server| server.state.calls());
    let teams_by_request = calls.map(|call| {
        assert_eq!(call.header(names::KEY), None, "a key reached a server with {}", call.id());
        let teams = call.headers.iter().filter(|(name, _)| name == names::TEAM);
        (call.id().to_owned(), teams.map(|(_, team)| team.clone()).collect())
    });
    teams_by_request.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_not_forwarded_and_servers_get_the_team() {
    let fleet = start(both_teams()).await;
    let forged = [(names::KEY, BLUE), (names::TEAM, "red"), ("X-Tenant", "green")];
    for node in 0..3 {
        for path in ["/any/x", "/once/x", "/all/x", "/open/x"] {
            let answer = get(&fleet, node, path, &format!("r-{node}"), &forged).await;
            assert_eq!(answer.status, StatusCode::OK, "{path}: {answer:?}");
        }
    }
    let answer = get(&fleet, 0, "/open/x", "anybody", &[(names::TEAM, "red")]).await;
    assert_eq!(answer.status, StatusCode::OK);
    let requests = received_teams(&fleet);
    assert!(requests.len() > 12, "{requests:?}");
    for (id, teams) in requests {
        let expected: &[&str] = if id == "anybody" { &[] } else { &["blue"] };
        assert_eq!(teams, expected, "{id}");
    }
    let logged = fleet.nodes.iter().flat_map(|node| node.logged(&["key-0123456789"]));
    assert_eq!(logged.count(), 0, "a key is in a log");
}

#[tokio::test(flavor = "multi_thread")]
async fn hedges_and_retries_carry_the_team_and_no_key() {
    let fleet = start(both_teams()).await;
    fleet.servers[0].state.switches.refuse.store(true, Ordering::Relaxed);
    fleet.servers[2].state.switches.fail.store(true, Ordering::Relaxed);
    for number in 0..10 {
        for path in ["/any/x", "/all/x"] {
            get(&fleet, 0, path, &format!("r-{number}"), &[(names::KEY, RED)]).await;
        }
    }
    let requests = received_teams(&fleet);
    assert!(requests.iter().all(|(_, teams)| teams == &["red"]), "{requests:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_known_key_a_request_does_not_run() {
    let fleet = start(both_teams()).await;
    let basic = format!("Basic {}", strip_scheme(BLUE));
    let cases: [(&str, Vec<(&'static str, &str)>); 6] = [
        ("none", vec![]),
        ("unknown", vec![(names::KEY, "Bearer nobody-s-key")]),
        ("another scheme", vec![(names::KEY, &basic)]),
        ("no key behind the scheme", vec![(names::KEY, "Bearer ")]),
        ("twice", vec![(names::KEY, BLUE), (names::KEY, BLUE)]),
        ("the team alone", vec![(names::TEAM, "blue")]),
    ];
    let mut results = Vec::new();
    for (name, headers) in &cases {
        for path in ["/any/x", "/all/x"] {
            let answer = get(&fleet, 0, path, "r-refused", headers).await;
            let challenge = header(&answer, "www-authenticate").map(str::to_owned);
            results.push(format!("{name} {path}: {} {challenge:?}", format_refusal(&answer)));
        }
    }
    results.push(format!("no route: {}", format_refusal(&get(&fleet, 0, "/nowhere/x", "r-refused", &[]).await)));
    insta::assert_snapshot!(results.join("\n"));
    assert_eq!(fleet.count_calls("r-refused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_or_moved_key_takes_effect_on_open_connections() {
    let fleet = start(both_teams()).await;
    for (id, key) in [("r-blue", BLUE), ("r-red", RED)] {
        assert_eq!(get(&fleet, 0, "/any/x", id, &[(names::KEY, key)]).await.status, StatusCode::OK);
    }
    // Blue has lost its key, and red's key now belongs to green.
    let teams = [write_team("blue", &[], None), write_team("green", &[strip_scheme(RED)], None)];
    fleet.put_team_document(2, &routes(), &teams);
    for node in 0..3 {
        wait_for("the end of the key", async || {
            let answer = get(&fleet, node, "/any/x", "r-gone", &[(names::KEY, BLUE)]).await;
            answer.status == StatusCode::UNAUTHORIZED
        })
        .await;
        let id = format!("r-moved-{node}");
        assert_eq!(get(&fleet, node, "/any/x", &id, &[(names::KEY, RED)]).await.status, StatusCode::OK);
        let received = received_teams(&fleet).into_iter().find(|(request, _)| *request == id);
        assert_eq!(received, Some((id, vec!["green".to_owned()])));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn during_a_store_outage_keys_stay_valid_or_expire_by_the_settings() {
    for are_keys_strict in [false, true] {
        let plan = RouteFleetPlan { are_keys_strict, ..plan(both_teams()) };
        let fleet = RouteFleet::start(plan).await.expect("a fleet");
        assert_eq!(get(&fleet, 0, "/any/x", "r-before", &[(names::KEY, BLUE)]).await.status, StatusCode::OK);
        fleet.platform.state.faults.outage.store(true, Ordering::Relaxed);
        let outage_start = Instant::now();
        let status = async |path: &str, key: &str| get(&fleet, 0, path, "r-away", &[(names::KEY, key)]).await.status;
        if are_keys_strict {
            wait_for("the end of the keys", async || status("/any/x", BLUE).await == StatusCode::SERVICE_UNAVAILABLE)
                .await;
        } else {
            tokio::time::sleep(Duration::from_millis(u64::from(REVOKE_MS) * 2)).await;
            assert_eq!(status("/any/x", BLUE).await, StatusCode::OK, "{:?}", outage_start.elapsed());
        }
        // An unknown key may have been issued during the outage.
        wait_for("a refusal of the unknown key as unverified", async || {
            status("/any/x", "Bearer a-new-key").await == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        assert_eq!(status("/open/x", BLUE).await, StatusCode::OK);
        fleet.platform.state.faults.outage.store(false, Ordering::Relaxed);
        wait_for("the end of the outage", async || status("/any/x", BLUE).await == StatusCode::OK).await;
        wait_for("a refusal of the unknown key as invalid", async || {
            status("/any/x", "Bearer a-new-key").await == StatusCode::UNAUTHORIZED
        })
        .await;
    }
}

/// Sends requests of a team to all nodes in rotation and returns their statuses.
async fn send_many(fleet: &RouteFleet, key: &str, count: usize, pause: Duration) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let id = format!("{}-{number}", team_name(key));
        statuses.push(get(fleet, number % fleet.nodes.len(), "/any/x", &id, &[(names::KEY, key)]).await.status);
        tokio::time::sleep(pause).await;
    }
    statuses
}

fn team_name(key: &str) -> &str {
    key.trim_start_matches("Bearer ").split('-').next().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_enforce_the_rate_limit_of_a_team_and_not_of_others() {
    let limit = (4.0, 4.0);
    let teams = vec![
        write_team("blue", &[strip_scheme(BLUE)], Some(limit)),
        write_team("red", &[strip_scheme(RED)], Some((400.0, 40.0))),
    ];
    let fleet = start(teams).await;
    let started = Instant::now();
    let (blue, red) = tokio::join!(
        send_many(&fleet, BLUE, 300, Duration::from_millis(5)),
        send_many(&fleet, RED, 100, Duration::from_millis(15)),
    );
    let elapsed = started.elapsed().as_secs_f64();
    // The limit holds in any window, so the limit of the test is that of all the consecutive windows that it took.
    let windows = (elapsed / f64::from(USAGE_WINDOW_S)).ceil();
    let window_limit = (limit.0 * f64::from(USAGE_WINDOW_S) + limit.1) * (1.0 + USAGE_EXCESS) + USAGE_ALLOWANCE;
    let ran = |name: &str| received_teams(&fleet).iter().filter(|(_, teams)| teams == &[name]).count();
    assert!(ran("blue") as f64 <= windows * window_limit, "{} ran in {elapsed} s", ran("blue"));
    assert!(blue.contains(&StatusCode::OK) && blue.contains(&StatusCode::TOO_MANY_REQUESTS), "{blue:?}");
    assert!(blue.iter().all(|status| [200, 429].contains(&status.as_u16())), "{blue:?}");
    assert!(red.iter().all(|status| *status == StatusCode::OK), "{red:?}");
    let refused = get(&fleet, 0, "/any/x", "r-over", &[(names::KEY, BLUE)]).await;
    if refused.status == StatusCode::TOO_MANY_REQUESTS {
        let wait = header(&refused, "retry-after").and_then(|wait| wait.parse::<f64>().ok());
        assert!(wait.is_some_and(|wait| wait > 0.0), "{refused:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_reaches_no_server_uses_no_credit() {
    let fleet = start(vec![write_team("blue", &[strip_scheme(BLUE)], Some((0.01, 1.0)))]).await;
    for server in &fleet.servers {
        server.state.switches.refuse.store(true, Ordering::Relaxed);
    }
    for number in 0..30 {
        // Unused credit may be returned shortly after the caller has its answer.
        wait_for("the returned credit", async || {
            let answer = get(&fleet, number % 3, "/any/x", &format!("r-{number}"), &[(names::KEY, BLUE)]).await;
            answer.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
    }
}

/// The time after which a refused caller may retry.
fn retry_delay(answer: &CallAnswer) -> Duration {
    let seconds = header(answer, "retry-after").and_then(|wait| wait.parse::<f64>().ok());
    Duration::from_secs_f64(seconds.unwrap_or_else(|| panic!("no time in {answer:?}")))
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_over_the_limit_return_one_after_the_other_and_are_served() {
    let teams = vec![write_team("blue", &[strip_scheme(BLUE)], Some((20.0, 4.0)))];
    let plan = RouteFleetPlan { settings: "return_turns: true\n", ..plan(teams) };
    let fleet = &RouteFleet::start(plan).await.expect("a fleet");
    let calls = (0..60).map(|number| async move {
        let first = get(fleet, 0, "/any/x", &format!("first-{number}"), &[(names::KEY, BLUE)]).await;
        if first.status == StatusCode::OK {
            return None;
        }
        assert_eq!(first.status, StatusCode::TOO_MANY_REQUESTS, "{first:?}");
        tokio::time::sleep(retry_delay(&first)).await;
        let second = get(fleet, 0, "/any/x", &format!("second-{number}"), &[(names::KEY, BLUE)]).await;
        Some((number, second.status))
    });
    let returned: Vec<(usize, StatusCode)> =
        futures_util::future::join_all(calls).await.into_iter().flatten().collect();
    let has_reservation = |number: &usize| {
        let id = format!("request=first-{number} ");
        !fleet.nodes[0].logged(&["event=over_limit", &id, "turn=Given"]).is_empty()
    };
    let returned: Vec<StatusCode> =
        returned.into_iter().filter_map(|(number, status)| has_reservation(&number).then_some(status)).collect();
    let served = returned.iter().filter(|status| **status == StatusCode::OK).count();
    // Of callers with the same retry time only one is served. A caller whose machine is late loses its reservation to
    // another one.
    assert!(returned.len() > 5 && served * 4 >= returned.len() * 3, "{returned:?}");
}
