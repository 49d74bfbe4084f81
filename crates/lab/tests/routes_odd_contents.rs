//! Entries of other writers with odd contents, one after the other while requests run, with real processes: a node that
//! reads the store and others that follow it. A content that ended a node or its watch would end all of them, again
//! after each start.

use std::cell::Cell;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use streamfold_lab::client::{CallAnswer, LabClient};
use streamfold_lab::route_checks::{check_answer, local_server, remote_server, service_target};
use streamfold_lab::route_fleet::{DOMAINS, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::wait_for;
use streamfold_standin::documents::{CONFIG, CONFIG_NAME, EVACUATIONS, SERVERS, write_team, write_team_document};
use streamfold_standin::odd_contents::{OddContent, odd_contents, odd_values, place_value};
use streamfold_standin::server::FIRST_START_MS;

const NODES: &str = "streamfold-nodes";
const CRASHES: &str = "streamfold-crashes";
/// The key of the team in the documents of these tests.
const KEY: &str = "secret";
/// The header of a request with that key.
const KEY_HEADER: (&str, &str) = ("authorization", "Bearer secret");
/// Names of odd entries before, among and after those of the servers.
const ODD_NAMES: [&str; 3] = ["a-odd", "i-0-odd", "z-odd"];
/// Names of odd crash records.
const ODD_DIGESTS: [&str; 3] =
    ["11111111111111111111111111111111", "22222222222222222222222222222222", "33333333333333333333333333333333"];
/// Length of odd contents, in bytes, after which a node must have read them: an answer with all of them would be longer
/// than a node reads.
const MAX_UNREAD_LEN: usize = 1 << 20;
/// Number of entries of 900 KB, of which a tenth is more than a node reads in one answer.
const LONG_ENTRIES: usize = 100;
/// Pause between two requests of the load.
const LOAD_PAUSE: Duration = Duration::from_millis(10);

fn routes() -> Vec<Value> {
    vec![
        write_route("any", "/any/", &service_target("cart")),
        write_route("all", "/all/", &json!({ "gather": ["cart", "find"], "topK": 8, "minCoverage": 0.5 })),
        write_route("split", "/split/", &split_target(1.0, 1.0)),
    ]
}

fn split_target(first: f64, second: f64) -> Value {
    json!({ "split": [{ "service": "cart", "weight": first }, { "service": "find", "weight": second }] })
}

/// Starts a fleet of three nodes in one failure domain and one in the other. The last server of the plan is registered
/// by the test.
async fn start(count: usize) -> RouteFleet {
    let mut servers: Vec<_> = (0..count).map(|number| local_server(&format!("i-{number}"), "cart")).collect();
    servers.push(remote_server("i-find", "find"));
    let plan = RouteFleetPlan { nodes: [3, 1], servers, routes: routes(), ..RouteFleetPlan::default() };
    RouteFleet::start(plan).await.expect("a fleet")
}

fn put_raw(fleet: &RouteFleet, kind: &str, name: &str, content: &OddContent) {
    fleet.platform.state.put_raw(kind, name, content.text.as_bytes());
}

/// Checks that no node's process has ended and none has panicked.
fn check_alive(fleet: &mut RouteFleet, beside: &str) {
    for node in &mut fleet.nodes {
        let status = node.process.try_wait().expect("a status");
        assert!(status.is_none(), "beside {beside}, node {} ended: {status:?}", node.name);
        let panics = node.logged(&["event=panicked"]);
        assert!(panics.is_empty(), "beside {beside}, node {}: {panics:?}", node.name);
    }
}

async fn call(fleet: &RouteFleet, node: usize, path: &str, id: &str) -> CallAnswer {
    let answer = fleet.call_with(node, Method::GET, path, id, &[KEY_HEADER], Bytes::new()).await;
    answer.unwrap_or_else(|error| panic!("{id} at node {node}: {error}"))
}

/// Waits until each node has a log line with these texts.
async fn wait_logged(fleet: &RouteFleet, texts: &[&str]) {
    for node in &fleet.nodes {
        wait_for(&format!("{texts:?} at {}", node.name), async || !node.logged(texts).is_empty()).await;
    }
}

/// Sends requests to all nodes until `is_done`; each must be served.
async fn run_load(fleet: &RouteFleet, is_done: &Cell<bool>) {
    let mut number = 0;
    while !is_done.get() {
        let (node, id) = (number % fleet.nodes.len(), format!("load-{number}"));
        let answer = call(fleet, node, "/any/x", &id).await;
        check_answer(fleet, &answer, &id);
        number += 1;
        tokio::time::sleep(LOAD_PAUSE).await;
    }
    assert!(number > 0, "no request was sent");
}

/// Runs work while requests to all nodes are served.
async fn run_beside_load(fleet: &RouteFleet, work: impl Future<Output = ()>) {
    let is_done = Cell::new(false);
    let work = async {
        work.await;
        is_done.set(true);
    };
    tokio::join!(run_load(fleet, &is_done), work);
}

fn server_entry() -> Value {
    json!({ "service": "other", "address": "127.0.0.1:9", "zone": DOMAINS[1], "capacity": 2, "state": "ready",
        "warmupLeftMs": 0, "born": FIRST_START_MS, "sequence": 1 })
}

fn node_entry() -> Value {
    json!({ "incarnation": 7, "failure_domain": DOMAINS[0], "peer_address": "127.0.0.1:9", "power": "1" })
}

fn crash_entry() -> Value {
    json!({ "crashed": ["i-8@5", "i-9"], "trials": 1 })
}

/// Puts every odd content into every list, under a few names that each turn odd in another way again and again.
async fn put_odd_entries(fleet: &RouteFleet) {
    put_odd_contents(fleet, SERVERS, &ODD_NAMES, &server_entry()).await;
    put_odd_contents(fleet, NODES, &ODD_NAMES, &node_entry()).await;
    put_odd_contents(fleet, CRASHES, &ODD_DIGESTS, &crash_entry()).await;
    for content in odd_values() {
        put_raw(fleet, EVACUATIONS, "zone-odd", &content);
    }
}

async fn put_odd_contents(fleet: &RouteFleet, kind: &str, names: &[&str], proper: &Value) {
    let mut unread_len = 0;
    for (number, content) in odd_contents(proper).iter().enumerate() {
        put_raw(fleet, kind, names[number % names.len()], content);
        unread_len += content.text.len();
        if unread_len > MAX_UNREAD_LEN {
            wait_read(fleet, kind, number).await;
            unread_len = 0;
        }
    }
    wait_read(fleet, kind, usize::MAX).await;
}

/// Waits until a node of each failure domain has read all changes of a list.
async fn wait_read(fleet: &RouteFleet, kind: &str, number: usize) {
    let name = format!("last-{kind}-{number}-odd");
    fleet.platform.state.put_object(kind, &name, json!("no entry"));
    for domain in DOMAINS {
        wait_for(&format!("{name} to be read in {domain}"), async || {
            let nodes = fleet.nodes.iter().filter(|node| node.name.starts_with(domain));
            nodes.into_iter().any(|node| !node.logged(&["event=entry_unreadable", &name]).is_empty())
        })
        .await;
    }
    fleet.platform.state.remove_object(kind, &name);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_ended_nodes_or_their_watches() {
    let mut fleet = start(4).await;
    for late in [2, 3] {
        fleet.unregister(late);
        wait_logged(&fleet, &["event=server_gone", &format!("server=i-{late} ")]).await;
    }
    run_beside_load(&fleet, put_odd_entries(&fleet)).await;
    check_alive(&mut fleet, "odd entries");
    check_followed(&fleet);
    fleet.register(2, "ready");
    check_used(&fleet, 2).await;
    // A page of the store is about 1 MB.
    fleet.platform.state.page_len.store(1, Ordering::Relaxed);
    fleet.restart_all().await.expect("a restart");
    fleet.wait_ready(StatusCode::OK).await.expect("nodes are ready");
    check_used(&fleet, 2).await;
    fleet.register(3, "ready");
    check_used(&fleet, 3).await;
    fleet.unregister(2);
    wait_logged(&fleet, &["event=server_gone", "server=i-2 "]).await;
    check_alive(&mut fleet, "odd entries, after a restart");
}

/// Checks that no node's watch was lost.
fn check_followed(fleet: &RouteFleet) {
    for node in &fleet.nodes {
        let lost = node.logged(&["event=feed_lost"]);
        assert!(lost.is_empty(), "node {}: {lost:?}", node.name);
    }
}

/// Checks that requests at each node reach a server.
async fn check_used(fleet: &RouteFleet, server: usize) {
    for node in 0..fleet.nodes.len() {
        let mut number = 0;
        wait_for(&format!("a call of node {node} to i-{server}"), async || {
            let id = format!("used-{server}-{node}-{number}");
            number += 1;
            let answer = call(fleet, node, "/any/x", &id).await;
            check_answer(fleet, &answer, &id);
            fleet.servers[server].state.calls().iter().any(|call| call.id() == id)
        })
        .await;
    }
}

/// Guards against a watch whose answer is longer than the client reads, so that it fails again and again.
#[tokio::test(flavor = "multi_thread")]
async fn many_long_entries_at_once_ended_the_watches() {
    let mut fleet = start(3).await;
    fleet.unregister(2);
    wait_logged(&fleet, &["event=server_gone", "server=i-2 "]).await;
    fleet.platform.state.page_len.store(1, Ordering::Relaxed);
    let state = fleet.platform.state.clone();
    run_beside_load(&fleet, async {
        // The first of them answers the open watch; the others are there when the next watch is opened, after a pause.
        for number in 0..LONG_ENTRIES {
            let content = format!("\"{number}{}\"", "x".repeat(900_000));
            state.put_raw(SERVERS, &format!("j-odd-{number}"), content.as_bytes());
        }
        wait_for("a watch that was answered with more than a node reads", async || {
            fleet.nodes.iter().any(|node| !node.logged(&["event=feed_lost", "topic=servers"]).is_empty())
        })
        .await;
        fleet.register(2, "ready");
        check_used(&fleet, 2).await;
    })
    .await;
    fleet.unregister(2);
    wait_logged(&fleet, &["event=server_gone", "server=i-2 "]).await;
    check_alive(&mut fleet, "long entries");
}

/// Waits until each node answers with this status.
async fn wait_status(fleet: &RouteFleet, status: StatusCode, what: &str) {
    for node in 0..fleet.nodes.len() {
        let mut number = 0;
        wait_for(&format!("{status} of node {node}, {what}"), async || {
            number += 1;
            let id = format!("{}-{node}-{number}", rand::random::<u64>());
            let answer = call(fleet, node, "/any/x", &id).await;
            if answer.status == StatusCode::OK {
                check_answer(fleet, &answer, &id);
            }
            answer.status == status
        })
        .await;
    }
}

/// Guards against an entry of a server that, once another writer has replaced it, stays out of use after the server has
/// written it again, or keeps sending requests elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_stayed_out_of_use_after_another_writer_had_replaced_its_entry() {
    let mut fleet = start(1).await;
    let proper = fleet.servers[0].entry("ready");
    let with = |field: &str, value: Value| {
        let mut entry = proper.clone();
        entry[field] = value;
        OddContent { name: format!("{field}: {}", entry[field]), text: entry.to_string() }
    };
    let mut contents = vec![
        with("address", json!("127.0.0.1:0")),
        with("address", json!("0.0.0.0:9")),
        with("address", json!("127.0.0.1:65536")),
        with("born", json!(u64::MAX)),
        with("born", json!(1_790_000_000_000_000_u64)),
        with("born", json!(-1)),
        with("service", json!("x".repeat(129))),
        with("zone", json!("x".repeat(65))),
        with("capacity", json!(4_294_967_296_u64)),
    ];
    contents.extend(odd_values().into_iter().filter(|value| value.name.contains("150000")));
    for content in &contents {
        put_raw(&fleet, SERVERS, "i-0", content);
        wait_status(&fleet, StatusCode::SERVICE_UNAVAILABLE, &format!("the entry with {}", content.name)).await;
        fleet.register(0, "ready");
        wait_status(&fleet, StatusCode::OK, &format!("repaired after {}", content.name)).await;
    }
    check_alive(&mut fleet, "replaced entries");
}

/// Guards against entries that are taken as servers and whose numbers overrun a calculation or an allocation.
#[tokio::test(flavor = "multi_thread")]
async fn an_extreme_number_of_a_server_ended_nodes() {
    let mut fleet = start(1).await;
    let proper = fleet.servers[0].entry("ready");
    fleet.unregister(0);
    wait_logged(&fleet, &["event=server_gone", "server=i-0 "]).await;
    let numbers = [
        ("capacity", json!(u32::MAX)),
        ("capacity", json!(0)),
        ("warmupLeftMs", json!(1e308)),
        ("warmupLeftMs", json!(-1e308)),
        ("warmupLeftMs", json!(5e-324)),
        ("zone", json!("z".repeat(64))),
        ("born", json!(253_402_300_799_999_u64)),
    ];
    for (field, value) in numbers {
        let mut entry = proper.clone();
        entry[field] = value;
        fleet.platform.state.put_object(SERVERS, "i-0", entry.clone());
        wait_status(&fleet, StatusCode::OK, &format!("{field} of {}", entry[field])).await;
        fleet.platform.state.remove_object(SERVERS, "i-0");
        wait_status(&fleet, StatusCode::SERVICE_UNAVAILABLE, &format!("gone with {field}")).await;
        check_alive(&mut fleet, field);
    }
}

/// Guards against a server that stays out of use after another writer's entry with a later start under its name is gone:
/// its own entry was taken for that of an older run.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_stayed_out_of_use_after_an_entry_with_a_later_start_was_gone() {
    let mut fleet = start(1).await;
    let mut later = fleet.servers[0].entry("ready");
    later["born"] = json!(FIRST_START_MS + 5);
    fleet.platform.state.put_object(SERVERS, "i-0", later);
    wait_logged(&fleet, &["event=server_restarted", "server=i-0 "]).await;
    fleet.platform.state.remove_object(SERVERS, "i-0");
    wait_logged(&fleet, &["event=server_doubtful", "server=i-0 "]).await;
    fleet.register(0, "ready");
    wait_logged(&fleet, &["event=server_restarted", "server=i-0 ", &format!("start={FIRST_START_MS}")]).await;
    for node in 0..fleet.nodes.len() {
        let id = format!("served-{node}");
        check_answer(&fleet, &call(&fleet, node, "/any/x", &id).await, &id);
    }
    check_alive(&mut fleet, "a later start");
}

