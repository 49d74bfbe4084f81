//! Folds the answers of shards into one: their greatest records.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;

/// The length of a record in bytes.
pub const RECORD_LEN: usize = 16;

/// What one shard answered.
#[derive(Debug, Clone)]
pub struct ShardPart {
    /// The server's proof.
    pub proof: HeaderValue,
    /// Its records; a shorter remainder at the end is none.
    pub records: Bytes,
}

/// The greatest records of some parts, greatest first, compared byte by byte. Equal records
/// all count.
pub fn fold_records<'a>(parts: impl Iterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        let whole = part.chunks_exact(RECORD_LEN);
        records.extend(whole.filter_map(|record| record.try_into().ok()).map(u128::from_be_bytes));
    }
    let descending = |a: &u128, b: &u128| b.cmp(a);
    if top < records.len() {
        if top > 0 {
            records.select_nth_unstable_by(top - 1, descending);
        }
        records.truncate(top);
    }
    records.sort_unstable_by(descending);
    let mut body = BytesMut::with_capacity(records.len() * RECORD_LEN);
    for record in records {
        body.extend_from_slice(&record.to_be_bytes());
    }
    body.freeze()
}
