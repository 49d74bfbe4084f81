//! Values of other writers with odd contents in the kinds of nodes that serve indexes, one after the other while queries
//! run, with real processes. A content that ended a node or its watch would end all of them, again after each start.

use std::cell::Cell;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use streamfold_lab::fleet::{Fleet, FleetError, INDEX, NodeHandle, TOKEN};
use streamfold_lab::fleet_plan::{DomainPlan, FleetPlan};
use streamfold_lab::wait::wait_for;
use streamfold_model::{ContentDigest, HeadRecord};
use streamfold_standin::odd_contents::{OddContent, odd_contents, odd_values};

const VMS: &str = "streamfold-vms";
const CONFIG: &str = "streamfold-config";
const SECTIONS: &str = "streamfold-sections";
const AUDIT: &str = "streamfold-audit";
const CLAIMS: &str = "streamfold-claims";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two queries of the load.
const LOAD_PAUSE: Duration = Duration::from_millis(10);

async fn start() -> Fleet {
    let domain = |name| DomainPlan { name, nodes: 2, upstreams: 2 };
    let settings = FleetPlan::default().settings + "claim_rate: 1000\n";
    let domains = vec![domain("vienna"), domain("tyrol")];
    let plan = FleetPlan { domains, has_processes: true, settings, ..FleetPlan::default() };
    Fleet::start(plan).await.expect("a fleet")
}

fn put_raw(fleet: &Fleet, kind: &str, name: &str, content: &OddContent) {
    fleet.platform.state.put_raw(kind, name, content.text.as_bytes());
}

/// Checks that no node's process has ended.
fn check_alive(fleet: &mut Fleet, beside: &str) {
    for node in &mut fleet.nodes {
        if let Some(NodeHandle::Process(child)) = &mut node.handle {
            let status = child.try_wait().expect("a status");
            assert!(status.is_none(), "beside {beside}, node {} ended: {status:?}", node.name);
        }
    }
}

/// Sends queries to all nodes until `is_done`; each must be answered by all shards.
async fn run_load(fleet: &Fleet, is_done: &Cell<bool>) {
    let nodes = fleet.caller_addresses();
    let mut number = 0;
    while !is_done.get() {
        let answer = fleet.query(nodes[number % nodes.len()]).await.expect("an answer");
        assert!(answer.coverage.missing.is_empty(), "{:?}", answer.coverage);
        number += 1;
        tokio::time::sleep(LOAD_PAUSE).await;
    }
    assert!(number > 0, "no query was sent");
}

async fn run_beside_load(fleet: &Fleet, work: impl Future<Output = ()>) {
    let is_done = Cell::new(false);
    let work = async {
        work.await;
        is_done.set(true);
    };
    tokio::join!(run_load(fleet, &is_done), work);
}

/// Waits until every node answers from a version of the configuration.
async fn wait_version(fleet: &Fleet, version: u64) {
    for node in fleet.running() {
        wait_for(&format!("version {version} at {}", node.name), async || {
            let answer = fleet.query(node.addresses.callers).await;
            answer.is_some_and(|answer| answer.config_version.0 == version)
        })
        .await;
    }
}

/// The stored head of the configuration.
fn read_head(fleet: &Fleet) -> Value {
    let (_, head) = fleet.platform.state.dump("config/head").pop().expect("a head");
    json!(String::from_utf8(head.to_vec()).expect("a text"))
}

/// Odd contents of a value, which is text in JSON: odd values in its place, and odd texts in it.
fn odd_texts(proper: &Value) -> Vec<OddContent> {
    let quote = |content: OddContent| OddContent {
        name: format!("text: {}", content.name),
        text: json!(content.text).to_string(),
    };
    odd_contents(proper).into_iter().map(quote).chain(odd_values()).collect()
}

fn parse(text: &Value) -> Value {
    serde_json::from_str(text.as_str().expect("a text")).expect("JSON")
}

async fn order(fleet: &Fleet, key: &str) -> (u16, Value) {
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str()), ("idempotency-key", key)];
    let path = format!("/v1/indexes/{INDEX}/order");
    let body = Bytes::from_static(b"{\"key\":\"cart-1\"}");
    let address = fleet.caller_addresses()[0];
    let answer = fleet.client.call(Method::POST, address, &path, &headers, body, CALL_TIMEOUT).await;
    let answer = answer.expect("an answer");
    (answer.status.as_u16(), serde_json::from_slice(&answer.body).expect("JSON"))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_value_beside_those_of_the_system_ended_nodes() {
    let mut fleet = start().await;
    let vm = json!({ "node": "vm-odd", "domain": "vienna", "peer_address": "127.0.0.1:9", "leaving": false });
    let head = parse(&read_head(&fleet));
    run_beside_load(&fleet, async {
        for content in odd_contents(&vm) {
            put_raw(&fleet, VMS, "vm-odd", &content);
            tokio::task::yield_now().await;
        }
        for content in odd_texts(&head) {
            for (kind, name) in [(CONFIG, "odd"), (SECTIONS, "odd"), (AUDIT, "odd"), (CLAIMS, "odd")] {
                put_raw(&fleet, kind, name, &content);
            }
            tokio::task::yield_now().await;
        }
    })
    .await;
    check_alive(&mut fleet, "odd values");
    // The list of VMs is read every few seconds, so the last odd one is read as well.
    let node = fleet.add_node("vienna", "vienna-new").await.expect("a node");
    fleet.wait_ready().await.expect("nodes are ready");
    let config = fleet.config.clone();
    fleet.apply(&config).await.expect("a change");
    wait_version(&fleet, 2).await;
    check_alive(&mut fleet, &format!("odd values, with node {node}"));
}

