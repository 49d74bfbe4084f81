//! Messages between nodes. Every decode is bounded by the limit of its kind.

use std::fmt;

use bincode::{Decode, Encode};
use streamfold_model::{
    AttemptOutcome, CallerName, ConfigBundle, ExecutionState, Incarnation, IndexName, IndexVersion, MissingReason,
    NodeId, RequestId, ShardId, UpstreamName,
};
use streamfold_policy::{HandoverRecord, HeldVersions, MemberEntry};

/// Path of a batch of pieces for one owner.
pub const PATH_BATCH: &str = "/batch";
/// Path of an order forwarded to the node that minted its ticket.
pub const PATH_ORDER: &str = "/order";
/// Path of a heartbeat.
pub const PATH_GOSSIP: &str = "/gossip";
/// Path of a request for the configuration in force.
pub const PATH_CONFIG: &str = "/config";
/// Path of a hand-over of tickets.
pub const PATH_ADOPT: &str = "/adopt";

/// One batch: everything a request wants from one owner.
#[derive(Debug, Clone, Encode, Decode)]
pub struct BatchRequest {
    /// The request.
    pub request: RequestId,
    /// Time left to its deadline, in microseconds.
    pub remaining_us: u64,
    /// The index.
    pub index: IndexName,
    /// The pinned version; without one the owner only tells which versions are held.
    pub version: Option<IndexVersion>,
    /// Whether attempts may be repeated.
    pub repeatable: bool,
    /// The key of a request that is not repeatable, passed on to the server.
    pub key: Option<String>,
    /// The caller's body.
    pub body: Vec<u8>,
    /// What is wanted.
    pub pieces: Vec<PieceRequest>,
}

/// The shards wanted at one upstream.
#[derive(Debug, Clone, Encode, Decode)]
pub struct PieceRequest {
    /// Its number within the batch.
    pub piece: u32,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The shards.
    pub shards: Vec<ShardId>,
}

/// What became of one piece; an owner sends one frame for each.
#[derive(Debug, Clone, Encode, Decode)]
pub struct PieceReply {
    /// Its number.
    pub piece: u32,
    /// How its last attempt ended, or the worst of several.
    pub outcome: AttemptOutcome,
    /// The index version the results come from.
    pub version: Option<IndexVersion>,
    /// Results by shard, or why there are none.
    pub result: Result<Vec<(ShardId, Vec<u8>)>, MissingReason>,
    /// The versions the upstream is believed to hold.
    pub held: Option<HeldVersions>,
    /// Calls made for it.
    pub calls: u32,
    /// Microseconds it waited for slots.
    pub waited_us: u64,
    /// Microseconds it was served.
    pub served_us: u64,
}

impl PieceReply {
    /// The reply for a piece that its owner never told of.
    pub fn lost(piece: u32, outcome: AttemptOutcome, reason: MissingReason) -> Self {
        Self { piece, outcome, version: None, result: Err(reason), held: None, calls: 0, waited_us: 0, served_us: 0 }
    }
}

/// An order for the node that minted its ticket.
#[derive(Debug, Clone, Encode, Decode)]
pub struct OrderRequest {
    /// The request.
    pub request: RequestId,
    /// Time left to its deadline, in microseconds.
    pub remaining_us: u64,
    /// Who orders.
    pub caller: CallerName,
    /// The index.
    pub index: IndexName,
    /// The record's key, which names the shard.
    pub record: String,
    /// The ticket.
    pub ticket: String,
    /// The caller's body.
    pub body: Vec<u8>,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum OrderReply {
    /// It ran; these are the shard, the index version and the server's result.
    Done {
        /// The shard it went to.
        shard: ShardId,
        /// The version the server answered from.
        version: IndexVersion,
        /// The server's result.
        result: Vec<u8>,
    },
    /// It gave no result.
    Failed(OrderFailure),
}

/// Why an order gave no result, and whether it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum OrderFailure {
    /// No attempt could start or the server refused; it did not run.
    Missing(MissingReason),
    /// The attempt's answer was lost; it may have run.
    OutcomeUnknown,
    /// The key was used before and its outcome is not remembered.
    AlreadyTaken,
    /// The ticket is forged or another caller's.
    BadTicket,
    /// The ticket has expired and no outcome is remembered for it.
    Expired,
    /// The ticket's node cannot be reached.
    MinterGone,
    /// The node is stopping and runs no more orders.
    Stopping,
    /// The store could not be used to claim the key.
    ClaimFailed,
    /// The node remembers as many keys as it may.
    Full,
}

impl fmt::Display for OrderFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Missing(reason) => return write!(f, "its shard cannot run it now: {reason}"),
            Self::OutcomeUnknown => "its answer was lost, so it may have run",
            Self::AlreadyTaken => "its key was used before and that use's outcome is not remembered here",
            Self::BadTicket => "the ticket is forged or another caller's",
            Self::Expired => "the ticket has expired, and no outcome is remembered for it",
            Self::MinterGone => "the node that minted its ticket cannot be reached, so it may have run",
            Self::Stopping => "the node that minted its ticket is stopping",
            Self::ClaimFailed => "its key cannot be claimed in the store now; use the ticket given here",
            Self::Full => "the node remembers as many keys as it may",
        };
        f.write_str(text)
    }
}

impl OrderFailure {
    /// What may be said of the order.
    pub fn ran(self) -> ExecutionState {
        match self {
            Self::Missing(_) | Self::BadTicket | Self::Stopping | Self::ClaimFailed | Self::Full => {
                ExecutionState::NotRun
            }
            Self::OutcomeUnknown | Self::AlreadyTaken | Self::Expired | Self::MinterGone => ExecutionState::Unknown,
        }
    }
}

/// A heartbeat: some entries of the sender's table. The answer has the same shape.
#[derive(Debug, Clone, Encode, Decode)]
pub struct GossipMessage {
    /// The entries, the sender's own first.
    pub entries: Vec<MemberEntry>,
    /// Hand-overs of tickets in planned stops.
    pub handovers: Vec<HandoverRecord>,
}

/// The configuration in force, if there is one.
#[derive(Debug, Clone, Encode, Decode)]
pub struct ConfigReply {
    /// It.
    pub bundle: Option<ConfigBundle>,
}

/// Everything a stopping node hands over.
#[derive(Debug, Clone, Encode, Decode)]
pub struct AdoptRequest {
    /// Its own tickets and those it took over itself.
    pub handovers: Vec<TicketHandover>,
}

/// That a message was taken.
#[derive(Debug, Clone, Encode, Decode)]
pub struct AdoptReply;

/// Tickets of one run handed over in a planned stop.
#[derive(Debug, Clone, Encode, Decode)]
pub struct TicketHandover {
    /// The node that minted them.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// The key of its tickets' MAC.
    pub secret: [u8; 32],
    /// How often they were handed over, this time included.
    pub hops: u32,
    /// Milliseconds since the run started, by which its tickets expire.
    pub elapsed_ms: u64,
    /// Used tickets with what became of them.
    pub used: Vec<(u64, OrderReply)>,
}
