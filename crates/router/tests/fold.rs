//! Folding the records of shards, and which records need not be sent.

use bytes::Bytes;
use streamfold_router::fold::{Record, cut_records, find_last, fold_records};

fn body(records: &[Record]) -> Bytes {
    records.iter().flat_map(|record| record.to_be_bytes()).collect::<Vec<u8>>().into()
}

fn read(body: &[u8]) -> Vec<Record> {
    body.chunks_exact(16).map(|record| Record::from_be_bytes(record.try_into().expect("16 bytes"))).collect()
}

/// The records of a shard, the same in each run.
fn make_shard(seed: u128, shard: u128) -> Bytes {
    let records: Vec<Record> =
        (0..20).map(|number| (seed * 7_919 + shard * 104_729 + number * 1_299_709) % 5_003).collect();
    body(&records)
}

#[test]
fn the_last_wanted_record_is_known_only_when_all_wanted_are_there() {
    let folded = fold_records([body(&[5, 9, 1]), body(&[7, 7])].iter(), 3);
    assert_eq!(read(&folded), [9, 7, 7]);
    let seen: Vec<Option<Record>> = [2, 3, 4, 0, usize::MAX].map(|top| find_last(&folded, top)).to_vec();
    assert_eq!(seen, [None, Some(7), None, None, None]);
}

#[test]
fn records_under_the_floor_and_remainders_are_cut() {
    let mut bytes = body(&[3, 8, 7, 7, 2]).to_vec();
    bytes.extend_from_slice(&[255; 9]);
    assert_eq!(read(&cut_records(&bytes, Some(7))), [8, 7, 7]);
    assert_eq!(read(&cut_records(&bytes, None)), [3, 8, 7, 7, 2]);
    assert!(cut_records(&bytes, Some(9)).is_empty());
}

#[test]
fn a_fold_with_cut_records_is_that_of_all_records() {
    let mut cut_away = 0;
    for seed in 0..200 {
        let here = [make_shard(seed, 1), make_shard(seed, 2), make_shard(seed, 3)];
        let late = make_shard(seed, 4);
        let floor = find_last(&fold_records(here.iter(), 10), 10);
        let cut = Bytes::from(cut_records(&late, floor));
        cut_away += late.len() - cut.len();
        let whole = fold_records(here.iter().chain([&late]), 10);
        assert_eq!(fold_records(here.iter().chain([&cut]), 10), whole, "seed {seed}");
    }
    assert!(cut_away > 0, "nothing was cut in any of the folds");
}
