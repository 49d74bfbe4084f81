//! Messages between nodes: shards that one node asks another to query and fold for it.

use bincode::{Decode, Encode};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use streamfold_model::{AllowedRegions, Priority, RouteName, ServerId, ServerRun, ServiceName, TableVersion, TeamName};

/// Path of a batch of shards. It names the form of the messages: nodes of an earlier form refuse it,
/// as this one refuses theirs, since a batch that does not tell its homes must not be served.
pub const PATH_BATCH: &str = "/4/shards";
/// Path of a request for what a node knows of the cluster, with the form of the messages.
pub const PATH_KNOWLEDGE: &str = "/5/knowledge";

/// A caller's request as it travels between nodes.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RequestCopy {
    /// Its id.
    pub id: Vec<u8>,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub uri: String,
    /// Its headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Its body.
    pub body: Vec<u8>,
}

/// Why a copied request cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the copied request is not one")]
pub struct CopyError;

impl RequestCopy {
    /// Its method, path and headers as the HTTP library has them.
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
    /// The records of its shards folded together, at the wanted time.
    Folded,
    /// Each shard by itself as soon as it is in, without records under a floor: a second try
    /// for a few shards, while the asking node has most of the answer.
    Each {
        /// The least record that may still be wanted, as a number; none if any may.
        floor: Option<u128>,
    },
}

/// One shard of a batch.
#[derive(Debug, Clone, Encode, Decode)]
pub struct BatchShard {
    /// The shard.
    pub service: ServiceName,
    /// The server that the asking node may use itself if it hears nothing.
    pub kept: Option<ServerId>,
}

/// Shards that another node is to query.
#[derive(Debug, Clone, Encode, Decode)]
pub struct ShardBatch {
    /// The request.
    pub request: RequestCopy,
    /// Its route, for what is known of its latencies.
    pub route: RouteName,
    /// The version of the routes it was found in.
    pub version: TableVersion,
    /// The rank of the request.
    pub priority: Priority,
    /// Its team, where callers have keys.
    pub team: Option<TeamName>,
    /// The shards.
    pub shards: Vec<BatchShard>,
    /// How they are answered.
    pub mode: BatchMode,
    /// Records wanted, the greatest first.
    pub top: usize,
    /// The most servers of each shard.
    pub max_attempts: u32,
    /// Where its servers may be.
    pub homes: AllowedRegions,
    /// The route's target latency, in microseconds.
    pub target_us: u64,
    /// How long the request may still run, in microseconds.
    pub left_us: u64,
    /// When a reply is wanted with what is there, in microseconds from now.
    pub reply_within_us: u64,
    /// When a sign of life is wanted if the reply is not there yet, in microseconds from now.
    pub alive_within_us: u64,
}

/// A shard in a reply.
#[derive(Debug, Clone, Encode, Decode)]
pub struct FoldedShard {
    /// Its position in the batch.
    pub position: u32,
    /// The server's proof.
    pub proof: Vec<u8>,
    /// Its own records; empty where those of all shards are folded together.
    pub records: Vec<u8>,
}

/// A shard that a reply lacks.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub struct MissingShard {
    /// Its position in the batch.
    pub position: u32,
    /// Servers that may have run the request.
    pub sent: u32,
    /// Whether a call reached a server, be it one that refused.
    pub has_arrived: bool,
}

/// How long calls of a priority wait for a server at a node, as it saw lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct PriorityWait {
    /// The rank of the calls.
    pub priority: Priority,
    /// How long the last of them waited, or the first that still waits has so far: the longer one, in microseconds.
    pub wait_us: u64,
}

/// How fast a server works, as a node measured it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ServerPace {
    /// The run of the server.
    pub server: ServerRun,
    /// How many thousandths of the usual time its work takes.
    pub thousandths: u32,
    /// How long ago that was measured, in microseconds.
    pub age_us: u64,
}

/// What a node tells of its failure domain beside the answers to a batch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct DomainReport {
    /// How long calls wait, for each priority of which any waited lately.
    pub waits: Vec<PriorityWait>,
    /// Paces of servers that are far slower than usual; a few, the newest first.
    pub paces: Vec<ServerPace>,
}

/// What became of a batch.
#[derive(Debug, Clone, Encode, Decode)]
pub struct ShardReply {
    /// The version of the routes at the replying node.
    pub version: TableVersion,
    /// Whether the replying node is about to stop.
    pub is_stopping: bool,
    /// The shards whose records are in.
    pub shards: Vec<FoldedShard>,
    /// The shards that are not.
    pub missing: Vec<MissingShard>,
    /// The greatest records of the shards that are in.
    pub records: Vec<u8>,
    /// Servers that ended under what the request asks for, as far as the replying node knows.
    pub crashed: Vec<ServerRun>,
    /// What the replying node tells of its failure domain.
    pub report: DomainReport,
}

/// A frame of an answer to a batch.
#[derive(Debug, Clone, Encode, Decode)]
pub enum BatchFrame {
    /// The node is at work.
    Working,
    /// What is there, since the wanted time is over; another frame follows.
    Partial(ShardReply),
    /// The reply; the last frame.
    Done(ShardReply),
}
