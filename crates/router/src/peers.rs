//! Client side of the traffic between nodes: the connection to each other node, its estimated state, and the batches of
//! shard calls that are delegated to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use streamfold_link::{FrameReader, PeerError, PeerLink};
use streamfold_model::NodeEntry;
use streamfold_policy::Moment;
use streamfold_policy::replica::{CallSample, ReplicaState};

use crate::batch::{BatchFrame, MAX_BATCH_LEN, PATH_BATCH, ShardBatch};
use crate::caller_limits::MemoryKind;
use crate::domain::DomainState;
use crate::router::Router;

/// Number of batches that a node is assumed to process concurrently; more of them queue there.
const PEER_CONCURRENCY: u32 = 16;
/// Copies of a request's body while a batch is sent: in the batch, and in its frame.
const BATCH_COPIES: usize = 2;
/// Average interval between attempts to reopen closed connections.
const CONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// The same interval while this node starts. After all nodes were killed together, the others restart within half a
/// second; until they are connected, calls to shards in other failure domains are sent directly.
const START_CONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after its start during which a node uses the shorter interval.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// A batch is cancelled if its first frame has not arrived this long after it was due. Together with the longest wait
/// for that frame this is below the 500 ms by which the time limits of servers may exceed that of the caller.
const MAX_TRANSIT: Duration = Duration::from_millis(300);

/// A node that this one is connected to.
pub struct PeerNode {
    /// Its entry in the node list.
    pub entry: NodeEntry,
    /// Its failure domain.
    pub domain: Arc<DomainState>,
    /// Whether it is an owner of its failure domain.
    pub is_owner: bool,
    /// The connection to it.
    pub link: Arc<PeerLink>,
    state: Mutex<ReplicaState>,
    is_stopping: AtomicBool,
}

impl PeerNode {
    /// Creates a node with a closed connection.
    pub fn new(entry: NodeEntry, domain: Arc<DomainState>, is_owner: bool) -> Arc<Self> {
        let link = PeerLink::new(entry.peer_address);
        let state = Mutex::new(ReplicaState::new(PEER_CONCURRENCY, Moment::default()));
        Arc::new(Self { entry, domain, is_owner, link, state, is_stopping: AtomicBool::new(false) })
    }

    /// Its estimated load and the outcomes of earlier batches.
    pub fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether batches may be sent to it: it is connected, reachable, not stopping and not avoided after failures.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.link.is_open()
            && !self.domain.is_unreachable(now)
            && !self.is_stopping.load(Ordering::Relaxed)
            && !self.state().is_avoided(now)
    }

    /// Marks it as stopping. The mark needs no reset, since a restarted node has a new entry.
    pub fn mark_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

/// Reopens closed connections to other nodes until this node stops.
pub async fn keep_connected(router: Arc<Router>) {
    loop {
        let view = router.cluster.view();
        for peer in view.peers.iter().filter(|peer| !peer.link.is_open()) {
            let (peer, clock) = (peer.clone(), router.clock);
            tokio::spawn(async move {
                if peer.link.ensure_connected().await.is_ok() {
                    peer.domain.note_contact(clock.now());
                    tracing::info!(event = "peer_connected", peer = %peer.entry.node, address = %peer.entry.peer_address);
                }
            });
        }
        let interval = if router.uptime() < STARTUP_TIME { START_CONNECT_INTERVAL } else { CONNECT_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))) => {}
            () = router.nodes_listed.notified() => {}
        }
    }
}

/// A batch in progress at another node. Dropping it cancels the work there.
pub struct PendingBatch {
    /// The node that processes the batch.
    pub peer: Arc<PeerNode>,
    reader: Option<FrameReader>,
    recorder: OutcomeRecorder,
}

/// Records the outcome of a batch in the state of its node when dropped.
struct OutcomeRecorder {
    peer: Arc<PeerNode>,
    router: Arc<Router>,
    started: Moment,
    sample: CallSample,
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        let now = self.router.clock.now();
        self.peer.state().finish(now, self.started, self.sample);
    }
}

/// An event of a batch in progress.
pub enum BatchEvent {
    /// A frame arrived.
    Frame(BatchFrame),
    /// The batch failed.
    Failed(PeerError),
}

impl PendingBatch {
    /// Registers a batch that is about to be sent with the state of its node.
    pub fn new(router: Arc<Router>, peer: Arc<PeerNode>) -> Self {
        let started = router.clock.now();
        peer.state().start(started);
        let recorder = OutcomeRecorder { peer: peer.clone(), router, started, sample: CallSample::Abandoned };
        Self { peer, reader: None, recorder }
    }

    /// Sends the batch and waits for its first frame. The batch holds the remaining time of its request as of now, so
    /// it is cancelled if the first frame is overdue: a node that starts it later would give servers more time than the
    /// caller has.
    /// The copies of the request's body count as held until then.
    pub async fn send(mut self, batch: ShardBatch) -> (Self, BatchEvent) {
        let mut copies = self.recorder.router.callers.hold(MemoryKind::Bodies);
        if !copies.try_grow(batch.request.body.len() * BATCH_COPIES) {
            return self.fail(PeerError::NoMemory);
        }
        let first_frame_timeout = Duration::from_micros(batch.progress_within_us) + MAX_TRANSIT;
        let link = self.peer.link.clone();
        let started = async move {
            let mut reader = link.stream_within(PATH_BATCH, &batch, MAX_BATCH_LEN).await?;
            let first = reader.next::<BatchFrame>().await?.ok_or(PeerError::EndedEarly)?;
            Ok::<_, PeerError>((reader, first))
        };
        match tokio::time::timeout(first_frame_timeout, started).await {
            Ok(Ok((reader, first))) => {
                self.reader = Some(reader);
                self.record_frame(&first);
                (self, BatchEvent::Frame(first))
            }
            Ok(Err(error)) => self.fail(error),
            Err(_) => self.fail(PeerError::EndedEarly),
        }
    }

    /// Records the contact with the node and, for the last frame, the success of the batch.
    fn record_frame(&mut self, frame: &BatchFrame) {
        self.peer.domain.note_contact(self.recorder.router.clock.now());
        if let BatchFrame::Done(_) = frame {
            self.recorder.sample = CallSample::Answered;
        }
    }

    /// Waits for the next frame.
    pub async fn next_frame(mut self) -> (Self, BatchEvent) {
        let Some(reader) = &mut self.reader else { return self.fail(PeerError::NotConnected) };
        match reader.next::<BatchFrame>().await {
            Ok(Some(frame)) => {
                self.record_frame(&frame);
                (self, BatchEvent::Frame(frame))
            }
            Ok(None) => self.fail(PeerError::EndedEarly),
            Err(error) => self.fail(error),
        }
    }

    fn fail(mut self, error: PeerError) -> (Self, BatchEvent) {
        self.recorder.sample = match &error {
            PeerError::MessageTooLong(_) | PeerError::NoMemory => CallSample::Abandoned,
            error if error.is_refused() => CallSample::Full,
            _ => CallSample::Failed,
        };
        (self, BatchEvent::Failed(error))
    }
}
