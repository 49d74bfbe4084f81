//! Folds the answers of shards into one that contains the greatest records of all of them.

use std::cmp::Ordering;

use bytes::{Bytes, BytesMut};
use http::HeaderValue;

use crate::growing_buffer::GrowingBuffer;

/// The length of a record in bytes.
pub const RECORD_LEN: usize = 16;
/// Up to this number records are folded at once.
const MIN_FOLDED: usize = 4_096;
/// Number of records that are written at once.
const WRITTEN_RECORDS: usize = 4_096;

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

fn descending(a: &Record, b: &Record) -> Ordering {
    b.cmp(a)
}

/// Keeps the `top` greatest records, in any order.
fn keep_greatest(records: &mut Vec<Record>, top: usize) {
    if (1..records.len()).contains(&top) {
        records.select_nth_unstable_by(top - 1, descending);
    }
    records.truncate(top);
}

/// Folds some parts into their `top` greatest records, greatest first, compared byte by byte. Equal records are all
/// kept. It takes no more memory than about twice that of the records wanted.
pub fn fold_records<'a>(parts: impl Iterator<Item = &'a Bytes> + Clone, top: usize) -> Bytes {
    let most = top.saturating_mul(2).max(MIN_FOLDED);
    let total: usize = parts.clone().map(|part| part.len() / RECORD_LEN).sum();
    let mut records: Vec<Record> = Vec::with_capacity(total.min(most));
    for record in parts.flat_map(|part| read_records(part)) {
        if records.len() >= most {
            keep_greatest(&mut records, top);
        }
        records.push(record);
    }
    keep_greatest(&mut records, top);
    records.sort_unstable_by(descending);
    write_records(&records)
}

/// Writes records one after the other. Many of them go to a buffer whose memory the system gets back at once.
fn write_records(records: &[Record]) -> Bytes {
    let len = records.len() * RECORD_LEN;
    let mut body = BytesMut::with_capacity(len.min(RECORD_LEN * WRITTEN_RECORDS));
    let mut buffer = GrowingBuffer::new(len);
    for block in records.chunks(WRITTEN_RECORDS) {
        body.clear();
        block.iter().for_each(|record| body.extend_from_slice(&record.to_be_bytes()));
        if len == body.len() {
            return body.freeze();
        }
        if let Err(error) = buffer.push(&body) {
            tracing::warn!(event = "answer_not_buffered", %error);
            return Bytes::from_iter(records.iter().flat_map(|record| record.to_be_bytes()));
        }
    }
    Bytes::from_owner(buffer)
}
