//! News of the store passed on to other nodes of the failure domain.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::SendStream;
use h2::server::SendResponse;
use http::Response;
use streamfold_link::{PeerError, encode_frame, refuse, send_frame};
use tokio::sync::broadcast;

use crate::listing::{KnownDigest, KnownEntries, RelaySnapshot};
use crate::relay::{FeedSource, HEARTBEAT_INTERVAL, RelayFrame, RelayRequest};
use crate::router::{Router, RouterPhase};

/// How long a node may take to become a reader after it was asked: it may have lost its own reader at the same
/// moment, or have been started with the node that asks, and lists all servers then. That one waits no longer than
/// it wants to.
const BECOME_WITHIN: Duration = Duration::from_secs(10);
/// Messages that a slow follower may lag behind before it has to begin anew.
const MAX_LAG: usize = 256;

/// News of so many bytes, for all followers together, have a line in the log.
const LARGE_NEWS: usize = 128 << 10;

/// Passes news to every node that follows this one.
pub struct RelayPublisher {
    news: broadcast::Sender<Bytes>,
    /// What this node knows with the generation of it: after a restart of all nodes many ask for it at once.
    known: Mutex<Option<(u64, Arc<KnownEntries>)>>,
}

impl Default for RelayPublisher {
    fn default() -> Self {
        Self { news: broadcast::Sender::new(MAX_LAG), known: Mutex::default() }
    }
}

impl RelayPublisher {
    /// Passes a message on; it is only made if anybody listens.
    pub fn publish(&self, make: impl FnOnce() -> RelayFrame) {
        let followers = self.news.receiver_count();
        if followers == 0 {
            return;
        }
        let message = make();
        match encode_frame(&message) {
            Ok(frame) => {
                note_passed(message.kind(), frame.len() * followers, followers);
                // Without a receiver left there is nobody to tell.
                drop(self.news.send(frame));
            }
            Err(error) => tracing::error!(event = "relay_frame_failed", %error),
        }
    }
}

/// Counts bytes of news that are about to go out, and tells of many at once: on a link of 25 Mbit/s the
/// least that is told holds up all else for 40 ms.
fn note_passed(kind: &'static str, bytes: usize, followers: usize) {
    metrics::counter!("streamfold_relay_bytes_total", "kind" => kind).increment(bytes as u64);
    if bytes >= LARGE_NEWS {
        tracing::info!(event = "large_news_passed", kind, bytes, followers);
    }
}

/// Whether this node may be followed.
fn is_reader(router: &Router) -> bool {
    let is_serving = *router.phase.borrow() == RouterPhase::Serving;
    let has_source = *router.source.borrow() != FeedSource::Undecided;
    is_serving && has_source && router.topics().all(|topic| router.is_followed(topic))
}

/// Passes the news of the store to another node, whether this one has them from the store or from
/// another node in turn, until it has none any more, stops, or the other node goes.
///
/// # Errors
/// The stream fails.
pub async fn serve(
    router: &Router,
    request: &RelayRequest,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), PeerError> {
    if !is_reader(router) && !may_become_reader(router) {
        return refuse(respond);
    }
    let mut stream = respond.send_response(Response::new(()), false)?;
    let becoming = tokio::time::timeout(BECOME_WITHIN, become_reader(router, &mut stream));
    if !becoming.await.unwrap_or(Ok(false))? {
        return Ok(stream.send_data(Bytes::new(), true)?);
    }
    tracing::info!(event = "follower_begun", follower = %request.node);
    // Subscribed before the listing is made, so that nothing is missed between them.
    let mut news = router.relay_publisher.news.subscribe();
    let begin = encode_begin(router, &request.known)?;
    note_passed("begin", begin.len(), 1);
    send_frame(&mut stream, begin, false).await?;
    let result = pass_on(router, &mut news, &mut stream).await;
    tracing::info!(event = "follower_ended", follower = %request.node);
    result
}

async fn pass_on(
    router: &Router,
    news: &mut broadcast::Receiver<Bytes>,
    stream: &mut SendStream<Bytes>,
) -> Result<(), PeerError> {
    let alive = encode_frame(&RelayFrame::Heartbeat)?;
    let mut changed = router.feed_changed.subscribe();
    let mut phase = router.phase.subscribe();
    while is_reader(router) {
        let frame = tokio::select! {
            frame = news.recv() => match frame {
                Ok(frame) => frame,
                // It lags too far behind and has to begin anew.
                Err(_) => break,
            },
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => alive.clone(),
            _ = changed.changed() => continue,
            _ = phase.changed() => continue,
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        send_frame(stream, frame, false).await?;
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Whether this node may soon follow the store. One that the store turns away does not keep others waiting.
fn may_become_reader(router: &Router) -> bool {
    *router.phase.borrow() == RouterPhase::Serving && !router.store_turn.is_refused()
}

/// Waits for this node to follow the store, and says that it is about to; whether it does.
async fn become_reader(router: &Router, stream: &mut SendStream<Bytes>) -> Result<bool, PeerError> {
    let starting = encode_frame(&RelayFrame::Starting)?;
    let mut changed = router.feed_changed.subscribe();
    while !is_reader(router) {
        if !may_become_reader(router) {
            return Ok(false);
        }
        send_frame(stream, starting.clone(), false).await?;
        tokio::select! {
            _ = changed.changed() => {}
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            // The other node waits no longer.
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Ok(false),
        }
    }
    Ok(true)
}

/// The first message to a follower that has something already.
fn encode_begin(router: &Router, known: &KnownDigest) -> Result<Bytes, PeerError> {
    let listing = RelaySnapshot::build(router, &known_entries(router), known);
    encode_frame(&RelayFrame::Snapshot(Box::new(listing)))
}

/// What this node knows now.
pub(crate) fn known_entries(router: &Router) -> Arc<KnownEntries> {
    let generation = router.cluster.generation();
    let mut known = router.relay_publisher.known.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some((_, entries)) = known.as_ref().filter(|(made, _)| *made == generation) {
        return entries.clone();
    }
    let entries = Arc::new(KnownEntries::of(router));
    *known = Some((generation, entries.clone()));
    entries
}