/// Guards against an odd head after which no version of the configuration is read, although the proper one is back.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_head_kept_later_versions_out_of_force() {
    let mut fleet = start().await;
    let proper = read_head(&fleet);
    let contents = odd_texts(&parse(&proper));
    run_beside_load(&fleet, async {
        for content in &contents {
            put_raw(&fleet, CONFIG, "head", content);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    check_alive(&mut fleet, "odd heads");
    let config = fleet.config.clone();
    let refused = fleet.apply(&config).await;
    assert!(matches!(refused, Err(FleetError::Apply(..))), "a change on top of an odd head: {refused:?}");
    fleet.add_node("tyrol", "tyrol-new").await.expect("a node");
    fleet.platform.state.put_object(CONFIG, "head", proper);
    fleet.wait_ready().await.expect("nodes are ready");
    fleet.apply(&config).await.expect("a change");
    wait_version(&fleet, 2).await;
    check_alive(&mut fleet, "odd heads");
}

/// Guards against nodes that no longer read the head of the configuration, because the changes since the head that they
/// know are more than an answer may hold.
#[tokio::test(flavor = "multi_thread")]
async fn long_odd_heads_kept_later_versions_out_of_force() {
    let mut fleet = start().await;
    let proper = read_head(&fleet);
    let watches = &fleet.platform.state.calls.watches;
    wait_for("a watch of each node", async || watches.load(Ordering::Relaxed) >= fleet.nodes.len() as u64).await;
    run_beside_load(&fleet, async {
        for number in 0..20 {
            let text = format!("\"{number}{}\"", "x".repeat(900_000));
            put_raw(&fleet, CONFIG, "head", &OddContent { name: number.to_string(), text });
        }
        let mut next: HeadRecord = serde_json::from_value(parse(&proper)).expect("a head");
        next.version.0 += 1;
        fleet.platform.state.put_object(CONFIG, "head", json!(serde_json::to_string(&next).expect("JSON")));
        wait_version(&fleet, next.version.0).await;
    })
    .await;
    check_alive(&mut fleet, "long odd heads");
}

/// Guards against a head with the last version that there is, on top of which a change would count from 0 again.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_with_the_last_version_ended_the_change_on_top_of_it() {
    let mut fleet = start().await;
    let proper = read_head(&fleet);
    let mut last: HeadRecord = serde_json::from_value(parse(&proper)).expect("a head");
    last.version.0 = u64::MAX;
    // The files of no version, so that no node puts it into force.
    last.files.iter_mut().for_each(|file| file.sections = vec![ContentDigest::of(b"of no section")]);
    last.digest = HeadRecord::digest_of(&last.files);
    fleet.platform.state.put_object(CONFIG, "head", json!(serde_json::to_string(&last).expect("JSON")));
    let config = fleet.config.clone();
    let refused = fleet.apply(&config).await;
    assert!(matches!(refused, Err(FleetError::Apply(..))), "a change on top of the last version: {refused:?}");
    assert_eq!(parse(&read_head(&fleet))["version"], json!(u64::MAX), "the change counts from 0 again");
    fleet.platform.state.put_object(CONFIG, "head", proper);
    fleet.apply(&config).await.expect("a change");
    wait_version(&fleet, 2).await;
    check_alive(&mut fleet, "the last version");
}

/// Guards against an order that runs, or ends its node, although another writer holds its key with an odd claim.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_claim_of_a_key_ended_nodes_or_ran_the_order() {
    let mut fleet = start().await;
    let proper = json!({ "attempt": "0".repeat(32), "request": "0".repeat(32), "time_ms": 5 });
    let contents: Vec<OddContent> = odd_texts(&proper).into_iter().step_by(7).collect();
    for (number, content) in contents.iter().enumerate() {
        let key = format!("key-{number}");
        let name = ContentDigest::of(format!("depot\0{key}").as_bytes()).to_string();
        put_raw(&fleet, CLAIMS, &name, content);
        let (status, answer) = order(&fleet, &key).await;
        assert!(status >= 400 && answer["ran"] != "ran", "with {}: {status} {answer}", content.name);
    }
    check_alive(&mut fleet, "odd claims");
    let (status, answer) = order(&fleet, "key-free").await;
    assert_eq!((status, &answer["ran"]), (200, &json!("ran")), "{answer}");
}
