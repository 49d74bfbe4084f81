//! Reads the body of a caller's request up to its size limit and its deadline, or discards the rest of it after an early
//! answer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::answer::RefusalKind;

/// How many bytes of an unread body are still read, and for how long. The connection of a caller that
/// keeps writing beyond these limits is closed.
const MAX_DISCARDED: usize = 8 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a complete body.
///
/// # Errors
/// The body exceeds the limit, ends early or is not complete at the deadline.
pub(crate) async fn read_body(body: &mut Incoming, limit: usize, deadline: Instant) -> Result<Bytes, RefusalKind> {
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalKind::TooLong),
        Ok(Err(_)) => Err(RefusalKind::BadRequest),
        Err(_) => Err(RefusalKind::Late),
    }
}

/// Reads and discards what a request that was answered early left of its body, in the background and within limits. If
/// the connection were closed while the caller still writes, it would be reset and the caller would lose the answer.
pub(crate) fn discard_rest(body: Incoming) {
    if !body.is_end_stream() {
        tokio::spawn(discard(body));
    }
}

async fn discard(mut body: Incoming) {
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
