//! Isolation of tasks and requests that panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use streamfold_router::task::{NodeTasks, catch_panic, keep_running};

#[tokio::test]
async fn a_task_is_restarted_after_a_panic_but_not_after_its_end() {
    let starts = AtomicU32::new(0);
    keep_running("counts", || async {
        let start_count = starts.fetch_add(1, Ordering::Relaxed) + 1;
        assert!(start_count >= 3, "a panic of the task");
    })
    .await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn work_that_panics_has_no_outcome() {
    assert_eq!(catch_panic(async { 7 }).await, Some(7));
    let panicking = catch_panic(async { Vec::<u8>::new()[usize::from(std::hint::black_box(0u8))] });
    assert_eq!(panicking.await, None);
}

#[tokio::test]
async fn a_task_of_a_node_is_restarted_after_a_panic() {
    let starts = Arc::new(AtomicU32::new(0));
    let mut tasks = NodeTasks::new(starts.clone());
    tasks.start("counts", |starts| async move {
        let start_count = starts.fetch_add(1, Ordering::Relaxed) + 1;
        assert!(start_count >= 2, "a panic of the task");
    });
    let ended = tasks.into_running().join_next().await.expect("a task");
    assert!(ended.is_ok());
    assert_eq!(starts.load(Ordering::Relaxed), 2);
}
