//! Routing with real processes: which service gets a request, what is forwarded and what is refused.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::json;
use streamfold_lab::route_checks::{
    check_answer, format_refusal, get, header, local_server, service_target, start_single,
};
use streamfold_lab::route_fleet::{HOST, RouteFleet, RouteFleetPlan, write_route};
use streamfold_lab::wait::MAX_WAIT;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn unknown_paths_get_404_and_the_longest_prefix_wins() {
    let servers = vec![local_server("i-0", "wide"), local_server("i-1", "deep")];
    let routes = vec![
        write_route("wide", "/a/", &service_target("wide")),
        write_route("deep", "/a/b/", &service_target("deep")),
    ];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    let mut results = Vec::new();
    for (number, path) in ["/a/x", "/a/b/x", "/a/b", "/a/bc/x", "/a/b/", "/c/x", "/", "/a"].into_iter().enumerate() {
        let id = format!("r-{number}");
        let answer = get(&fleet, path, &id).await;
        let service = header(&answer, "x-server-stamp").and_then(|proof| fleet.find_service_by_proof(&id, proof));
        results.push(format!("{path}: {} {service:?}", answer.status.as_u16()));
    }
    let headers = [("host", "other.example"), ("x-request-id", "r-host")];
    let callers = fleet.nodes[0].addresses.callers;
    let other = fleet.client.call(Method::GET, callers, "/a/x", &headers, Bytes::new(), MAX_WAIT).await;
    results.push(format!("another host: {}", other.expect("an answer").status.as_u16()));
    insta::assert_snapshot!(results.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn before_the_first_configuration_requests_do_not_run() {
    let plan = RouteFleetPlan {
        nodes: [1, 0],
        servers: vec![local_server("i-0", "cart")],
        routes: Vec::new(),
        ..RouteFleetPlan::default()
    };
    let mut fleet = RouteFleet::start(plan).await.expect("a fleet");
    let refused = get(&fleet, "/any/x", "r-0").await;
    insta::assert_snapshot!(format_refusal(&refused));
    assert_eq!(fleet.count_calls("r-0"), 0);
    fleet.put_document(3, &[write_route("any", "/any/", &service_target("cart"))]);
    fleet.wait_ready(StatusCode::OK).await.expect("a ready node");
    check_answer(&fleet, &get(&fleet, "/any/x", "r-1").await, "r-1");
}

/// The headers of a request as a server received it, without its deadline and the framing of its body.
fn forwarded_headers(headers: &[(String, String)]) -> Vec<String> {
    let is_forwarded = |name: &str| !["x-deadline-ms", "content-length", "transfer-encoding"].contains(&name);
    let mut forwarded: Vec<String> =
        headers.iter().filter(|(name, _)| is_forwarded(name)).map(|(name, value)| format!("{name}: {value}")).collect();
    forwarded.sort();
    forwarded
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_and_its_answer_are_forwarded_unchanged() {
    let fleet = start_single().await;
    let server = &fleet.servers[0];
    let fixed = format!(
        "Host: {HOST}\r\nX-Deadline-Ms: 5000\r\nX-Tone: first\r\nX-Tone: second\r\nX-Once: gone\r\n\
         Connection: close, x-once\r\nCookie: a=b; c=\"d\"\r\n"
    );
    let by_length = format!(
        "PUT /any/%C3%A4/b;c?d=e&f=%20g&h HTTP/1.1\r\nX-Request-Id: r-len\r\n{fixed}Content-Length: 11\r\n\r\nhello \0 you"
    );
    let by_chunks = format!(
        "PATCH /any/ HTTP/1.1\r\nX-Request-Id: r-chunk\r\n{fixed}Transfer-Encoding: chunked\r\n\r\n\
         6;note=x\r\nhello \r\n5\r\n\0 you\r\n0\r\n\r\n"
    );
    for (request, status) in [(&by_length, 201), (&by_chunks, 404)] {
        server.state.switches.status.store(status, Ordering::Relaxed);
        let answer = exchange_raw(&fleet, request.as_bytes()).await;
        let (head, body) = answer.split_once("\r\n\r\n").expect("a whole head");
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        assert_eq!(body, String::from_utf8_lossy(&server.state.body()));
        let lower = head.to_ascii_lowercase();
        let run = server.state.runs().pop().expect("a run");
        assert!(lower.contains(&format!("x-server-stamp: {}", run.proof)), "{head}");
        assert!(lower.contains(&format!("x-request-id: {}", run.request.id())), "{head}");
        assert!(lower.contains("x-own: of the server") && !lower.contains("keep-alive: timeout"), "{head}");
    }
    let runs = server.state.runs();
    assert!(runs.iter().all(|run| run.request.deadline_ms().is_some_and(|left| left > 0.0 && left <= 5000.0)));
    let received: Vec<String> = runs
        .iter()
        .map(|run| {
            let request = &run.request;
            let headers = forwarded_headers(&request.headers).join("\n");
            format!("{} {}\n{headers}\n{:?}", request.method, request.path, request.body)
        })
        .collect();
    insta::assert_snapshot!(received.join("\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_split_reaches_its_services_by_weight() {
    let servers = vec![local_server("i-0", "old"), local_server("i-1", "new"), local_server("i-2", "none")];
    let split = json!({ "split": [
        { "service": "old", "weight": 3 }, { "service": "new", "weight": 1.0 }, { "service": "none", "weight": 0 }
    ] });
    let routes = vec![write_route("split", "/any/", &split)];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    for number in 0..400 {
        let id = format!("r-{number}");
        check_answer(&fleet, &get(&fleet, "/any/x", &id).await, &id);
    }
    let runs: Vec<usize> = fleet.servers.iter().map(|server| server.state.runs().len()).collect();
    assert_eq!((runs[0] + runs[1], runs[2]), (400, 0));
    // A correct split falls outside these bounds in about one of ten million runs.
    assert!((55..=150).contains(&runs[1]), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_split_service_without_capacity_refuses_its_share_and_shifts_none() {
    let servers = vec![local_server("i-0", "old"), local_server("i-1", "new")];
    let split = json!({ "split": [{ "service": "old", "weight": 1 }, { "service": "new", "weight": 1 }] });
    let routes = vec![write_route("split", "/any/", &split)];
    let fleet = RouteFleet::start(RouteFleetPlan { nodes: [1, 0], servers, routes, ..RouteFleetPlan::default() })
        .await
        .expect("a fleet");
    fleet.servers[1].state.switches.refuse.store(true, Ordering::Relaxed);
    let mut refused = 0;
    for number in 0..40 {
        let id = format!("r-{number}");
        let answer = get(&fleet, "/any/x", &id).await;
        refused += usize::from(answer.status == StatusCode::SERVICE_UNAVAILABLE);
    }
    let runs: Vec<usize> = fleet.servers.iter().map(|server| server.state.runs().len()).collect();
    assert_eq!((runs[0] + refused, runs[1]), (40, 0));
    // A rotation keeps the share exact within a few requests; a random choice would be outside these bounds in about
    // one run of four.
    assert!((17..=23).contains(&refused), "{refused} refused");
}

/// Sends raw bytes to a node and reads until it closes the connection.
async fn exchange_raw(fleet: &RouteFleet, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(fleet.nodes[0].addresses.callers).await.expect("a connection");
    stream.write_all(request).await.expect("a sent request");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection is to be closed");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_gets_413() {
    let fleet = start_single().await;
    let mut results = Vec::new();
    for (len, id) in [(65_536, "r-fits"), (65_537, "r-over"), (1 << 20, "r-far-over")] {
        let answer = fleet.call(0, Method::POST, "/any/x", id, Bytes::from(vec![b'x'; len])).await;
        let status = answer.expect("an answer").status.as_u16();
        results.push((len, status, fleet.count_calls(id)));
    }
    assert_eq!(results, [(65_536, 200, 1), (65_537, 413, 0), (1 << 20, 413, 0)]);
    let mut chunked = format!(
        "POST /any/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-chunks\r\nConnection: close\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    for _ in 0..66 {
        chunked.push_str(&format!("3e8\r\n{}\r\n", "x".repeat(1000)));
    }
    chunked.push_str("0\r\n\r\n");
    let answer = exchange_raw(&fleet, chunked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(fleet.count_calls("r-chunks"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_id_is_refused_and_not_sent() {
    let fleet = start_single().await;
    let request = format!("GET /any/x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
    let answer = exchange_raw(&fleet, request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(fleet.servers[0].state.calls().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_that_still_writes_gets_its_answer() {
    let fleet = start_single().await;
    for number in 0..20 {
        let id = format!("r-{number}");
        let body = Bytes::from(vec![b'x'; 4 << 20]);
        let answer = fleet.call(0, Method::POST, "/nowhere/x", &id, body).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::NOT_FOUND, "{id}");
    }
}
