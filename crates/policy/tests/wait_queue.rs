//! The queue returns work in order while work is added, removed, put back or expires.

use quickcheck::quickcheck;
use streamfold_policy::Moment;
use streamfold_policy::wait_queue::WaitQueue;

const NEVER: Moment = Moment(u64::MAX);

fn drain(queue: &mut WaitQueue<u8, usize>) -> Vec<usize> {
    std::iter::from_fn(|| queue.pop(Moment(0))).map(|work| work.item).collect()
}

quickcheck! {
    fn work_is_popped_by_key_and_then_by_arrival_without_removed_work(keys: Vec<u8>, removals: Vec<bool>) -> bool {
        let mut queue = WaitQueue::default();
        let ids: Vec<_> = keys.iter().enumerate().map(|(item, key)| queue.push(*key, NEVER, item)).collect();
        let is_removed = |item: usize| removals.get(item).copied().unwrap_or(false);
        for (item, id) in ids.iter().enumerate().filter(|(item, _)| is_removed(*item)) {
            assert_eq!(queue.remove(*id).map(|work| work.item), Some(item));
            assert!(queue.remove(*id).is_none(), "it was already removed");
        }
        let mut expected: Vec<usize> = (0..keys.len()).filter(|item| !is_removed(*item)).collect();
        expected.sort_by_key(|item| keys[*item]);
        queue.len() == expected.len() && drain(&mut queue) == expected && queue.is_empty()
    }

    fn requeued_work_keeps_its_position(keys: Vec<u8>, popped: usize) -> bool {
        let mut queue = WaitQueue::default();
        for (item, key) in keys.iter().enumerate() {
            queue.push(*key, NEVER, item);
        }
        let mut untouched = queue.clone();
        let popped: Vec<_> = (0..popped % (keys.len() + 1)).filter_map(|_| queue.pop(Moment(0))).collect();
        popped.into_iter().rev().for_each(|work| queue.requeue(work));
        drain(&mut queue) == drain(&mut untouched)
    }
}

#[test]
fn expired_work_is_dropped() {
    let mut queue = WaitQueue::default();
    for (item, expires) in [30, 10, 20].into_iter().enumerate() {
        queue.push(0_u8, Moment(expires), item);
    }
    let expired: Vec<usize> = queue.remove_expired(Moment(10)).into_iter().map(|work| work.item).collect();
    assert_eq!((expired, queue.len()), (vec![1], 2));
    assert_eq!(queue.pop(Moment(20)).map(|work| work.item), Some(0));
    assert!(queue.pop(Moment(20)).is_none(), "the last one has expired");
}
