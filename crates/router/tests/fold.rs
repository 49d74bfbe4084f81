//! Folds the records of shards and trims those that cannot be among the wanted ones.

use bytes::Bytes;
use streamfold_router::fold::{Record, find_last_wanted, fold_records, trim_records};

fn body(records: &[Record]) -> Bytes {
    records.iter().flat_map(|record| record.to_be_bytes()).collect::<Vec<u8>>().into()
}

fn read(body: &[u8]) -> Vec<Record> {
    body.chunks_exact(16).map(|record| Record::from_be_bytes(record.try_into().expect("16 bytes"))).collect()
}

/// Deterministic records of a shard.
fn make_shard(seed: u128, shard: u128) -> Bytes {
    let records: Vec<Record> =
        (0..20).map(|number| (seed * 7_919 + shard * 104_729 + number * 1_299_709) % 5_003).collect();
    body(&records)
}

#[test]
fn the_last_wanted_record_is_known_only_once_enough_records_are_there() {
    let folded = fold_records([body(&[5, 9, 1]), body(&[7, 7])].iter(), 3);
    assert_eq!(read(&folded), [9, 7, 7]);
    let seen: Vec<Option<Record>> = [2, 3, 4, 0, usize::MAX].map(|top| find_last_wanted(&folded, top)).to_vec();
    assert_eq!(seen, [None, Some(7), None, None, None]);
}

#[test]
fn records_under_the_floor_and_incomplete_records_are_trimmed() {
    let mut bytes = body(&[3, 8, 7, 7, 2]).to_vec();
    bytes.extend_from_slice(&[255; 9]);
    assert_eq!(read(&trim_records(&bytes, Some(7))), [8, 7, 7]);
    assert_eq!(read(&trim_records(&bytes, None)), [3, 8, 7, 7, 2]);
    assert!(trim_records(&bytes, Some(9)).is_empty());
}

#[test]
fn folding_trimmed_records_gives_the_same_result_as_folding_all_records() {
    let mut trimmed_len = 0;
    for seed in 0..200 {
        let here = [make_shard(seed, 1), make_shard(seed, 2), make_shard(seed, 3)];
        let late = make_shard(seed, 4);
        let floor = find_last_wanted(&fold_records(here.iter(), 10), 10);
        let trimmed = Bytes::from(trim_records(&late, floor));
        trimmed_len += late.len() - trimmed.len();
        let whole = fold_records(here.iter().chain([&late]), 10);
        assert_eq!(fold_records(here.iter().chain([&trimmed]), 10), whole, "seed {seed}");
    }
    assert!(trimmed_len > 0, "no record was trimmed in any of the folds");
}
