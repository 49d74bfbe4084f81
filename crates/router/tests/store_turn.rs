//! While the store refuses calls, one call of a node at a time probes whether it accepts them again.

use std::sync::atomic::{AtomicUsize, Ordering};

use streamfold_router::store_turn::StoreBreaker;
use streamfold_store::StoreError;
use tokio::sync::oneshot;

const REFUSED: StoreError = StoreError::Unavailable(503);

/// Makes a call that increments `call_count` when it starts, and is accepted or refused as the test answers.
async fn call_store(breaker: &StoreBreaker, call_count: &AtomicUsize, answer: oneshot::Receiver<bool>) -> bool {
    let call = async {
        call_count.fetch_add(1, Ordering::SeqCst);
        match answer.await.expect("an answer") {
            true => Ok(()),
            false => Err(REFUSED),
        }
    };
    breaker.call(call).await.is_ok()
}

#[tokio::test]
async fn refused_calls_are_retried_one_at_a_time() {
    let breaker = StoreBreaker::default();
    assert!(breaker.call(async { Err::<(), _>(REFUSED) }).await.is_err());
    let call_count = AtomicUsize::new(0);
    let (answer_first, first) = oneshot::channel();
    let (answer_second, second) = oneshot::channel();
    let steps = async {
        while call_count.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        for _ in 0..1_000 {
            tokio::task::yield_now().await;
        }
        assert_eq!(call_count.load(Ordering::SeqCst), 1, "the second waits for the first");
        answer_first.send(true).expect("the first call");
        answer_second.send(true).expect("the second call");
    };
    let results =
        tokio::join!(call_store(&breaker, &call_count, first), call_store(&breaker, &call_count, second), steps);
    assert_eq!((results.0, results.1, call_count.load(Ordering::SeqCst)), (true, true, 2));
}

#[tokio::test]
async fn calls_run_concurrently_while_none_is_refused() {
    let breaker = StoreBreaker::default();
    let call_count = AtomicUsize::new(0);
    let (answer_first, first) = oneshot::channel();
    let (answer_second, second) = oneshot::channel();
    let steps = async {
        while call_count.load(Ordering::SeqCst) < 2 {
            tokio::task::yield_now().await;
        }
        answer_first.send(true).expect("the first call");
        answer_second.send(true).expect("the second call");
    };
    let results =
        tokio::join!(call_store(&breaker, &call_count, first), call_store(&breaker, &call_count, second), steps);
    assert_eq!((results.0, results.1), (true, true));
}

/// Makes two calls, the first of which is answered when the test allows it, and returns whether the second waited for
/// it.
async fn second_waits(breaker: &StoreBreaker) -> bool {
    let call_count = AtomicUsize::new(0);
    let (answer_first, first) = oneshot::channel();
    let (answer_second, second) = oneshot::channel();
    let mut concurrent_calls = 0;
    let steps = async {
        while call_count.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        for _ in 0..1_000 {
            tokio::task::yield_now().await;
        }
        concurrent_calls = call_count.load(Ordering::SeqCst);
        answer_first.send(true).expect("the first call");
        answer_second.send(true).expect("the second call");
    };
    let results =
        tokio::join!(call_store(breaker, &call_count, first), call_store(breaker, &call_count, second), steps);
    assert_eq!((results.0, results.1), (true, true));
    concurrent_calls == 1
}

/// Guards against a store that breaks every connection for six seconds and is called by each node for each of five
/// topics separately.
#[tokio::test]
async fn calls_with_a_broken_connection_are_retried_one_at_a_time() {
    let breaker = StoreBreaker::default();
    assert!(breaker.call(async { Err::<(), _>(StoreError::ConnectionBroken) }).await.is_err());
    assert!(second_waits(&breaker).await);
}

#[tokio::test]
async fn calls_run_concurrently_after_a_late_answer() {
    let breaker = StoreBreaker::default();
    assert!(breaker.call(async { Err::<(), _>(StoreError::AnswerLost) }).await.is_err());
    assert!(!second_waits(&breaker).await);
}

#[tokio::test]
async fn one_call_probes_a_store_of_unknown_state() {
    let breaker = StoreBreaker::default();
    breaker.require_probe();
    assert!(!breaker.is_refused(), "no call was refused");
    assert!(second_waits(&breaker).await);
    assert!(!second_waits(&breaker).await, "the store accepts calls");
}

#[tokio::test]
async fn a_call_does_not_wait_for_a_probe_that_a_slow_store_delays() {
    let breaker = StoreBreaker::default();
    breaker.require_probe();
    let call_count = AtomicUsize::new(0);
    let (answer_first, first) = oneshot::channel();
    let (answer_second, second) = oneshot::channel();
    answer_second.send(true).expect("the second call");
    let second = async {
        while call_count.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        let is_accepted = call_store(&breaker, &call_count, second).await;
        answer_first.send(true).expect("the first call");
        is_accepted
    };
    assert_eq!(tokio::join!(call_store(&breaker, &call_count, first), second), (true, true));
}
