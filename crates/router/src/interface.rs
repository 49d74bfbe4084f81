//! What the router needs of a platform, as traits: how calls are written and read, and where
//! routes, servers and other nodes are learnt from.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bincode::{Decode, Encode};
use http::{HeaderMap, HeaderValue, StatusCode};
use streamfold_model::{
    ContentId, CrashEntry, FailureDomain, KeyDigest, NodeEntry, RouteTable, ServerEntry, ServerId, ServerStart,
    TeamName,
};
use streamfold_store::StoreError;

/// A future that a trait object returns.
pub type FeedFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// What a caller's headers say.
#[derive(Debug, Clone)]
pub struct CallerHead {
    /// The id of this request; servers and logs have the same.
    pub request: HeaderValue,
    /// How long the caller waits, from when its request was read.
    pub deadline: Option<Duration>,
    /// The key it shows.
    pub key: PresentedKey,
}

/// The key that a caller shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey {
    /// None at all.
    None,
    /// None that can be read, or several.
    Malformed,
    /// This one.
    Key(KeyDigest),
}

impl PresentedKey {
    /// What it is, for the log; never anything of the key itself.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Malformed => "malformed",
            Self::Key(_) => "key",
        }
    }
}

/// Why a caller's headers cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// There is no request id.
    #[error("the request has no id")]
    NoRequest,
    /// The deadline is not a number of milliseconds.
    #[error("the deadline is not a number of milliseconds")]
    BadDeadline,
}

/// A server's load as it told it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests it works on.
    pub running: u32,
    /// Requests waiting in its queue.
    pub waiting: u32,
    /// Requests it can work on at the same time.
    pub slots: u32,
    /// How many times as long as usual work takes there now, if it tells.
    pub pace: Option<f64>,
}

/// What the headers of a server's answer say.
#[derive(Debug, Clone)]
pub struct ReplyHead {
    /// Whether the answer carries the id of the request it answers.
    pub has_matching_id: bool,
    /// Whether the server says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another server than the wanted one answered.
    pub is_other_server: bool,
    /// Whether the body was transformed on the way and is not the server's own.
    pub is_encoded: bool,
    /// The server's proof that it ran the request.
    pub proof: Option<HeaderValue>,
    /// Its load.
    pub load: Option<ServerLoad>,
    /// How much longer it is cold, if it tells.
    pub warmup_left: Option<Duration>,
    /// Whether the server closes the connection after this answer.
    pub is_closing: bool,
    /// How long the connection may rest before the server closes it.
    pub keep_alive: Option<Duration>,
}

/// How requests and answers carry what the router must know.
pub trait CallFormat: Send + Sync {
    /// Reads a caller's headers.
    ///
    /// # Errors
    /// The request cannot be identified or its deadline cannot be read.
    fn read_caller(&self, headers: &HeaderMap) -> Result<CallerHead, HeadError>;

    /// Takes a caller's key, and what it says of its team, out of the headers of its request, and names
    /// the team that the request is of.
    fn write_team(&self, headers: &mut HeaderMap, team: Option<&TeamName>);

    /// Fills in what a call to one server carries besides the caller's own headers.
    fn write_call(&self, headers: &mut HeaderMap, server: &ServerId, left: Duration);

    /// Reads the headers of a server's answer to a request.
    fn read_reply(&self, request: &HeaderValue, status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// Fills in what an answer folded of several shards says about them.
    fn write_gathered(&self, headers: &mut HeaderMap, proofs: &[HeaderValue], missing: usize);

    /// Fills in when a refused caller may come back.
    fn write_retry(&self, headers: &mut HeaderMap, wait: Duration);

    /// The path at which the platform asks whether this node is ready.
    fn ready_path(&self) -> &'static str;
}

/// What can be followed in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum FeedTopic {
    /// The routes, whole.
    Routes,
    /// Servers' entries.
    Servers,
    /// Nodes' entries.
    Nodes,
    /// Failure domains that the operator has evacuated.
    Evacuations,
    /// Contents that ended servers.
    Crashes,
}

