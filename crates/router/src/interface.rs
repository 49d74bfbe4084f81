//! The interface between the router and a platform: traits for the format of calls and for the source of routes,
//! servers and nodes.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bincode::{Decode, Encode};
use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{
    ContentId, CrashEntry, EntryRevision, FailureDomain, KeyDigest, NodeEntry, RouteTable, ServerEntry, ServerId,
    ServerStart, TeamName,
};
use streamfold_store::StoreError;

/// The boxed future that a [`ClusterFeed`] returns.
pub type FeedFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// The fields that the router reads from a caller's headers.
#[derive(Debug, Clone)]
pub struct CallerHead {
    /// The request id, also sent to servers and written to logs.
    pub request: HeaderValue,
    /// How long the caller waits, counted from the time its request was read.
    pub deadline: Option<Duration>,
    /// The API key in the request.
    pub key: PresentedKey,
}

/// The API key that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    None,
    /// The key cannot be read, or there are several.
    Malformed,
    /// The digest of the key.
    Key(KeyDigest),
}

impl PresentedKey {
    /// The variant's name for the log, which never contains any part of the key.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Malformed => "malformed",
            Self::Key(_) => "key",
        }
    }
}

/// Why a caller's headers are rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The request id is missing.
    #[error("the request id is missing")]
    NoRequest,
    /// The deadline is not a number of milliseconds.
    #[error("the deadline is not a number of milliseconds")]
    BadDeadline,
}

/// The load that a server reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests that the server is processing.
    pub running: u32,
    /// Requests in the server's queue.
    pub waiting: u32,
    /// Requests that the server can process at the same time.
    pub slots: u32,
    /// Current service time as a multiple of the usual one, if reported.
    pub pace: Option<f64>,
}

/// The fields that the router reads from the headers of a server's answer.
#[derive(Debug, Clone)]
pub struct ReplyHead {
    /// Whether the answer carries the id of the request it answers.
    pub has_matching_id: bool,
    /// Whether the server states that it did not execute the request, and nothing in the answer contradicts that.
    pub is_not_run: bool,
    /// Whether the answer both denies and confirms that the server executed the request, so that it shows neither.
    pub is_contradictory: bool,
    /// Whether a server other than the one addressed answered.
    pub is_other_server: bool,
    /// Whether an intermediary transformed the body, so that it is not what the server sent.
    pub is_encoded: bool,
    /// The server's proof that it executed the request.
    pub proof: Option<HeaderValue>,
    /// The load that the server reports.
    pub load: Option<ServerLoad>,
    /// Remaining warm-up time of the server, if reported.
    pub warmup_left: Option<Duration>,
    /// Whether the server closes the connection after this answer.
    pub is_closing: bool,
    /// How long the connection may stay idle before the server closes it.
    pub keep_alive: Option<Duration>,
}

/// The headers by which requests and answers carry what the router needs.
pub trait CallFormat: Send + Sync {
    /// Parses a caller's headers.
    ///
    /// # Errors
    /// The request id is missing or the deadline cannot be parsed.
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerHead, HeadError>;

    /// Removes the API key and any team that the caller claims from the request's headers, and sets the team that the
    /// router has established.
    fn write_team(&self, headers: &mut HeaderMap, team: Option<&TeamName>);

    /// Adds the headers that a call to one server carries besides the caller's own; `left` is the time that the server
    /// has for it.
    fn write_call(&self, headers: &mut HeaderMap, server: &ServerId, left: Duration);

    /// Parses the headers of a server's answer to a request.
    fn read_reply(&self, request: &HeaderValue, status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// Adds the headers of an answer gathered from several shards: the proofs of those that answered and the number of
    /// missing ones.
    fn write_gathered(&self, headers: &mut HeaderMap, proofs: &[HeaderValue], missing: usize);

    /// Adds the header that tells a refused caller when to retry.
    fn write_retry(&self, headers: &mut HeaderMap, wait: Duration);

    /// The path of the platform's readiness check.
    fn ready_path(&self) -> &'static str;
}

/// A kind of entry that can be watched in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum FeedTopic {
    /// The route table, always as a whole.
    Routes,
    /// Entries of servers.
    Servers,
    /// Entries of nodes.
    Nodes,
    /// Failure domains that the operator has evacuated.
    Evacuations,
    /// Request contents that crashed servers.
    Crashes,
}

impl FeedTopic {
    /// All topics in declaration order.
    pub const ALL: [Self; 5] = [Self::Routes, Self::Servers, Self::Nodes, Self::Evacuations, Self::Crashes];
}

