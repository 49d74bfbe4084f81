//! Servers that fail, refuse, hang or answer for others, with real processes: which calls are retried, what runs and
//! what callers are told.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::json;
use streamfold_lab::route_checks::{
    check_answer, format_refusal, get, header, local_server, remote_server, service_target, start_pair, start_single,
    wait_delegated,
};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::server::{RouteServer, RouteServerPlan, RouteSwitches};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_server_is_avoided() {
    let fleet = start_pair().await;
    fleet.servers[0].state.switches.pause_ms.store(30_000, Ordering::Relaxed);
    wait_for("a request that reached the paused server", async || {
        let id = format!("r-{}", fleet.servers[1].state.runs().len());
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        !fleet.servers[0].state.calls().is_empty()
    })
    .await;
    assert!(fleet.servers[0].state.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_far_server_is_preferred_to_one_that_reports_a_slow_pace() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.work_ms.store(20, Ordering::Relaxed);
    }
    // Until the node knows the usual latency of a call.
    for number in 0..30 {
        let id = format!("usual-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    assert!(fleet.servers[1].state.calls().is_empty(), "the near server is preferred");
    fleet.servers[0].state.pace.store(2_000, Ordering::Relaxed);
    let mut number = 0;
    wait_for("a request at the far server", async || {
        number += 1;
        let id = format!("slow-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        !fleet.servers[1].state.calls().is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_answers_for_another_is_not_called_again() {
    let fleet = start_pair().await;
    fleet.servers[0].state.set_id("i-other");
    for number in 0..60 {
        let id = format!("r-{number}");
        let path = if number % 2 == 0 { "/any/x" } else { "/once/x" };
        check_answer(&fleet, &get(&fleet, path, &id).await, &id);
        assert_eq!(fleet.count_runs(&id), 1);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), 1);
    // Not even when the only other server refuses.
    fleet.servers[1].state.switches.refuse.store(true, Ordering::Relaxed);
    for path in ["/any/x", "/once/x"] {
        assert_eq!(get(&fleet, path, "r-refused").await.status, 503);
    }
    assert_eq!(fleet.servers[0].state.calls().len(), 1);
    assert!(fleet.servers[0].state.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_goes_to_another_server() {
    for path in ["/any/x", "/once/x"] {
        let fleet = start_pair().await;
        fleet.servers[0].state.switches.refuse.store(true, Ordering::Relaxed);
        for number in 0..10 {
            let id = format!("r-{number}");
            check_answer(&fleet, &get(&fleet, path, &id).await, &id);
            assert_eq!(fleet.count_runs(&id), 1);
        }
        assert_eq!(fleet.servers[0].state.calls()[0].id(), "r-0", "the near server is called first");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn when_all_servers_refuse_the_caller_is_told_that_the_request_did_not_run() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.refuse.store(true, Ordering::Relaxed);
    }
    let mut results = Vec::new();
    for (path, id) in [("/any/x", "r-any"), ("/once/x", "r-once")] {
        let answer = get(&fleet, path, id).await;
        results.push(format!("{path}: {}", format_refusal(&answer)));
        assert!(fleet.count_calls(id) > 0);
        assert_eq!(fleet.count_runs(id), 0);
    }
    insta::assert_snapshot!(results.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_repeated() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.lose_answer.store(true, Ordering::Relaxed);
    }
    for number in 0..10 {
        let id = format!("r-{number}");
        let answer = get(&fleet, "/once/x", &id).await;
        assert_eq!((answer.status.as_u16(), fleet.count_calls(&id)), (502, 1), "{answer:?}");
        assert_eq!(header(&answer, "retry-after"), None);
    }
    let answer = get(&fleet, "/any/x", "r-any").await;
    assert_eq!(answer.status, 502, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_request_that_ran_is_not_sent_to_the_same_server_again() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.lose_answer.store(true, Ordering::Relaxed);
    }
    let answer = get(&fleet, "/any/x", "r-any").await;
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(fleet.count_calls("r-any"), 2, "a repeatable request goes to the other server too");
    let fleet = start_single().await;
    let switches = &fleet.servers[0].state.switches;
    for (name, fault) in
        [("wrong", &switches.wrong_id), ("cut", &switches.cut_body), ("before", &switches.surplus_first)]
    {
        fault.store(true, Ordering::Relaxed);
        let answer = get(&fleet, "/any/x", name).await;
        assert_eq!((answer.status.as_u16(), fleet.count_calls(name)), (502, 1), "{name}: {answer:?}");
        fault.store(false, Ordering::Relaxed);
    }
}

/// The number of servers that ran a request.
fn count_runners(fleet: &RouteFleet, id: &str) -> usize {
    let ran = |server: &&RouteServer| server.state.runs().iter().any(|run| run.request.id() == id);
    fleet.servers.iter().filter(ran).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_runs_on_no_more_servers_than_its_route_allows() {
    let mut servers: Vec<RouteServerPlan> = (0..5).map(|number| local_server(&format!("i-{number}"), "cart")).collect();
    for shard in ["s-0", "s-1"] {
        servers.extend((0..4).map(|number| remote_server(&format!("{shard}-{number}"), shard)));
    }
    let gather = json!({ "gather": ["s-0", "s-1"], "topK": 7, "minCoverage": 0.5, "maxAttempts": 2 });
    let routes = vec![write_route("any", "/any/", &service_target("cart")), write_route("all", "/all/", &gather)];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 1], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    // Servers answer until the first node delegates the shards.
    wait_delegated(&fleet, 2).await;
    for server in &fleet.servers {
        server.state.switches.wrong_id.store(true, Ordering::Relaxed);
    }
    for number in 0..5 {
        let id = format!("any-{number}");
        assert_eq!(get(&fleet, "/any/x", &id).await.status, 502);
        assert!((1..=3).contains(&count_runners(&fleet, &id)), "{id}: {}", count_runners(&fleet, &id));
        let id = format!("all-{number}");
        assert_eq!(get(&fleet, "/all/x", &id).await.status, 502);
        assert!((2..=4).contains(&count_runners(&fleet, &id)), "{id}: {}", count_runners(&fleet, &id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_reachable_server_does_not_run() {
    let mut fleet = start_pair().await;
    let addresses: Vec<SocketAddr> = fleet.servers.iter().map(|server| server.address).collect();
    fleet.servers.clear();
    // The tasks of the stand-ins end a moment after they are dropped. Until then a port accepts connections, and a
    // request that was sent on one of them may have run.
    for address in addresses {
        wait_for("a closed port", async || TcpStream::connect(address).await.is_err()).await;
    }
    let mut results = Vec::new();
    for path in ["/any/x", "/once/x"] {
        results.push(format!("{path}: {}", format_refusal(&get(&fleet, path, "r-0").await)));
    }
    insta::assert_snapshot!(results.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_answer_of_a_server_is_forwarded_unchanged() {
    let fleet = start_pair().await;
    for server in &fleet.servers {
        server.state.switches.fail.store(true, Ordering::Relaxed);
    }
    let answer = get(&fleet, "/once/x", "r-once").await;
    assert_eq!((answer.status.as_u16(), fleet.count_calls("r-once")), (500, 1), "{answer:?}");
    assert_eq!(header(&answer, "x-request-id"), Some("r-once"));
    fleet.servers[1].state.switches.fail.store(false, Ordering::Relaxed);
    let before = fleet.servers[0].state.runs().len();
    let mut number = 0;
    wait_for("a request that failed at one server first", async || {
        number += 1;
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        fleet.servers[0].state.runs().len() > before
    })
    .await;
}

/// Returns the switch of a server's fault.
type Fault = fn(&RouteSwitches) -> &AtomicBool;

/// Faults that write bytes other than the complete answer to the request on a connection.
const BYTE_FAULTS: [(&str, Fault); 4] = [
    ("wrong", |switches| &switches.wrong_id),
    ("cut", |switches| &switches.cut_body),
    ("before", |switches| &switches.surplus_first),
    ("after", |switches| &switches.surplus),
];

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_another_request_never_reaches_a_caller() {
    for (name, fault) in BYTE_FAULTS {
        let fleet = start_pair().await;
        fault(&fleet.servers[0].state.switches).store(true, Ordering::Relaxed);
        for number in 0..10 {
            let id = format!("{name}-{number}");
            check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
        }
        assert_eq!(fleet.servers[0].state.calls()[0].id(), format!("{name}-0"), "the near server is called first");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_another_request_does_not_make_a_request_run_twice() {
    for (name, fault) in BYTE_FAULTS {
        let fleet = start_pair().await;
        fault(&fleet.servers[0].state.switches).store(true, Ordering::Relaxed);
        for number in 0..10 {
            let id = format!("{name}-{number}");
            let answer = get(&fleet, "/once/x", &id).await;
            match answer.status.is_success() {
                true => check_answer(&fleet, &answer, &id),
                false => assert_eq!(answer.status, 502, "{id}: {answer:?}"),
            }
            assert_eq!(fleet.count_calls(&id), 1, "{id}");
        }
        assert_eq!(fleet.servers[0].state.calls()[0].id(), format!("{name}-0"), "the near server is called first");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_no_wrong_bytes_from_a_single_faulty_server() {
    let fleet = start_single().await;
    let switches = &fleet.servers[0].state.switches;
    for (name, fault) in
        [("wrong", &switches.wrong_id), ("cut", &switches.cut_body), ("before", &switches.surplus_first)]
    {
        fault.store(true, Ordering::Relaxed);
        let once = format!("{name}-once");
        let answer = get(&fleet, "/once/x", &once).await;
        assert_eq!((answer.status.as_u16(), fleet.count_calls(&once)), (502, 1), "{name}: {answer:?}");
        let answer = get(&fleet, "/any/x", name).await;
        assert_eq!(answer.status, 502, "{name}: {answer:?}");
        fault.store(false, Ordering::Relaxed);
    }
    switches.surplus.store(true, Ordering::Relaxed);
    for number in 0..30 {
        let id = format!("after-{number}");
        let answer = get(&fleet, "/any/x", &id).await;
        // Surplus bytes may cost a connection, but no request.
        check_answer(&fleet, &answer, &id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_closes_each_connection_costs_no_request() {
    let fleet = start_single().await;
    fleet.servers[0].state.switches.close.store(true, Ordering::Relaxed);
    for number in 0..30 {
        let id = format!("r-{number}");
        let path = if number % 2 == 0 { "/any/x" } else { "/once/x" };
        check_answer(&fleet, &get(&fleet, path, &id).await, &id);
    }
    assert_eq!(fleet.servers[0].state.connections.load(Ordering::Relaxed), 30);
}
