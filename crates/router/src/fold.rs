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
    /// Records under this one may have been left out.
    pub floor: Option<Record>,
}

/// A record as a number: the order of records is that of their bytes.
pub type Record = u128;

/// The whole records of a body.
fn read_records(body: &[u8]) -> impl Iterator<Item = Record> {
    let whole = body.chunks_exact(RECORD_LEN);
    whole.filter_map(|record| record.try_into().ok()).map(Record::from_be_bytes)
}

/// The last of the wanted records of a folded body; `None` while there are fewer of them, so
/// that any further one would belong to them.
pub fn find_last(folded: &[u8], top: usize) -> Option<Record> {
    let is_full = top.checked_mul(RECORD_LEN) == Some(folded.len());
    read_records(folded).last().filter(|_| is_full)
}

/// The records of a body that are not under a floor.
pub fn cut_records(body: &[u8], floor: Option<Record>) -> Vec<u8> {
    let kept = read_records(body).filter(|record| floor.is_none_or(|floor| *record >= floor));
    kept.flat_map(Record::to_be_bytes).collect()
}

/// The greatest records of some parts, greatest first, compared byte by byte. Equal records
/// all count.
pub fn fold_records<'a>(parts: impl Iterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<Record> = parts.flat_map(|part| read_records(part)).collect();
    let descending = |a: &Record, b: &Record| b.cmp(a);
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
