//! A request that must not run twice ran on two servers, or was refused with 503 although it had run: a server sent a
//! second copy of a refusal late, in the place of the answer to a later call on the connection, and the copy counted
//! for that call.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::{Method, StatusCode};
use streamfold_lab::route_checks::{get, start_pair, start_single};
use streamfold_lab::route_fleet::RouteFleet;

/// Late copies that the servers send in each test.
const LATE_COPIES: u64 = 10;
/// Requests after which a test gives up.
const MAX_REQUESTS: usize = 2_000;

fn count_late_copies(fleet: &RouteFleet) -> u64 {
    fleet.servers.iter().map(|server| server.state.late_copies.load(Ordering::Relaxed)).sum()
}

/// Sends requests that are refused once each and must not run twice, until enough late copies were sent.
async fn check_once(fleet: &RouteFleet) {
    for server in &fleet.servers {
        server.state.switches.late_copy.store(true, Ordering::Relaxed);
    }
    for number in 0..MAX_REQUESTS {
        if count_late_copies(fleet) >= LATE_COPIES {
            return;
        }
        let state = &fleet.servers[number % fleet.servers.len()].state;
        state.switches.refuse_next.store(1, Ordering::Relaxed);
        let id = format!("r-{number}");
        let answer = fleet.call(0, Method::POST, "/once/x", &id, Bytes::new()).await.expect("an answer");
        let runs = fleet.count_runs(&id);
        assert!(runs <= 1, "{id} ran {runs} times: {answer:?}");
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            assert_eq!(runs, 0, "{id} was refused although it had run: {answer:?}");
        }
    }
    panic!("only {} late copies were sent", count_late_copies(fleet));
}

/// Guards against a copy with the id of an earlier request that counts for the one that is due.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_a_refusal_makes_no_other_request_run_twice() {
    check_once(&start_pair().await).await;
}

/// Guards against a copy of a refusal that counts for a later attempt of the same request at the same server, which the
/// request id does not tell apart.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_its_own_refusal_does_not_make_a_request_run_twice() {
    let fleet = start_single().await;
    check_once(&fleet).await;
    fleet.servers[0].state.switches.late_copy.store(false, Ordering::Relaxed);
    fleet.servers[0].state.switches.refuse_next.store(1, Ordering::Relaxed);
    let answer = get(&fleet, "/once/x", "after").await;
    assert_eq!((answer.status, fleet.count_runs("after")), (StatusCode::OK, 1), "{answer:?}");
}
