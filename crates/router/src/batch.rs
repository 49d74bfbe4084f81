//! Messages between nodes: batches of shards that one node delegates to another to query and fold.

use bincode::{Decode, Encode};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use streamfold_model::{AllowedRegions, Priority, RouteName, ServerId, ServerRun, ServiceName, TableVersion, TeamName};

/// The path for batches of shards. It contains the version of the message format, so that nodes with an older format
/// refuse these batches and this node refuses theirs: a batch without its allowed regions must not be served.
pub const PATH_BATCH: &str = "/4/shards";
/// Maximum length of a batch in bytes: the head and body of a caller's request, and the names of the shards.
pub const MAX_BATCH_LEN: usize = 8 << 20;
/// The path for requests for what a node knows of the cluster, with the version of the message format.
pub const PATH_KNOWLEDGE: &str = "/6/knowledge";

/// A caller's request as it is sent between nodes.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RequestCopy {
    /// The request id.
    pub id: Vec<u8>,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The headers to forward.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// A copied request contains a malformed id, method, URI or header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("copied request has a malformed id, method, URI or header")]
pub struct CopyError;

impl RequestCopy {
    /// Parses the id, method, URI and headers into the types of the HTTP library.
    ///
    /// # Errors
    /// One of them is malformed.
    pub fn read(&self) -> Result<(HeaderValue, Method, Uri, HeaderMap), CopyError> {
        let id = HeaderValue::from_bytes(&self.id).map_err(|_| CopyError)?;
        let method = self.method.parse().map_err(|_| CopyError)?;
        let uri = self.uri.parse().map_err(|_| CopyError)?;
        let mut headers = HeaderMap::with_capacity(self.headers.len());
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().map_err(|_| CopyError)?;
            headers.append(name, HeaderValue::from_bytes(value).map_err(|_| CopyError)?);
        }
        Ok((id, method, uri, headers))
    }
}

/// How the other node answers a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum BatchMode {
    /// The records of all its shards folded together, at the requested time.
    Folded,
    /// Each shard separately as soon as it has answered, without the records under a floor. Used for hedges of a few
    /// shards, when the delegating node already has most of the answer.
    Each {
        /// The least record that may still be wanted, as a number; `None` if any record may be.
        floor: Option<u128>,
    },
}

/// One shard of a batch.
#[derive(Debug, Clone, Encode, Decode)]
pub struct BatchShard {
    /// The service of the shard.
    pub service: ServiceName,
    /// The server reserved for the delegating node, which may call it itself if the other node stops responding.
    pub reserved: Option<ServerId>,
}

/// A batch of shards that another node is to query.
#[derive(Debug, Clone, Encode, Decode)]
pub struct ShardBatch {
    /// The request to send to each shard.
    pub request: RequestCopy,
    /// The route of the request, to look up its latency statistics.
    pub route: RouteName,
    /// The version of the routes that the request was routed with.
    pub version: TableVersion,
    /// The priority of the request.
    pub priority: Priority,
    /// The team of the caller, where teams are configured.
    pub team: Option<TeamName>,
    /// The shards to query.
    pub shards: Vec<BatchShard>,
    /// How they are answered.
    pub mode: BatchMode,
    /// The number of records wanted, the greatest first.
    pub top: usize,
    /// The most servers that the request may be sent to for each shard.
    pub max_attempts: u32,
    /// The regions in which its servers may be.
    pub allowed_regions: AllowedRegions,
    /// The route's target latency, in microseconds.
    pub target_us: u64,
    /// The time left until the deadline of the request, in microseconds.
    pub left_us: u64,
    /// When to reply with the shards answered so far, in microseconds from now.
    pub reply_within_us: u64,
    /// When to send a progress frame if there is no reply yet, in microseconds from now.
    pub progress_within_us: u64,
}

/// An answered shard in a reply.
#[derive(Debug, Clone, Encode, Decode)]
pub struct FoldedShard {
    /// Its position in the batch.
    pub position: u32,
    /// The server's proof that it ran the request.
    pub proof: Vec<u8>,
    /// The records of the shard; empty if those of all shards are folded together.
    pub records: Vec<u8>,
}

/// A shard without an answer in a reply.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub struct MissingShard {
    /// Its position in the batch.
    pub position: u32,
    /// Number of servers that may have run the request.
    pub sent: u32,
    /// Whether a call reached a server, even one that refused it.
    pub has_reached_server: bool,
}

/// How long calls of a priority have recently waited for a server at a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct PriorityWait {
    /// The priority of the calls.
    pub priority: Priority,
    /// How long the last dequeued call waited or the first queued call has waited so far, whichever is longer, in
    /// microseconds.
    pub wait_us: u64,
}

/// The pace of a server, as a node measured it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerPace {
    /// The server run that was measured.
    pub server: ServerRun,
    /// The time its work takes, in thousandths of the usual time.
    pub thousandths: u32,
    /// The age of the measurement, in microseconds.
    pub age_us: u64,
}

/// What a node reports about its failure domain along with the reply to a batch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct DomainReport {
    /// How long calls wait, for each priority that had waiting calls recently.
    pub waits: Vec<PriorityWait>,
    /// Measured paces of servers that are far slower than usual; only a few, the newest first.
    pub paces: Vec<ServerPace>,
}

/// The reply to a batch.
#[derive(Debug, Clone, Encode, Decode)]
pub struct ShardReply {
    /// The version of the routes at the replying node.
    pub version: TableVersion,
    /// Whether the replying node is shutting down.
    pub is_stopping: bool,
    /// The shards that have answered.
    pub shards: Vec<FoldedShard>,
    /// The shards that have not.
    pub missing: Vec<MissingShard>,
    /// The folded records of the shards that have answered; empty if each shard carries its own.
    pub records: Vec<u8>,
    /// Server runs that crashed on the request content, as far as the replying node knows.
    pub crashed: Vec<ServerRun>,
    /// What the replying node reports about its failure domain.
    pub report: DomainReport,
}

/// A frame of the response stream to a batch.
#[derive(Debug, Clone, Encode, Decode)]
pub enum BatchFrame {
    /// The node is still working on the batch.
    Working,
    /// The shards answered so far, sent once the requested time is over. Another frame follows.
    Partial(ShardReply),
    /// The final reply; the last frame.
    Done(ShardReply),
}
