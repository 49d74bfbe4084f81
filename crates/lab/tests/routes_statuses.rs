//! A faulty server sends an answer whose status is none, or none that an answer can have, with real processes: its caller
//! must not get it as an answer, and a request that must not run twice must not be sent again.

use std::sync::PoisonError;

use bytes::Bytes;
use http::{Method, StatusCode};
use streamfold_lab::client::CallAnswer;
use streamfold_lab::route_checks::{check_answer, get, header, start_pair};
use streamfold_lab::route_fleet::RouteFleet;
use streamfold_standin::names;

/// What stands in the place of a status: numbers that no status has, those of informational answers, of which 101 says
/// that the connection now speaks another protocol, numbers of two and four digits, and no numbers.
const STATUSES: [&str; 17] = [
    "000", "001", "099", "100", "101", "102", "103", "199", "600", "999", "20", "2000", "0200", "-200", "2x0", "abc",
    "٢٠٠",
];

/// A pair of servers of which the near one, which is called first, answers with a status.
async fn start(status: &str) -> RouteFleet {
    let fleet = start_pair().await;
    let text = &fleet.servers[0].state.switches.status_text;
    status.clone_into(&mut text.lock().unwrap_or_else(PoisonError::into_inner));
    fleet
}

/// Checks that an answer is the node's own for a request that may have run.
fn check_lost(answer: &CallAnswer, status: &str) {
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status}: {answer:?}");
    assert_eq!(answer.body, "{\"error\":\"lost\"}", "{status}");
    assert_eq!(header(answer, names::PROOF), None, "{status}: {answer:?}");
}

/// Guards against an answer without a valid status that is passed on, or repeated where it must not be.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_valid_status_is_lost() {
    for status in STATUSES {
        let fleet = start(status).await;
        let answer = fleet.call(0, Method::POST, "/once/x", "once", Bytes::new()).await.expect("an answer");
        assert_eq!((fleet.servers[0].state.runs().len(), fleet.count_runs("once")), (1, 1), "{status}");
        check_lost(&answer, status);
    }
}

/// Guards against an answer without a valid status that is passed on although another server has a valid one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_is_answered_by_another_server_than_one_without_a_valid_status() {
    for status in STATUSES {
        let fleet = start(status).await;
        check_answer(&fleet, &get(&fleet, "/any/x", "any").await, "any");
        assert_eq!(fleet.servers[0].state.runs().len(), 1, "{status}: the near server is called first");
    }
}

/// Guards against a valid status that is taken for an invalid one.
#[tokio::test(flavor = "multi_thread")]
async fn a_valid_status_is_passed_on_unchanged() {
    for status in ["200", "299", "300", "404", "418", "499", "500", "599"] {
        let fleet = start(status).await;
        let answer = fleet.call(0, Method::POST, "/once/x", "once", Bytes::new()).await.expect("an answer");
        assert_eq!(answer.status.as_str(), status, "{answer:?}");
        assert_eq!(answer.body, fleet.servers[0].state.body(), "{status}");
        assert!(header(&answer, names::PROOF).is_some(), "{status}: {answer:?}");
    }
}
