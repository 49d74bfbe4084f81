//! Reads the body of a caller's request up to its size limit and its deadline, or discards the rest of it after an early
//! answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use streamfold_policy::retry_after::RefusalReason;
use tokio::time::Instant;

use crate::answer::RefusalKind;
use crate::caller_connection::{BodyGuard, CallerConnection};
use crate::growing_buffer::GrowingBuffer;

/// How many bytes of an unread body are still read, and for how long. The connection of a caller that
/// keeps writing beyond these limits is closed.
const MAX_DISCARDED: usize = 8 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or the body is malformed.
    #[error("the body could not be read")]
    Broken,
    /// It exceeds its limit.
    #[error("the body is too long")]
    TooLong,
    /// There is no memory for it.
    #[error("there is no memory for the body")]
    NoMemory,
}

/// Reads a complete body. Its memory is counted for as long as any part of it is in use.
///
/// # Errors
/// The body exceeds the limit, ends early or is not complete at the deadline, or there is no memory for it.
pub(crate) async fn read_body(
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
    connection: &Arc<CallerConnection>,
) -> Result<Bytes, RefusalKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(RefusalKind::TooLong);
    }
    let reading = read_all(body, limit, connection.start_body());
    let read = tokio::time::timeout_at(deadline, reading).await.map_err(|_| RefusalKind::Late)?;
    read.map_err(|error| match error {
        BodyError::Broken => RefusalKind::BadRequest,
        BodyError::TooLong => RefusalKind::TooLong,
        BodyError::NoMemory => {
            metrics::counter!("streamfold_bodies_without_memory_total").increment(1);
            tracing::info!(event = "body_without_memory", peer = %connection.peer);
            RefusalKind::not_run(RefusalReason::NoMemory)
        }
    })
}

/// Copies the pieces of a body of at most `limit` bytes into one buffer. Kept one by one, pieces of a few bytes would take
/// many times their length.
///
/// # Errors
/// The body exceeds the limit or ends early, or there is no memory for it.
pub async fn read_all<B>(body: &mut B, limit: usize, mut guard: BodyGuard) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = GrowingBuffer::new(limit);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        let growth = buffer.growth(data.len()).map_err(|_| BodyError::TooLong)?;
        if !guard.grow(growth).await {
            return Err(BodyError::NoMemory);
        }
        buffer.push(&data).map_err(|error| {
            tracing::warn!(event = "body_not_buffered", %error);
            BodyError::NoMemory
        })?;
        guard.note_taken();
    }
    Ok(guard.finish(buffer))
}

/// Reads and discards what a request that was answered early left of its body, in the background and within limits. If
/// the connection were closed while the caller still writes, it would be reset and the caller would lose the answer.
pub(crate) fn discard_rest(body: Incoming) {
    if !body.is_end_stream() {
        tokio::spawn(discard(body));
    }
}

/// Reads and discards the rest of a body, within limits.
pub async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B) {
    let reading = async {
        let mut left = MAX_DISCARDED;
        while let Some(Ok(frame)) = body.frame().await {
            let Some(rest) = left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) else { return };
            left = rest;
        }
    };
    // The data is discarded whether or not it ends in time.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}
