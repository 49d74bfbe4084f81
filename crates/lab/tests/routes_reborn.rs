//! Servers that start again under the ids that they had, and entries that another writer put into the store. With
//! real processes.

use std::sync::atomic::Ordering;

use serde_json::{Value, json};
use streamfold_lab::route_checks::{check_answer, get, local_server, service_target};
use streamfold_lab::route_fleet::{RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::documents::SERVERS;
use streamfold_standin::server::FIRST_BORN;

async fn start(servers: usize) -> RouteFleet {
    let servers = (0..servers).map(|number| local_server(&format!("i-{number}"), "cart")).collect();
    let routes = vec![write_route("any", "/any/", &service_target("cart"))];
    let plan = RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() };
    RouteFleet::start(plan).await.expect("a fleet")
}

/// Waits until a request is served, by the server itself.
async fn wait_served(fleet: &RouteFleet, name: &str) {
    let mut number = 0;
    wait_for("a request to be served", async || {
        number += 1;
        let id = format!("{name}-{number}");
        let answer = get(fleet, "/any/x", &id).await;
        if answer.status == 200 {
            check_answer(fleet, &answer, &id);
        }
        answer.status == 200
    })
    .await;
}

async fn wait_logged(fleet: &RouteFleet, texts: &[&str]) {
    wait_for(&format!("{texts:?}"), async || !fleet.nodes[0].logged(texts).is_empty()).await;
}

fn put(fleet: &RouteFleet, name: &str, entry: Value) {
    fleet.platform.state.put_object(SERVERS, name, entry);
}

/// The first server's entry with some fields changed.
fn changed(fleet: &RouteFleet, fields: &Value) -> Value {
    let mut entry = fleet.servers[0].entry("ready");
    for (name, value) in fields.as_object().expect("fields") {
        entry[name] = value.clone();
    }
    entry
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_that_starts_again_under_its_id_serves_again() {
    let fleet = start(1).await;
    wait_served(&fleet, "before").await;
    fleet.register(0, "draining");
    wait_logged(&fleet, &["event=server_leaving", "server=i-0"]).await;
    fleet.servers[0].state.born.store(FIRST_BORN + 5, Ordering::Relaxed);
    fleet.register(0, "ready");
    wait_served(&fleet, "after").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_an_older_run_says_late_changes_nothing_of_the_newer_one() {
    let fleet = start(1).await;
    put(&fleet, "i-0", changed(&fleet, &json!({ "born": FIRST_BORN + 5 })));
    wait_logged(&fleet, &["event=server_restarted", "server=i-0"]).await;
    put(&fleet, "i-0", changed(&fleet, &json!({ "born": FIRST_BORN, "state": "draining" })));
    // One more change, after which that one was read.
    put(&fleet, "i-late", changed(&fleet, &json!({ "service": "other" })));
    wait_logged(&fleet, &["event=server_seen", "server=i-late"]).await;
    for number in 0..5 {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    assert_eq!(fleet.nodes[0].logged(&["event=server_leaving"]), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_again_under_its_id_elsewhere_is_asked_there() {
    let mut fleet = start(2).await;
    let moved = fleet.servers.remove(1);
    fleet.unregister(0);
    let entry = moved.entry("ready");
    moved.state.set_id("i-0");
    let address = entry["address"].clone();
    put(&fleet, "i-0", changed(&fleet, &json!({ "address": address, "born": FIRST_BORN + 5 })));
    fleet.platform.state.remove_object(SERVERS, "i-1");
    wait_for("a call there", async || {
        get(&fleet, "/any/x", "r-moved").await;
        moved.state.calls().iter().any(|call| call.header("x-target-instance") == Some("i-0"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_of_another_writer_name_no_server_to_use_and_the_others_hold() {
    let fleet = start(1).await;
    let bad = [
        json!({ "state": "resting" }),
        json!({ "state": 7 }),
        json!({ "capacity": "8" }),
        json!({ "capacity": -1 }),
        json!({ "address": "nowhere" }),
        json!({ "born": 1.5 }),
        json!({ "born": "1790000000000" }),
        json!({ "warmupLeftMs": "long" }),
        json!({ "service": Value::Null }),
    ];
    for (number, fields) in bad.iter().enumerate() {
        put(&fleet, &format!("i-bad-{number}"), changed(&fleet, fields));
    }
    for (number, entry) in [json!("text"), json!([1]), json!({}), Value::Null].into_iter().enumerate() {
        put(&fleet, &format!("i-none-{number}"), entry);
    }
    put(&fleet, "i-last", changed(&fleet, &json!({ "service": "other" })));
    wait_logged(&fleet, &["event=server_seen", "server=i-last"]).await;
    for number in 0..20 {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    let calls = fleet.servers[0].state.calls();
    assert!(calls.iter().all(|call| call.header("x-target-instance") == Some("i-0")), "{calls:?}");
    assert_eq!(fleet.nodes[0].logged(&["event=server_seen", "server=i-bad"]), Vec::<String>::new());
    assert!(fleet.nodes[0].logged(&["event=entry_unreadable"]).len() >= bad.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_entry_that_is_overwritten_by_a_bad_one_is_out_of_use_until_the_next_good_one() {
    let fleet = start(1).await;
    wait_served(&fleet, "before").await;
    put(&fleet, "i-0", changed(&fleet, &json!({ "state": "resting" })));
    wait_for("the server to be out of use", async || get(&fleet, "/any/x", "r-none").await.status == 503).await;
    fleet.register(0, "ready");
    wait_served(&fleet, "after").await;
}
