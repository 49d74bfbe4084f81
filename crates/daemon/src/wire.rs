//! Messages between nodes. The size of each kind of message is limited before it is decoded.

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
/// Path of a request for a newer configuration.
pub const PATH_CONFIG: &str = "/config";
/// Path of a handover of tickets.
pub const PATH_ADOPT: &str = "/adopt";

/// A batch: all pieces of a request for one owner.
#[derive(Debug, Clone, Encode, Decode)]
pub struct BatchRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Time until the deadline, in microseconds.
    pub remaining_us: u64,
    /// Name of the index.
    pub index: IndexName,
    /// The pinned index version. Without one, the owner only reports which versions a query's upstreams hold.
    pub version: Option<IndexVersion>,
    /// Whether the request is repeatable: a query. Orders are not.
    pub repeatable: bool,
    /// The idempotency key of a non-repeatable request, which is forwarded to the server.
    pub key: Option<String>,
    /// The body of the caller's request.
    pub body: Vec<u8>,
    /// The pieces to run.
    pub pieces: Vec<PieceRequest>,
}

/// A piece: the requested shards at one upstream.
#[derive(Debug, Clone, Encode, Decode)]
pub struct PieceRequest {
    /// Number of the piece within the round of the query.
    pub piece: u32,
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// The requested shards.
    pub shards: Vec<ShardId>,
}

/// The result of one piece. The owner sends one frame per piece.
#[derive(Debug, Clone, Encode, Decode)]
pub struct PieceReply {
    /// Number of the piece.
    pub piece: u32,
    /// The combined outcome of its attempts.
    pub outcome: AttemptOutcome,
    /// The index version the results come from.
    pub version: Option<IndexVersion>,
    /// The results by shard, or the reason why there are none.
    pub result: Result<Vec<(ShardId, Vec<u8>)>, MissingReason>,
    /// The range of index versions that the upstream's servers have reported.
    pub held: Option<HeldVersions>,
    /// The number of calls to servers for it.
    pub calls: u32,
    /// Microseconds that it waited for slots at servers.
    pub waited_us: u64,
    /// Microseconds that its calls to servers took.
    pub served_us: u64,
}

impl PieceReply {
    /// The reply for a piece that got none from its owner.
    pub fn lost(piece: u32, outcome: AttemptOutcome, reason: MissingReason) -> Self {
        Self { piece, outcome, version: None, result: Err(reason), held: None, calls: 0, waited_us: 0, served_us: 0 }
    }
}

/// An order for the node that minted its ticket.
#[derive(Debug, Clone, Encode, Decode)]
pub struct OrderRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Time until the deadline, in microseconds.
    pub remaining_us: u64,
    /// The caller.
    pub caller: CallerName,
    /// Name of the index.
    pub index: IndexName,
    /// The key of the record, which selects the shard.
    pub record: String,
    /// The ticket.
    pub ticket: String,
    /// The body of the caller's request.
    pub body: Vec<u8>,
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum OrderReply {
    /// The order ran.
    Done {
        /// The shard that ran it.
        shard: ShardId,
        /// The index version of the result.
        version: IndexVersion,
        /// The server's result.
        result: Vec<u8>,
    },
    /// The order has no result.
    Failed(OrderFailure),
}

/// Why an order has no result, and whether it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum OrderFailure {
    /// No attempt was started, or the server refused it; the order did not run.
    Missing(MissingReason),
    /// The answer of the attempt was lost; the order may have run.
    OutcomeUnknown,
    /// The key was used before and its outcome is not remembered.
    AlreadyTaken,
    /// The ticket is forged or of another caller.
    BadTicket,
    /// The ticket has expired and no outcome is remembered for it.
    Expired,
    /// The node that holds the ticket is unreachable.
    MinterGone,
    /// The node is stopping and starts no more orders.
    Stopping,
    /// The key cannot be claimed in the store, because of an error or the rate limit of claims.
    ClaimFailed,
    /// The table of remembered keys is full.
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
    /// Whether the order ran.
    pub fn ran(self) -> ExecutionState {
        match self {
            Self::Missing(_) | Self::BadTicket | Self::Stopping | Self::ClaimFailed | Self::Full => {
                ExecutionState::NotRun
            }
            Self::OutcomeUnknown | Self::AlreadyTaken | Self::Expired | Self::MinterGone => ExecutionState::Unknown,
        }
    }
}

/// A heartbeat: some entries of the sender's membership table. The answer is of the same type.
#[derive(Debug, Clone, Encode, Decode)]
pub struct GossipMessage {
    /// Membership entries, the sender's own first.
    pub entries: Vec<MemberEntry>,
    /// Handovers of tickets in graceful stops.
    pub handovers: Vec<HandoverRecord>,
}

/// The answer to a request for a newer configuration.
#[derive(Debug, Clone, Encode, Decode)]
pub struct ConfigReply {
    /// The configuration in force, if it is newer than the requested one.
    pub bundle: Option<ConfigBundle>,
}

/// The tickets that a stopping node hands over.
#[derive(Debug, Clone, Encode, Decode)]
pub struct AdoptRequest {
    /// Its own tickets and those that it had taken over itself.
    pub handovers: Vec<TicketHandover>,
}

/// The acknowledgement of a handover.
#[derive(Debug, Clone, Encode, Decode)]
pub struct AdoptReply;

/// The tickets of one run of a node, handed over in its graceful stop.
#[derive(Debug, Clone, Encode, Decode)]
pub struct TicketHandover {
    /// The node that minted them.
    pub node: NodeId,
    /// The run of that node.
    pub incarnation: Incarnation,
    /// The MAC key of the tickets.
    pub secret: [u8; 32],
    /// How often the tickets have been handed over, including this time.
    pub hops: u32,
    /// Milliseconds since the start of the run, to which the expiry times of its tickets refer.
    pub elapsed_ms: u64,
    /// The sequence numbers of used tickets with their outcomes.
    pub used: Vec<(u64, OrderReply)>,
}