/// Guards against a server that is called at the address in another writer's entry after it has written its own again,
/// because that entry had a later start.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_stayed_out_of_use_after_it_had_replaced_an_entry_with_a_later_start() {
    let mut fleet = start(1).await;
    let mut later = fleet.servers[0].entry("ready");
    later["born"] = json!(FIRST_START_MS + 5);
    later["address"] = json!("127.0.0.1:9");
    fleet.platform.state.put_object(SERVERS, "i-0", later);
    wait_logged(&fleet, &["event=server_restarted", "server=i-0 "]).await;
    fleet.register(0, "ready");
    wait_status(&fleet, StatusCode::OK, "after the server had written its entry again").await;
    check_alive(&mut fleet, "a replaced later start");
}

/// Guards against a server that is used for good after its entry is gone, because the last state of that entry was the
/// one of an older run.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_stayed_in_use_after_its_entry_was_gone_with_an_earlier_start() {
    let mut fleet = start(1).await;
    let mut later = fleet.servers[0].entry("ready");
    later["born"] = json!(FIRST_START_MS + 5);
    fleet.platform.state.put_object(SERVERS, "i-0", later);
    wait_logged(&fleet, &["event=server_restarted", "server=i-0 "]).await;
    fleet.register(0, "ready");
    fleet.unregister(0);
    wait_logged(&fleet, &["event=server_gone", "server=i-0 "]).await;
    check_alive(&mut fleet, "an earlier start");
}

