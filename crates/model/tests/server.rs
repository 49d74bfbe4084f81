//! Lists of shards in the protocol between nodes and servers.

use quickcheck::quickcheck;
use streamfold_model::ShardId;
use streamfold_model::server::{format_shards, parse_shards};

const LAST: u32 = u32::MAX;

#[test]
fn shards_are_written_as_ranges_up_to_the_last_number() {
    assert_eq!(format_shards(&[0, 1, 2, 3, 7].map(ShardId)), "0-3,7");
    assert_eq!(format_shards(&[LAST - 1, LAST].map(ShardId)), format!("{}-{LAST}", LAST - 1));
    assert_eq!(format_shards(&[LAST, LAST].map(ShardId)), format!("{LAST},{LAST}"));
}

quickcheck! {
    fn any_list_of_shards_is_read_back(shards: Vec<u32>) -> bool {
        let shards: Vec<ShardId> = shards.into_iter().map(ShardId).collect();
        shards.is_empty() || parse_shards(&format_shards(&shards), shards.len()) == Some(shards)
    }
}
