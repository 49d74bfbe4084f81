//! The body of a caller's request: read whole within its limit, or what is left of it read and dropped.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::answer::RefusalKind;

/// The most bytes of a refused request's body that are still read, and how long that may take: a caller that
/// goes on writing beyond them is cut off.
const MAX_DISCARDED: usize = 8 << 20;
const DISCARD_WITHIN: Duration = Duration::from_secs(2);

/// Reads a body whole.
///
/// # Errors
/// It is over the limit, or it broke off.
pub(crate) async fn read_body(body: &mut Incoming, limit: usize) -> Result<Bytes, RefusalKind> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RefusalKind::TooLong),
        Err(_) => Err(RefusalKind::BadRequest),
    }
}

/// Reads what is left of a refused request's body beside the refusal, within bounds. A connection that is closed while
/// its caller still writes is reset, and the caller loses the refusal.
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
    // Whether it ends in time or not, nothing of it is wanted.
    let _ = tokio::time::timeout(DISCARD_WITHIN, reading).await;
}