/// Guards against a node that no other one knows any more, after another writer has replaced its entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_stayed_unknown_after_another_writer_had_replaced_its_entry() {
    let plan = RouteFleetPlan {
        nodes: [3, 1],
        servers: vec![local_server("i-0", "cart"), remote_server("i-find", "find")],
        routes: routes(),
        settings: "gone_after: 2s\n",
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    let mut uncallable = node_entry();
    uncallable["peer_address"] = json!("0.0.0.0:0");
    let contents =
        [odd_values().swap_remove(0), OddContent { name: "no address".into(), text: uncallable.to_string() }];
    for (content, replaced) in contents.iter().zip(1..) {
        for node in &fleet.nodes {
            put_raw(&fleet, NODES, &node.name, content);
        }
        for node in &fleet.nodes {
            let what = format!("the entry of {} instead of one with {}", node.name, content.name);
            wait_for(&what, async || node.logged(&["event=own_entry_missing"]).len() >= replaced).await;
            wait_for(&what, async || node.logged(&["event=announced"]).len() > replaced).await;
        }
        wait_status(&fleet, StatusCode::OK, &content.name).await;
    }
    check_alive(&mut fleet, "replaced entries of nodes");
}

fn document(version: u64) -> Value {
    write_team_document(version, &routes(), &[write_team("blue", &[KEY], Some((1e6, 1e6)))])
}

