//! The server side of the relay of store updates: a reader sends them to its followers in the same failure domain.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::SendStream;
use h2::server::SendResponse;
use http::Response;
use streamfold_link::{PeerError, encode_frame, refuse, send_frame};
use tokio::sync::broadcast::{self, error::TryRecvError};
use tokio::time::{Instant, MissedTickBehavior};

use crate::listing::{KnownDigest, KnownEntries, RelaySnapshot};
use crate::relay::{FeedSource, HEARTBEAT_INTERVAL, RelayFrame, RelayRequest};
use crate::router::{Router, RouterPhase};

/// How long a node may take to become a reader after another node subscribes. It may have lost its own reader at the
/// same time, or have started together with the subscriber, and then lists all servers first. The subscriber ends the
/// wait earlier by its own timeouts.
const BECOME_READER_TIMEOUT: Duration = Duration::from_secs(10);
/// How many messages a slow follower may lag behind before it has to subscribe again.
const MAX_LAG: usize = 256;

/// The size in bytes, summed over all followers, from which an update is logged.
const LARGE_UPDATE: usize = 128 << 10;

/// Sends updates to every node that follows this one.
pub struct RelayPublisher {
    updates: broadcast::Sender<Bytes>,
    /// This node's entries with their generation, cached since after a restart of all nodes many subscribe at once.
    cached: Mutex<Option<(u64, Arc<KnownEntries>)>>,
}

impl Default for RelayPublisher {
    fn default() -> Self {
        Self { updates: broadcast::Sender::new(MAX_LAG), cached: Mutex::default() }
    }
}

impl RelayPublisher {
    /// Sends a message to all followers; `build` is only called if there are any.
    pub fn publish(&self, build: impl FnOnce() -> RelayFrame) {
        let followers = self.updates.receiver_count();
        if followers == 0 {
            return;
        }
        let message = build();
        match encode_frame(&message) {
            Ok(frame) => {
                record_update(message.kind(), frame.len() * followers, followers);
                // The send only fails if there is no follower left.
                drop(self.updates.send(frame));
            }
            Err(error) => tracing::error!(event = "relay_frame_failed", %error),
        }
    }
}

/// Counts the bytes of an update that is about to be sent, and logs large ones: on a link of 25 Mbit/s, the smallest
/// update that is logged delays all other traffic by 40 ms.
fn record_update(kind: &'static str, bytes: usize, followers: usize) {
    metrics::counter!("streamfold_relay_bytes_total", "kind" => kind).increment(bytes as u64);
    if bytes >= LARGE_UPDATE {
        tracing::info!(event = "large_news_passed", kind, bytes, followers);
    }
}

/// Whether this node is a reader: it serves, has a source and gets updates of all topics.
fn is_reader(router: &Router) -> bool {
    let is_serving = *router.phase.borrow() == RouterPhase::Serving;
    let has_source = *router.source.borrow() != FeedSource::Undecided;
    is_serving && has_source && router.topics().all(|topic| router.is_followed(topic))
}

/// Sends store updates to another node, whether this one gets them from the store or from its own reader, until this
/// node loses its source or stops, or the other node leaves.
///
/// # Errors
/// Sending on the stream fails.
pub async fn serve(
    router: &Router,
    request: &RelayRequest,
    respond: &mut SendResponse<Bytes>,
) -> Result<(), PeerError> {
    if !is_reader(router) && !may_become_reader(router) {
        return refuse(respond);
    }
    let mut stream = respond.send_response(Response::new(()), false)?;
    let becoming = tokio::time::timeout(BECOME_READER_TIMEOUT, become_reader(router, &mut stream));
    if !becoming.await.unwrap_or(Ok(false))? {
        return Ok(stream.send_data(Bytes::new(), true)?);
    }
    tracing::info!(event = "follower_begun", follower = %request.node);
    // The subscription starts before the snapshot is built, so that no update between them is missed.
    let mut updates = router.relay_publisher.updates.subscribe();
    let snapshot = encode_snapshot(router, &request.known)?;
    record_update("begin", snapshot.len(), 1);
    send_frame(&mut stream, snapshot, false).await?;
    let result = forward_updates(router, &mut updates, &mut stream).await;
    tracing::info!(event = "follower_ended", follower = %request.node);
    result
}

/// Sends the updates that have arrived; returns false if the follower lags too far behind and has to subscribe again.
async fn forward_pending(
    updates: &mut broadcast::Receiver<Bytes>,
    stream: &mut SendStream<Bytes>,
) -> Result<bool, PeerError> {
    loop {
        match updates.try_recv() {
            Ok(frame) => send_frame(stream, frame, false).await?,
            Err(TryRecvError::Empty) => return Ok(true),
            Err(TryRecvError::Lagged(_) | TryRecvError::Closed) => return Ok(false),
        }
    }
}

async fn forward_updates(
    router: &Router,
    updates: &mut broadcast::Receiver<Bytes>,
    stream: &mut SendStream<Bytes>,
) -> Result<(), PeerError> {
    let mut heartbeats = tokio::time::interval_at(Instant::now() + HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = router.feed_changed.subscribe();
    let mut phase = router.phase.subscribe();
    while is_reader(router) {
        let frame = tokio::select! {
            // An update that has arrived does not wait for a heartbeat.
            biased;
            frame = updates.recv() => match frame {
                Ok(frame) => frame,
                // The follower lags too far behind and has to subscribe again.
                Err(_) => break,
            },
            _ = heartbeats.tick() => {
                let ages = router.freshness.ages();
                // A heartbeat must not confirm what the follower has not received.
                let has_all = forward_pending(updates, stream).await?;
                if !has_all {
                    break;
                }
                encode_frame(&RelayFrame::Heartbeat(ages))?
            }
            _ = changed.changed() => continue,
            _ = phase.changed() => continue,
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        send_frame(stream, frame, false).await?;
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Whether this node may become a reader soon. A node that the store refuses does not keep subscribers waiting.
fn may_become_reader(router: &Router) -> bool {
    *router.phase.borrow() == RouterPhase::Serving && !router.store_breaker.is_refused()
}

/// Waits until this node is a reader and meanwhile reports to the subscriber that it is starting; returns whether it
/// became one.
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
            // The subscriber gave up.
            _ = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Ok(false),
        }
    }
    Ok(true)
}

/// Encodes the snapshot for a follower that has the entries of `known`.
fn encode_snapshot(router: &Router, known: &KnownDigest) -> Result<Bytes, PeerError> {
    let snapshot = RelaySnapshot::build(router, known);
    encode_frame(&RelayFrame::Snapshot(Box::new(snapshot)))
}

/// This node's current entries, cached until they change.
pub(crate) fn known_entries(router: &Router) -> Arc<KnownEntries> {
    let generation = router.cluster.generation();
    let mut cached = router.relay_publisher.cached.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some((_, entries)) = cached.as_ref().filter(|(cached, _)| *cached == generation) {
        return entries.clone();
    }
    let entries = Arc::new(KnownEntries::of(router));
    *cached = Some((generation, entries.clone()));
    entries
}
