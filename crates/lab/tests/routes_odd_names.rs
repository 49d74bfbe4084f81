//! Entries of other writers whose names have a meaning in a URL, in every list of the store, with real processes. A node
//! that could not go on after such a name could not list any more: after a restart it had no servers, and beside a lost
//! history it kept those that were gone.

use std::sync::atomic::Ordering;

use http::{Method, StatusCode};
use serde_json::json;
use streamfold_lab::route_checks::{check_answer, local_server, remote_server, service_target};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::documents::{EVACUATIONS, SERVERS};

/// The lists that nodes read in several pages.
const LISTS: [&str; 4] = [SERVERS, EVACUATIONS, "streamfold-nodes", "streamfold-crashes"];
/// Names that end a page: one at which the same page was read again, one that cannot stand in a URL, and one that was
/// read as a name behind all servers.
const ODD_NAMES: [&str; 3] = ["i-2&x", "i-2 x", "%7E"];
/// Number of servers.
const SERVER_COUNT: usize = 6;

async fn start() -> RouteFleet {
    let server = |number: usize| match number % 2 {
        0 => local_server(&format!("i-{number}"), "cart"),
        _ => remote_server(&format!("i-{number}"), "cart"),
    };
    let routes = vec![write_route("any", "/any/", &service_target("cart"))];
    let servers = (0..SERVER_COUNT).map(server).collect();
    let plan = RouteFleetPlan { nodes: [2, 1], servers, routes, ..RouteFleetPlan::default() };
    let fleet = RouteFleet::start(plan).await.expect("a fleet");
    // Each entry ends a page.
    fleet.platform.state.page_len.store(1, Ordering::Relaxed);
    fleet
}

fn put_odd(fleet: &RouteFleet, name: &str) {
    LISTS.into_iter().for_each(|kind| fleet.platform.state.put_object(kind, name, json!({ "of": "another writer" })));
}

async fn check_served(fleet: &RouteFleet, name: &str) {
    for node in 0..fleet.nodes.len() {
        for number in 0..10 {
            let id = format!("r-{node}-{number}");
            let answer = fleet.call(node, Method::GET, "/any/x", &id, bytes::Bytes::new()).await;
            let answer = answer.unwrap_or_else(|error| panic!("beside {name:?}, node {node}: {error}"));
            check_answer(fleet, &answer, &id);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_was_served_after_a_restart_beside_an_entry_with_an_odd_name() {
    for name in ODD_NAMES {
        let mut fleet = start().await;
        put_odd(&fleet, name);
        fleet.restart_all().await.expect("a restart");
        let ready = fleet.wait_ready(StatusCode::OK).await;
        assert!(ready.is_ok(), "beside {name:?}: {ready:?}");
        for node in &fleet.nodes {
            let complete = format!("servers={SERVER_COUNT} ");
            let lines = node.logged(&["event=first_ready", &complete]);
            assert_eq!(lines.len(), 1, "beside {name:?}: {:?}", node.logged(&["event=first_ready"]));
        }
        check_served(&fleet, name).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_were_gone_stayed_in_use_beside_an_entry_with_an_odd_name() {
    for name in ODD_NAMES {
        let fleet = start().await;
        put_odd(&fleet, name);
        fleet.platform.state.forget_history();
        // The last server stays, behind the odd entry.
        let gone = 0..SERVER_COUNT - 1;
        gone.clone().for_each(|server| fleet.unregister(server));
        for (node, server) in fleet.nodes.iter().flat_map(|node| gone.clone().map(move |server| (node, server))) {
            let server = format!("server=i-{server} ");
            let what = format!("a line event=server_gone {server} beside {name:?}");
            wait_for(&what, async || !node.logged(&["event=server_gone", &server]).is_empty()).await;
        }
        let count = || fleet.servers[gone.clone()].iter().map(|server| server.state.calls().len()).sum::<usize>();
        let before = count();
        check_served(&fleet, name).await;
        assert_eq!(count(), before, "a server that is gone was called beside {name:?}");
    }
}
