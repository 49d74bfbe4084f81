//! Id types. Each kind of id has a type of its own, with `Display` and `FromStr`, so that ids of different kinds cannot
//! be mixed up.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The longest name that a configuration may define, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Error of parsing an id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("a {0} must not be empty")]
    Empty(&'static str),
    /// The text is longer than [`MAX_NAME_LEN`], or for external names than [`MAX_EXTERNAL_NAME_LEN`].
    #[error("a {0} is too long")]
    TooLong(&'static str),
    /// The text has an invalid character. Names hold only lower-case letters, digits, `-`, `_` and `.`; external names
    /// hold any visible ASCII character.
    #[error("a {kind} holds only a-z, 0-9, '-', '_' and '.', not {found:?}")]
    BadCharacter {
        /// What was being read.
        kind: &'static str,
        /// The first invalid character.
        found: char,
    },
    /// A server id has a character that does not stand for itself in a URL.
    #[error("a server id holds only letters, digits, '-', '.', '_', '~', ':' and '@', not {0:?}")]
    BadServerCharacter(char),
    /// The text does not have the format of this kind of id.
    #[error("{text:?} is not a {kind}")]
    BadFormat {
        /// What was being read.
        kind: &'static str,
        /// The text, which may be truncated.
        text: String,
    },
}

fn check_name(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty(kind));
    }
    if text.len() > MAX_NAME_LEN {
        return Err(ParseIdError::TooLong(kind));
    }
    let allowed = |c: &char| matches!(c, 'a'..='z' | '0'..='9' | '-' | '_' | '.');
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(ParseIdError::BadCharacter { kind, found }),
        None => Ok(()),
    }
}

/// The longest name accepted from other systems, in bytes.
pub const MAX_EXTERNAL_NAME_LEN: usize = 128;

/// Checks a name that another system assigned: any short text of visible ASCII characters.
fn check_external_name(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty(kind));
    }
    if text.len() > MAX_EXTERNAL_NAME_LEN {
        return Err(ParseIdError::TooLong(kind));
    }
    match text.chars().find(|c| !c.is_ascii_graphic()) {
        Some(found) => Err(ParseIdError::BadCharacter { kind, found }),
        None => Ok(()),
    }
}

/// Checks a server id: an external name of characters that stand for themselves in a URL, wherever they are in it (RFC
/// 3986, the path characters without the delimiters). Entries under other names are no servers.
fn check_server_id(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    check_external_name(kind, text)?;
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_' | '~' | ':' | '@');
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(ParseIdError::BadServerCharacter(found)),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        name_id!($(#[$doc])* $name, $kind, check_name);
    };
    ($(#[$doc:meta])* $name:ident, $kind:literal, $check:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                $check($kind, text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                $check($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_id!(
    /// Name of an index, which callers query.
    IndexName, "index name"
);
name_id!(
    /// Name of an upstream: a group of servers that hold the same shards.
    UpstreamName, "upstream name"
);
name_id!(
    /// Name of a caller.
    CallerName, "caller name"
);
name_id!(
    /// Name of a failure domain.
    FailureDomain, "failure domain"
);
name_id!(
    /// Name of a region: a group of failure domains close to each other.
    RegionName, "region name", check_external_name
);
name_id!(
    /// Id of a node: the daemon of one VM. It stays the same across restarts.
    NodeId, "node id"
);

name_id!(
    /// Name of a route.
    RouteName, "route name", check_external_name
);
name_id!(
    /// Name of a service: a group of servers, any of which can answer a request.
    ServiceName, "service name", check_external_name
);
name_id!(
    /// Name of a team that calls routes.
    TeamName, "team name", check_external_name
);
name_id!(
    /// Id of a server. A restarted process may keep the id it had before.
    ServerId, "server id", check_server_id
);

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize, Encode, Decode)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let bad = |_| ParseIdError::BadFormat { kind: $kind, text: text.chars().take(MAX_NAME_LEN).collect() };
                text.parse().map(Self).map_err(bad)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_id!(
    /// Number of a shard within an index layout, counted from 0.
    ShardId, u32, "shard number"
);
number_id!(
    /// Version of the data of an index; higher is newer.
    IndexVersion, u64, "index version"
);
number_id!(
    /// Version of the configuration; it only increases. 0 means none.
    ConfigVersion, u64, "configuration version"
);
number_id!(
    /// Version of the routes; it only increases. 0 means none.
    TableVersion, u64, "routes version"
);
number_id!(
    /// Incarnation of a node: its start time in milliseconds since 1970, used only to distinguish its runs.
    Incarnation, u64, "incarnation"
);

number_id!(
    /// Start time of a server process in milliseconds since 1970 by its own clock, used only to distinguish and order
    /// its runs. 0 if the server reports none.
    ServerStart, u64, "server start"
);

/// One run of a server process, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[serde(try_from = "String", into = "String")]
pub struct ServerRun {
    /// The server.
    pub id: ServerId,
    /// The start time that identifies the run.
    pub start: ServerStart,
}

/// Separates the server id from the start time in the text form of a run.
const RUN_MARK: char = '@';

impl fmt::Display for ServerRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.start {
            ServerStart(0) => self.id.fmt(f),
            start => write!(f, "{}{RUN_MARK}{start}", self.id),
        }
    }
}

