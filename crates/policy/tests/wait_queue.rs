//! A line gives its work out in order, whatever joins, leaves, comes back or expires meanwhile.

use quickcheck::quickcheck;
use streamfold_policy::Moment;
use streamfold_policy::wait_queue::WaitQueue;

const NEVER: Moment = Moment(u64::MAX);

fn drain(line: &mut WaitQueue<u8, usize>) -> Vec<usize> {
    std::iter::from_fn(|| line.pop(Moment(0))).map(|work| work.item).collect()
}

quickcheck! {
    fn work_comes_out_by_key_and_then_by_arrival_without_what_left(keys: Vec<u8>, leaving: Vec<bool>) -> bool {
        let mut line = WaitQueue::default();
        let places: Vec<_> = keys.iter().enumerate().map(|(item, key)| line.push(*key, NEVER, item)).collect();
        let leaves = |item: usize| leaving.get(item).copied().unwrap_or(false);
        for (item, place) in places.iter().enumerate().filter(|(item, _)| leaves(*item)) {
            assert_eq!(line.remove(*place).map(|work| work.item), Some(item));
            assert!(line.remove(*place).is_none(), "it left already");
        }
        let mut expected: Vec<usize> = (0..keys.len()).filter(|item| !leaves(*item)).collect();
        expected.sort_by_key(|item| keys[*item]);
        line.len() == expected.len() && drain(&mut line) == expected && line.is_empty()
    }

    fn work_that_comes_back_has_its_old_place(keys: Vec<u8>, taken: usize) -> bool {
        let mut line = WaitQueue::default();
        for (item, key) in keys.iter().enumerate() {
            line.push(*key, NEVER, item);
        }
        let mut same = line.clone();
        let taken: Vec<_> = (0..taken % (keys.len() + 1)).filter_map(|_| line.pop(Moment(0))).collect();
        taken.into_iter().rev().for_each(|work| line.requeue(work));
        drain(&mut line) == drain(&mut same)
    }
}

#[test]
fn work_that_has_expired_is_dropped() {
    let mut line = WaitQueue::default();
    for (item, expires) in [30, 10, 20].into_iter().enumerate() {
        line.push(0_u8, Moment(expires), item);
    }
    let expired: Vec<usize> = line.remove_expired(Moment(10)).into_iter().map(|work| work.item).collect();
    assert_eq!((expired, line.len()), (vec![1], 2));
    assert_eq!(line.pop(Moment(20)).map(|work| work.item), Some(0));
    assert!(line.pop(Moment(20)).is_none(), "the last one has expired");
}