impl FeedTopic {
    /// Every topic, by the order of the type.
    pub const ALL: [Self; 5] = [Self::Routes, Self::Servers, Self::Nodes, Self::Evacuations, Self::Crashes];
}

impl FeedTopic {
    /// Whether its watch waits for so long that the one of servers must tell that connections fell silent.
    pub fn relies_on_servers(self) -> bool {
        matches!(self, Self::Routes | Self::Evacuations | Self::Crashes)
    }

    /// Its name in counters and logs.
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

/// One thing of a topic.
#[derive(Debug, Clone, Encode, Decode)]
pub enum FeedItem {
    /// A version of the routes.
    Routes(Box<RouteTable>),
    /// A server.
    Server(ServerEntry),
    /// A node.
    Node(NodeEntry),
    /// A failure domain that is evacuated.
    Evacuation(FailureDomain),
    /// A content that ended servers.
    Crash(CrashEntry),
}

/// What is gone of a topic.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RemovedEntry {
    /// Its name.
    pub name: String,
    /// Which run of a server it was the entry of; 0 for any, and for all that is no server.
    pub start: ServerStart,
}

impl RemovedEntry {
    /// The thing of a name, whatever it was.
    pub fn any(name: String) -> Self {
        Self { name, start: ServerStart(0) }
    }
}

/// A change of a topic.
#[derive(Debug, Clone, Encode, Decode)]
pub enum FeedChange {
    /// Something is there or has changed.
    Put(FeedItem),
    /// The thing of this name is gone, or cannot be read any more.
    Removed(RemovedEntry),
}

/// The position in a topic's history up to which something is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct FeedPosition(pub u64);

/// The revision of an entry, a condition on its replacement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryRevision(pub u64);

/// All of a topic at one position.
#[derive(Debug, Clone)]
pub struct FeedList {
    /// What is there.
    pub items: Vec<FeedItem>,
    /// The position it shows.
    pub position: FeedPosition,
}

/// What changed up to a position.
#[derive(Debug, Clone)]
pub struct FeedChanges {
    /// The changes, in order.
    pub changes: Vec<FeedChange>,
    /// The position up to which they go.
    pub position: FeedPosition,
}

/// How old a listing may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListAge {
    /// As the store is now.
    Fresh,
    /// As it may have been seconds ago, which costs the platform less.
    MayBeStale,
}

/// Where routes, servers and nodes are learnt from. Entries that cannot be read are logged by
/// the adapter and left out.
pub trait ClusterFeed: Send + Sync {
    /// Reads all of a topic.
    fn list(&self, topic: FeedTopic, age: ListAge) -> FeedFuture<'_, FeedList>;

    /// All of a topic as it may have been seconds ago, if that fits in one answer of the store; `None` if it is more.
    fn list_one_page(&self, topic: FeedTopic) -> FeedFuture<'_, Option<FeedList>>;

    /// Waits for changes after a position, at most `wait`.
    fn watch(&self, topic: FeedTopic, after: FeedPosition, wait: Duration) -> FeedFuture<'_, FeedChanges>;

    /// Registers this node for the others; `is_listed` tells that an entry of it is believed to be
    /// there, which saves calls if it is so.
    fn announce<'a>(&'a self, entry: &'a NodeEntry, is_listed: bool) -> FeedFuture<'a, ()>;

    /// Removes a node's entry, unless another run of the node has written its own.
    fn withdraw<'a>(&'a self, entry: &'a NodeEntry) -> FeedFuture<'a, ()>;

    /// Reads the entry of a content as it is now; `None` if there is none.
    fn read_crash(&self, content: ContentId) -> FeedFuture<'_, Option<(CrashEntry, EntryRevision)>>;

    /// Writes the entry of a content in place of one revision of it, or of none; a conflict if it is
    /// another one by now.
    fn write_crash<'a>(&'a self, entry: &'a CrashEntry, replaces: Option<EntryRevision>) -> FeedFuture<'a, ()>;

    /// Removes the entry of a content; fine if there is none.
    fn remove_crash(&self, content: ContentId) -> FeedFuture<'_, ()>;
}