/// The places of numbers in the document.
const NUMBERS: [&str; 21] = [
    "/routes/0/timeoutMs",
    "/routes/0/targetLatencyMs",
    "/routes/0/priority",
    "/routes/0/maxAttempts",
    "/routes/1/timeoutMs",
    "/routes/1/targetLatencyMs",
    "/routes/1/maxAttempts",
    "/routes/1/topK",
    "/routes/1/minCoverage",
    "/routes/2/split/0/weight",
    "/routes/2/split/1/weight",
    "/services/0/maxConnections",
    "/services/0/warmupS",
    "/services/0/warmupPerS",
    "/tenants/0/ratePerS",
    "/tenants/0/burstSize",
    "/tenants/0/priority",
    "/limits/maxHeaderBytes",
    "/limits/maxBodyBytes",
    "/limits/headerTimeoutMs",
    "/limits/idleTimeoutMs",
];

/// The largest and smallest numbers of each type.
fn extreme_numbers() -> Vec<Value> {
    let floats = [1e308, -1e308, 5e-324, -5e-324, 0.1];
    let integers = [u64::MAX, u64::from(u32::MAX), 1 << 53, 1, 0];
    floats.map(|number| json!(number)).into_iter().chain(integers.map(|number| json!(number))).collect()
}

/// Sends a request on each route to each node; each must get an answer, whatever it is.
async fn check_answered(fleet: &RouteFleet, name: &str) {
    for node in 0..fleet.nodes.len() {
        for path in ["/any/x", "/all/x", "/split/x"] {
            let id = format!("answered-{:016x}", rand::random::<u64>());
            let answer = fleet.call_with(node, Method::GET, path, &id, &[KEY_HEADER], Bytes::new()).await;
            assert!(answer.is_ok(), "{path} at node {node} beside {name}: {answer:?}");
        }
    }
}

