//! Folds the answers of shards into one that contains the greatest records of all of them.

use bytes::{Bytes, BytesMut};
use http::HeaderValue;

/// The length of a record in bytes.
pub const RECORD_LEN: usize = 16;

/// The answer of one shard.
#[derive(Debug, Clone)]
pub struct ShardPart {
    /// The server's proof that it ran the request.
    pub proof: HeaderValue,
    /// The records of the shard. An incomplete record at the end is ignored.
    pub records: Bytes,
    /// Records less than this one may have been left out.
    pub floor: Option<Record>,
}

/// A record as a big-endian number, so that records compare byte by byte.
pub type Record = u128;

/// The complete records of a body.
fn read_records(body: &[u8]) -> impl Iterator<Item = Record> {
    let whole = body.chunks_exact(RECORD_LEN);
    whole.filter_map(|record| record.try_into().ok()).map(Record::from_be_bytes)
}

/// The last of the `top` wanted records of a folded body; `None` while there are fewer, since any further record would
/// then be wanted.
pub fn find_last_wanted(folded: &[u8], top: usize) -> Option<Record> {
    let is_full = top.checked_mul(RECORD_LEN) == Some(folded.len());
    read_records(folded).last().filter(|_| is_full)
}

/// The records of a body that are not less than the floor.
pub fn trim_records(body: &[u8], floor: Option<Record>) -> Vec<u8> {
    let kept = read_records(body).filter(|record| floor.is_none_or(|floor| *record >= floor));
    kept.flat_map(Record::to_be_bytes).collect()
}

/// Folds some parts into their `top` greatest records, greatest first, compared byte by byte. Equal records are all
/// kept.
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
