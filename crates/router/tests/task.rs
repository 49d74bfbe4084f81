//! Work that panics.

use std::sync::atomic::{AtomicU32, Ordering};

use streamfold_router::task::{catch_panic, keep_running};

#[tokio::test]
async fn a_task_that_panics_is_begun_anew_and_one_that_ends_is_not() {
    let begun = AtomicU32::new(0);
    keep_running("counts", || async {
        let times = begun.fetch_add(1, Ordering::Relaxed) + 1;
        assert!(times >= 3, "a fault of the task");
    })
    .await;
    assert_eq!(begun.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn work_that_panics_has_no_outcome() {
    assert_eq!(catch_panic(async { 7 }).await, Some(7));
    let faulty = catch_panic(async { Vec::<u8>::new()[usize::from(std::hint::black_box(0u8))] });
    assert_eq!(faulty.await, None);
}
