//! What a node's machine gives it, and how much of that callers may hold.

use rustix::process::{Resource, getrlimit};
use rustix::system::sysinfo;
use streamfold_model::ByteSize;

/// The fractions of the machine's memory for what callers hold: request heads that are being read, request bodies, the
/// first part of each answer, the rest of long answers, and connections. What is left is for the node itself and for what
/// allocation wastes.
const HEADS_FRACTION: usize = 16;
const BODIES_FRACTION: usize = 8;
const SHORT_ANSWERS_FRACTION: usize = 8;
const LONG_ANSWERS_FRACTION: usize = 4;
const CONNECTIONS_FRACTION: usize = 8;
/// The part of the machine whose memory limits, as those of callers, apply to the answers of the store.
const STORE_FRACTION: usize = 4;
/// The fraction of the machine's memory for messages of other nodes that are being read.
const MESSAGES_FRACTION: usize = 8;
/// What a connection costs besides the heads, bodies and answers on it, in bytes: its buffers and its task.
const CONNECTION_LEN: usize = 16 << 10;
/// File descriptors that are not for sockets.
const RESERVED_FILES: usize = 200;
/// Callers get one in this many of the descriptors for sockets. The rest is for servers, the store and other nodes.
const CONNECTIONS_SHARE: usize = 2;
/// The fewest connections of callers, however small the machine is.
const MIN_CONNECTIONS: usize = 16;
/// The least memory that settings may name.
pub const MIN_MEMORY: ByteSize = ByteSize(32 << 20);
/// The fewest file descriptors that settings may name.
pub const MIN_FILES: u32 = 64;
/// What is assumed if the system limits no file descriptors.
const DEFAULT_FILES: usize = 1 << 16;

/// What the machine gives this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, in bytes.
    pub memory: usize,
    /// File descriptors.
    pub files: usize,
}

impl MachineLimits {
    /// The limits that the settings name; what they do not name, or name as 0, is read from the system.
    pub fn new(memory: Option<ByteSize>, files: Option<u32>) -> Self {
        let memory = memory.filter(|memory| memory.0 > 0);
        let files = files.filter(|files| *files > 0);
        Self {
            memory: memory.map_or_else(system_memory, ByteSize::as_usize),
            files: files.map_or_else(system_files, |files| files as usize),
        }
    }

    /// The part of the machine for the answers of the store, which are decoded into several times their length.
    pub fn store_part(self) -> Self {
        Self { memory: self.memory / STORE_FRACTION, ..self }
    }

    /// The memory for messages of other nodes that are being read, in bytes.
    pub fn messages_len(self) -> usize {
        self.memory / MESSAGES_FRACTION
    }

    /// The memory for request heads that are being read, in bytes.
    pub fn heads_len(self) -> usize {
        self.memory / HEADS_FRACTION
    }

    /// The memory for request bodies, in bytes.
    pub fn bodies_len(self) -> usize {
        self.memory / BODIES_FRACTION
    }

    /// The memory for the first part of each answer, in bytes.
    pub fn short_answers_len(self) -> usize {
        self.memory / SHORT_ANSWERS_FRACTION
    }

    /// The memory for the rest of long answers, in bytes.
    pub fn long_answers_len(self) -> usize {
        self.memory / LONG_ANSWERS_FRACTION
    }

    /// The most connections that callers may hold together.
    pub fn connections(self) -> usize {
        let by_files = self.files.saturating_sub(RESERVED_FILES) / CONNECTIONS_SHARE;
        let by_memory = self.memory / CONNECTIONS_FRACTION / CONNECTION_LEN;
        by_files.min(by_memory).max(MIN_CONNECTIONS)
    }
}

fn system_memory() -> usize {
    let info = sysinfo();
    let bytes = info.totalram.saturating_mul(info.mem_unit.into());
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

fn system_files() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(DEFAULT_FILES, |files| usize::try_from(files).unwrap_or(usize::MAX))
}
