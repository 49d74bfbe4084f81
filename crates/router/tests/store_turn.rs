//! While the store refuses calls, one of a node's calls at a time asks whether it takes them again.

use std::sync::atomic::{AtomicUsize, Ordering};

use streamfold_router::store_turn::StoreBreaker;
use streamfold_store::StoreError;
use tokio::sync::oneshot;

const REFUSED: StoreError = StoreError::Unavailable(503);

/// Makes a call that counts itself among those under way, and is refused or taken as told.
async fn ask(turn: &StoreBreaker, asked: &AtomicUsize, told: oneshot::Receiver<bool>) -> bool {
    let call = async {
        asked.fetch_add(1, Ordering::SeqCst);
        match told.await.expect("a word") {
            true => Ok(()),
            false => Err(REFUSED),
        }
    };
    turn.call(call).await.is_ok()
}

#[tokio::test]
async fn calls_that_were_refused_ask_again_one_at_a_time() {
    let turn = StoreBreaker::default();
    assert!(turn.call(async { Err::<(), _>(REFUSED) }).await.is_err());
    let asked = AtomicUsize::new(0);
    let (tell_first, first) = oneshot::channel();
    let (tell_second, second) = oneshot::channel();
    let steps = async {
        while asked.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        for _ in 0..1_000 {
            tokio::task::yield_now().await;
        }
        assert_eq!(asked.load(Ordering::SeqCst), 1, "the second waits for its turn");
        tell_first.send(true).expect("the first call");
        tell_second.send(true).expect("the second call");
    };
    let results = tokio::join!(ask(&turn, &asked, first), ask(&turn, &asked, second), steps);
    assert_eq!((results.0, results.1, asked.load(Ordering::SeqCst)), (true, true, 2));
}

#[tokio::test]
async fn calls_go_together_while_none_is_refused() {
    let turn = StoreBreaker::default();
    let asked = AtomicUsize::new(0);
    let (tell_first, first) = oneshot::channel();
    let (tell_second, second) = oneshot::channel();
    let steps = async {
        while asked.load(Ordering::SeqCst) < 2 {
            tokio::task::yield_now().await;
        }
        tell_first.send(true).expect("the first call");
        tell_second.send(true).expect("the second call");
    };
    let results = tokio::join!(ask(&turn, &asked, first), ask(&turn, &asked, second), steps);
    assert_eq!((results.0, results.1), (true, true));
}

/// Makes two calls of which the first is answered when the test says so; whether the second waited for it.
async fn second_waits(turn: &StoreBreaker) -> bool {
    let asked = AtomicUsize::new(0);
    let (tell_first, first) = oneshot::channel();
    let (tell_second, second) = oneshot::channel();
    let mut asked_at_once = 0;
    let steps = async {
        while asked.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        for _ in 0..1_000 {
            tokio::task::yield_now().await;
        }
        asked_at_once = asked.load(Ordering::SeqCst);
        tell_first.send(true).expect("the first call");
        tell_second.send(true).expect("the second call");
    };
    let results = tokio::join!(ask(turn, &asked, first), ask(turn, &asked, second), steps);
    assert_eq!((results.0, results.1), (true, true));
    asked_at_once == 1
}

/// A store that broke every connection for six seconds was asked by each node for five topics by themselves.
#[tokio::test]
async fn calls_whose_connection_broke_ask_again_one_at_a_time() {
    let turn = StoreBreaker::default();
    assert!(turn.call(async { Err::<(), _>(StoreError::ConnectionBroken) }).await.is_err());
    assert!(second_waits(&turn).await);
}

#[tokio::test]
async fn calls_of_which_one_answer_was_late_go_together() {
    let turn = StoreBreaker::default();
    assert!(turn.call(async { Err::<(), _>(StoreError::AnswerLost) }).await.is_err());
    assert!(!second_waits(&turn).await);
}

#[tokio::test]
async fn one_call_finds_out_whether_a_store_in_doubt_takes_calls() {
    let turn = StoreBreaker::default();
    turn.require_probe();
    assert!(!turn.is_refused(), "nobody was refused");
    assert!(second_waits(&turn).await);
    assert!(!second_waits(&turn).await, "it does");
}

#[tokio::test]
async fn a_call_does_not_wait_for_one_that_a_slow_store_keeps_waiting() {
    let turn = StoreBreaker::default();
    turn.require_probe();
    let asked = AtomicUsize::new(0);
    let (tell_first, first) = oneshot::channel();
    let (tell_second, second) = oneshot::channel();
    tell_second.send(true).expect("the second call");
    let second = async {
        while asked.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        let is_taken = ask(&turn, &asked, second).await;
        tell_first.send(true).expect("the first call");
        is_taken
    };
    assert_eq!(tokio::join!(ask(&turn, &asked, first), second), (true, true));
}