/// Number of documents that the nodes could not decode.
fn count_unreadable(fleet: &RouteFleet) -> usize {
    fleet.nodes.iter().map(|node| node.logged(&["event=entry_unreadable", "topic=routes"]).len()).sum()
}

/// Writes a document and waits until it is in force at all nodes, or a node could not decode it. Returns whether it is in
/// force.
async fn apply_document(fleet: &RouteFleet, version: u64, document: Value) -> bool {
    let line = ["event=routes_in_force", &format!("version={version} ")];
    let before = count_unreadable(fleet);
    fleet.platform.state.put_object(CONFIG, CONFIG_NAME, document);
    let mut is_in_force = false;
    wait_for(&format!("version {version} to be read"), async || {
        is_in_force = fleet.nodes.iter().all(|node| !node.logged(&line).is_empty());
        is_in_force || count_unreadable(fleet) > before
    })
    .await;
    is_in_force
}

/// Guards against a document that ends the nodes that apply it, or whose number overruns a calculation.
#[tokio::test(flavor = "multi_thread")]
async fn an_extreme_number_of_the_document_ended_nodes() {
    let mut fleet = start(2).await;
    let mut version = 1;
    let mut in_force = 0;
    for place in NUMBERS {
        for number in extreme_numbers() {
            let name = format!("{place} of {number}");
            version += 1;
            let mut odd = document(version);
            *odd.pointer_mut(place).expect("a number") = number;
            in_force += usize::from(apply_document(&fleet, version, odd).await);
            // Callers cannot keep within every limit.
            if !place.starts_with("/limits/") {
                check_answered(&fleet, &name).await;
            }
            check_alive(&mut fleet, &name);
        }
    }
    assert!(in_force > NUMBERS.len(), "only {in_force} documents were in force");
    assert!(apply_document(&fleet, version + 1, document(version + 1)).await);
    // Connections keep the limits under which they were accepted.
    fleet.client = LabClient::default();
    wait_status(&fleet, StatusCode::OK, "after all documents").await;
    check_alive(&mut fleet, "all documents");
}

/// Guards against a document that cannot be decoded and after which later ones are not read.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_document_kept_later_ones_out_of_force() {
    let mut fleet = start(2).await;
    let proper = document(0);
    let mut version = 1;
    for value in odd_values() {
        // A document with a later version is the operator's newest one.
        let contents = place_value(&proper, &value);
        for content in contents.into_iter().filter(|content| !content.name.starts_with("version: ")) {
            put_raw(&fleet, CONFIG, CONFIG_NAME, &content);
            tokio::task::yield_now().await;
        }
        version += 1;
        wait_applied(&fleet, version).await;
        check_alive(&mut fleet, &value.name);
    }
    for node in 0..fleet.nodes.len() {
        let id = format!("served-{node}");
        check_answer(&fleet, &call(&fleet, node, "/any/x", &id).await, &id);
    }
    check_followed(&fleet);
    put_raw(&fleet, CONFIG, CONFIG_NAME, &odd_values()[0]);
    fleet.restart_all().await.expect("a restart");
    version += 1;
    wait_applied(&fleet, version).await;
    fleet.wait_ready(StatusCode::OK).await.expect("nodes are ready");
    wait_status(&fleet, StatusCode::OK, "after a start without routes").await;
}

/// Writes a proper document and waits until it is in force at all nodes.
async fn wait_applied(fleet: &RouteFleet, version: u64) {
    fleet.platform.state.put_object(CONFIG, CONFIG_NAME, document(version));
    wait_logged(fleet, &["event=routes_in_force", &format!("version={version} ")]).await;
}