impl FromStr for ServerRun {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let parsed = text.rsplit_once(RUN_MARK).and_then(|(id, start)| Some((id, start.parse().ok()?)));
        let (id, start) = parsed.unwrap_or((text, ServerStart(0)));
        Ok(Self { id: id.parse()?, start })
    }
}

impl TryFrom<String> for ServerRun {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl From<ServerRun> for String {
    fn from(run: ServerRun) -> String {
        run.to_string()
    }
}

impl ConfigVersion {
    /// Returns the version that follows this one; `None` if this is the last one.
    pub fn next(self) -> Option<Self> {
        self.0.checked_add(1).map(Self)
    }
}

/// Index of an upstream in the list of upstreams of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIndex(pub u32);

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u128);

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let bad = || ParseIdError::BadFormat { kind: $kind, text: text.chars().take(MAX_NAME_LEN).collect() };
                if text.len() != 32 {
                    return Err(bad());
                }
                u128::from_str_radix(text, 16).map(Self).map_err(|_| bad())
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }
    };
}

hex_id!(
    /// Id of a request: random, written as 32 hex digits.
    RequestId, "request id"
);
hex_id!(
    /// Id of one attempt at one server: random, written as 32 hex digits. The answer must echo it.
    AttemptId, "attempt id"
);
hex_id!(
    /// Id of a change of the configuration. The operator's tool chooses it, and a retry reuses it.
    ChangeId, "change id"
);

hex_id!(
    /// Digest of the content of a request: requests with the same method, host, path and body share it, regardless of
    /// their caller and request id.
    ContentId, "content id"
);

impl ContentId {
    /// Computes the id of content given in pieces. It is a truncated SHA-256 digest, so that nobody can craft a request
    /// that is mistaken for another one.
    pub fn of(pieces: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for piece in pieces {
            digest.update((piece.len() as u64).to_le_bytes());
            digest.update(piece);
        }
        let bytes: [u8; 32] = digest.finalize().into();
        Self(bytes.iter().take(16).fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }
}

/// Address of a server: IP address and port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerAddress(pub SocketAddr);

impl FromStr for ServerAddress {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let bad = |_| ParseIdError::BadFormat { kind: "server address (IP address and port)", text: text.to_owned() };
        text.parse().map(Self).map_err(bad)
    }
}

impl fmt::Display for ServerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A SHA-256 digest of a configuration section or of a caller's token, written as 64 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[serde(try_from = "String", into = "String")]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// Computes the digest of bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl FromStr for ContentDigest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let mut digest = [0; 32];
        let bad = |_| ParseIdError::BadFormat {
            kind: "SHA-256 digest of 64 hex digits",
            text: text.chars().take(MAX_NAME_LEN).collect(),
        };
        hex::decode_to_slice(text, &mut digest).map_err(bad)?;
        Ok(Self(digest))
    }
}

impl TryFrom<String> for ContentDigest {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl From<ContentDigest> for String {
    fn from(digest: ContentDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
