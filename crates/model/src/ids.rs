//! Ids of everything the system names. Each has `Display` and `FromStr`, so that a
//! value of one kind is never taken for another.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The longest name accepted, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Why a text is not an id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseIdError {
    /// The text has no characters.
    #[error("a {0} must not be empty")]
    Empty(&'static str),
    /// The text is longer than [`MAX_NAME_LEN`] or, for ids of others, [`MAX_EXTERNAL_NAME_LEN`].
    #[error("a {0} is too long")]
    TooLong(&'static str),
    /// Only lower-case letters, digits, `-`, `_` and `.` are names.
    #[error("a {kind} holds only a-z, 0-9, '-', '_' and '.', not {found:?}")]
    BadCharacter {
        /// What was being read.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a number of the wanted form.
    #[error("{text:?} is not a {kind}")]
    BadFormat {
        /// What was being read.
        kind: &'static str,
        /// The text found.
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

/// The longest token accepted, in bytes.
pub const MAX_EXTERNAL_NAME_LEN: usize = 128;

/// Names that others hand out are taken as they come, if they are short and printable.
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
    /// Names an index: what callers query.
    IndexName, "index name"
);
name_id!(
    /// Names an upstream: a group of servers holding the same shards.
    UpstreamName, "upstream name"
);
name_id!(
    /// Names a caller.
    CallerName, "caller name"
);
name_id!(
    /// Names a failure domain.
    FailureDomain, "failure domain"
);
name_id!(
    /// Names a region: failure domains near each other.
    RegionName, "region name", check_external_name
);
name_id!(
    /// Names a node: one VM's daemon, across its restarts.
    NodeId, "node id"
);

name_id!(
    /// Names a route.
    RouteName, "route name", check_external_name
);
name_id!(
    /// Names a service: servers of which any one can answer a request.
    ServiceName, "service name", check_external_name
);
name_id!(
    /// Names a team that calls routes.
    TeamName, "team name", check_external_name
);
name_id!(
    /// Names a server. A process that starts again may have the name that it had before.
    ServerId, "server id", check_external_name
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
    /// A shard of one index layout, counted from 0.
    ShardId, u32, "shard number"
);
number_id!(
    /// A version of an index's data; a higher one is newer.
    IndexVersion, u64, "index version"
);
number_id!(
    /// A version of the configuration; it only rises. 0 stands for none.
    ConfigVersion, u64, "configuration version"
);
number_id!(
    /// A version of the routes; it only rises. 0 stands for none.
    TableVersion, u64, "routes version"
);
number_id!(
    /// One run of a node: milliseconds since 1970 at its start, used only to tell runs apart.
    Incarnation, u64, "incarnation"
);

number_id!(
    /// When a server's process started: milliseconds since 1970 by its own clock, used only to tell its runs
    /// apart and to order them. 0 where it tells none.
    ServerStart, u64, "server start"
);

/// One run of a server's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[serde(try_from = "String", into = "String")]
pub struct ServerRun {
    /// The server.
    pub id: ServerId,
    /// Which run of it.
    pub start: ServerStart,
}

/// Between a server's id and the start of a run in text.
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
        let started = text.rsplit_once(RUN_MARK).and_then(|(id, start)| Some((id, start.parse().ok()?)));
        let (id, start) = started.unwrap_or((text, ServerStart(0)));
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
    /// The version that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Position of an upstream in the configuration it was read from.
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
    /// One caller's request, random, 32 hex digits.
    RequestId, "request id"
);
hex_id!(
    /// One attempt at one server, random, 32 hex digits; the answer must echo it.
    AttemptId, "attempt id"
);
hex_id!(
    /// One change of the configuration, chosen by the operator's tool; a retry keeps it.
    ChangeId, "change id"
);

hex_id!(
    /// What a request asks for: two that have it in common have the same method, host, path and body,
    /// whoever sent them and under whatever request id.
    ContentId, "content id"
);

impl ContentId {
    /// The id of some content, given piece by piece. It is cut from a SHA-256 digest, so that nobody can
    /// make a request that is taken for another's.
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

/// Where a server listens: an IP number and a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerAddress(pub SocketAddr);

impl FromStr for ServerAddress {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let bad = |_| ParseIdError::BadFormat { kind: "server address (IP number and port)", text: text.to_owned() };
        text.parse().map(Self).map_err(bad)
    }
}

impl fmt::Display for ServerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A SHA-256 digest, 64 hex digits: of a configuration section or of a caller's token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode)]
#[serde(try_from = "String", into = "String")]
pub struct ContentDigest(pub [u8; 32]);

impl ContentDigest {
    /// The digest of some bytes.
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