impl FeedTopic {
    /// Whether a setting states the time within which changes must be known.
    pub fn is_urgent(self) -> bool {
        matches!(self, Self::Routes | Self::Servers | Self::Evacuations)
    }

    /// The place in the order in which topics are checked: those that callers depend on first.
    pub fn check_rank(self) -> u32 {
        match self {
            Self::Routes => 0,
            Self::Servers => 1,
            Self::Evacuations => 2,
            Self::Crashes => 3,
            Self::Nodes => 4,
        }
    }

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Servers => "servers",
            Self::Nodes => "nodes",
            Self::Evacuations => "evacuations",
            Self::Crashes => "crashes",
        }
    }
}

impl std::fmt::Display for FeedTopic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

/// One entry of a topic.
#[derive(Debug, Clone, Encode, Decode)]
pub enum FeedItem {
    /// A version of the route table.
    Routes(Box<RouteTable>),
    /// A server.
    Server(ServerEntry),
    /// A node.
    Node(NodeEntry),
    /// An evacuated failure domain.
    Evacuation(FailureDomain),
    /// A request content that crashed servers.
    Crash(CrashEntry),
}

/// An entry that was removed from a topic.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RemovedEntry {
    /// The name of the entry.
    pub name: String,
    /// The run of the server that the entry belonged to; 0 for any run and for entries that are not servers.
    pub start: ServerStart,
}

impl RemovedEntry {
    /// The entry of this name, whichever run it belonged to.
    pub fn any(name: String) -> Self {
        Self { name, start: ServerStart(0) }
    }
}

/// A change to a topic.
#[derive(Debug, Clone, Encode, Decode)]
pub enum FeedChange {
    /// An entry was added or changed.
    Put(FeedItem),
    /// The entry is gone or can no longer be parsed.
    Removed(RemovedEntry),
}

/// A position in the store's history, up to which a topic is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct FeedPosition(pub u64);

impl FeedPosition {
    /// Whether a state of an entry was written up to this position; `false` if its revision is not known.
    pub fn includes(self, revision: EntryRevision) -> bool {
        revision != EntryRevision::default() && revision.0 <= self.0
    }

    /// Whether a state of an entry was written after this position; `false` if either is not known.
    pub fn precedes(self, revision: EntryRevision) -> bool {
        self != Self::default() && revision.0 > self.0
    }
}

/// All entries of a topic at one position.
#[derive(Debug, Clone)]
pub struct FeedList {
    /// The entries.
    pub items: Vec<FeedItem>,
    /// The position of the listing.
    pub position: FeedPosition,
}

/// The changes of a topic up to a position.
#[derive(Debug, Clone)]
pub struct FeedChanges {
    /// The changes, in order.
    pub changes: Vec<FeedChange>,
    /// The position after the last change.
    pub position: FeedPosition,
}

/// How current a listing must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListAge {
    /// The store's current state.
    Fresh,
    /// A state that may be seconds old, which costs the platform less.
    MayBeStale,
}

/// The source of routes, servers and nodes. The implementation logs and skips entries that cannot be parsed.
pub trait ClusterFeed: Send + Sync {
    /// Lists all entries of a topic.
    fn list(&self, topic: FeedTopic, age: ListAge) -> FeedFuture<'_, FeedList>;

    /// Lists all entries of a topic, possibly seconds old; `None` if they do not fit in one answer of the store.
    fn list_one_page(&self, topic: FeedTopic) -> FeedFuture<'_, Option<FeedList>>;

    /// Waits up to `wait` for changes after a position.
    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges>;

    /// Registers this node for the others. `is_listed` is a hint that the node already has an entry, which saves calls
    /// when it is right.
    fn announce<'a>(&'a self, entry: &'a NodeEntry, is_listed: bool) -> FeedFuture<'a, ()>;

    /// Removes a node's entry, unless another run of the node has replaced it.
    fn withdraw<'a>(&'a self, entry: &'a NodeEntry) -> FeedFuture<'a, ()>;

    /// Reads the current entry of a content; `None` if it has none.
    fn read_crash(&self, content: ContentId) -> FeedFuture<'_, Option<(CrashEntry, EntryRevision)>>;

    /// Writes the entry of a content if its revision is still `replaces`, or if it has no entry for `None`; otherwise
    /// fails with a conflict.
    fn write_crash<'a>(&'a self, entry: &'a CrashEntry, replaces: Option<EntryRevision>) -> FeedFuture<'a, ()>;

    /// Removes the entry of a content; succeeds if there is none.
    fn remove_crash(&self, content: ContentId) -> FeedFuture<'_, ()>;
}
