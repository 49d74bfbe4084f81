//! Other nodes: the links to them, what is believed of them, and batches sent to them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_link::{FrameReader, PeerError, PeerLink};
use streamfold_model::NodeEntry;
use streamfold_policy::Moment;
use streamfold_policy::replica::{CallSample, ReplicaState};

use crate::batch::{BatchFrame, PATH_BATCH, ShardBatch};
use crate::domain::DomainState;
use crate::router::Router;

/// Batches that a node works on at the same time before more of them wait.
const PEER_SLOTS: u32 = 16;
/// How often links that are down are tried again.
const CONNECT_EVERY: Duration = Duration::from_millis(500);
/// The same for a node that has just started: where all were killed together the others come up
/// within half a second, and until then far shards are asked for directly.
const START_CONNECT_EVERY: Duration = Duration::from_millis(100);
/// How long a node counts as just started.
const START_TIME: Duration = Duration::from_secs(2);

/// How much later than its sign of life is due a batch is taken back. Together with the longest wait
/// for that sign it is under the half second that servers' times may exceed the caller's.
const MAX_TRANSIT: Duration = Duration::from_millis(300);

/// Another node.
pub struct PeerNode {
    /// Its entry.
    pub entry: NodeEntry,
    /// Its failure domain.
    pub domain: Arc<DomainState>,
    /// Whether it is an owner in its failure domain.
    pub is_owner: bool,
    /// The link to it.
    pub link: Arc<PeerLink>,
    state: Mutex<ReplicaState>,
    is_stopping: AtomicBool,
}

impl PeerNode {
    /// A node that is not connected to yet.
    pub fn new(entry: NodeEntry, domain: Arc<DomainState>, is_owner: bool) -> Arc<Self> {
        let link = PeerLink::new(entry.peer_address);
        let state = Mutex::new(ReplicaState::new(PEER_SLOTS, Moment::default()));
        Arc::new(Self { entry, domain, is_owner, link, state, is_stopping: AtomicBool::new(false) })
    }

    /// What is believed of it.
    pub fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it may be given work.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.link.is_open()
            && !self.domain.is_dark(now)
            && !self.is_stopping.load(Ordering::Relaxed)
            && !self.state().is_avoided(now)
    }

    /// Marks it as about to stop; its next run has another entry.
    pub fn mark_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

/// Keeps the links to other nodes connected until the node ends.
pub async fn keep_connected(router: Arc<Router>) {
    loop {
        let view = router.cluster.view();
        for peer in view.peers.iter().filter(|peer| !peer.link.is_open()) {
            let (peer, clock) = (peer.clone(), router.clock);
            tokio::spawn(async move {
                if peer.link.ensure_connected().await.is_ok() {
                    peer.domain.note_heard(clock.now());
                    tracing::info!(event = "peer_connected", peer = %peer.entry.node, address = %peer.entry.peer_address);
                }
            });
        }
        let pause = if router.uptime() < START_TIME { START_CONNECT_EVERY } else { CONNECT_EVERY };
        tokio::select! {
            () = tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))) => {}
            () = router.nodes_listed.notified() => {}
        }
    }
}

/// A batch under way at another node. Dropped, the work there is cancelled.
pub struct PendingBatch {
    /// The node.
    pub peer: Arc<PeerNode>,
    reader: Option<FrameReader>,
    record: PeerRecord,
}

/// Tells the node's state how a batch ended, also when it is dropped.
struct PeerRecord {
    peer: Arc<PeerNode>,
    router: Arc<Router>,
    started: Moment,
    sample: CallSample,
}

impl Drop for PeerRecord {
    fn drop(&mut self) {
        let now = self.router.clock.now();
        self.peer.state().finish(now, self.started, self.sample);
    }
}

/// An event of a batch at another node.
pub enum BatchEvent {
    /// A frame arrived.
    Frame(BatchFrame),
    /// The batch failed.
    Failed(PeerError),
}

impl PendingBatch {
    /// A batch about to be sent.
    pub fn new(router: Arc<Router>, peer: Arc<PeerNode>) -> Self {
        let started = router.clock.now();
        peer.state().start(started);
        let record = PeerRecord { peer: peer.clone(), router, started, sample: CallSample::Abandoned };
        Self { peer, reader: None, record }
    }

    /// Sends the batch and waits for its first frame. The batch tells how long its request may still
    /// run as of now, so it is taken back when nothing is heard of it for too long: a node that only
    /// then begins would hand servers more time than the caller has.
    pub async fn send(mut self, batch: ShardBatch) -> (Self, BatchEvent) {
        let within = Duration::from_micros(batch.progress_within_us) + MAX_TRANSIT;
        let link = self.peer.link.clone();
        let begun = async move {
            let mut reader = link.stream(PATH_BATCH, &batch).await?;
            let first = reader.next::<BatchFrame>().await?.ok_or(PeerError::EndedEarly)?;
            Ok::<_, PeerError>((reader, first))
        };
        match tokio::time::timeout(within, begun).await {
            Ok(Ok((reader, first))) => {
                self.reader = Some(reader);
                self.note_frame(&first);
                (self, BatchEvent::Frame(first))
            }
            Ok(Err(error)) => self.fail(error),
            Err(_) => self.fail(PeerError::EndedEarly),
        }
    }

    /// Notes what a frame tells of the node.
    fn note_frame(&mut self, frame: &BatchFrame) {
        self.peer.domain.note_heard(self.record.router.clock.now());
        if let BatchFrame::Done(_) = frame {
            self.record.sample = CallSample::Answered;
        }
    }

    /// Waits for the next frame.
    pub async fn next(mut self) -> (Self, BatchEvent) {
        let Some(reader) = &mut self.reader else { return self.fail(PeerError::NotConnected) };
        match reader.next::<BatchFrame>().await {
            Ok(Some(frame)) => {
                self.note_frame(&frame);
                (self, BatchEvent::Frame(frame))
            }
            Ok(None) => self.fail(PeerError::EndedEarly),
            Err(error) => self.fail(error),
        }
    }

    fn fail(mut self, error: PeerError) -> (Self, BatchEvent) {
        self.record.sample = if error.is_refused() { CallSample::Full } else { CallSample::Failed };
        (self, BatchEvent::Failed(error))
    }
}
