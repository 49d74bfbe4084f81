//! The head record of the committed configuration, which also serves as its audit record.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::check::SourceFile;
use crate::ids::{ChangeId, ConfigVersion, ContentDigest};

/// Number of earlier change ids kept in the head, so that the retry of an applied change is recognized.
pub const RECENT_CHANGES: usize = 64;

/// A configuration file as stored: its text is split into sections, each stored under its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct StoredFile {
    /// The file name given by the operator.
    pub name: String,
    /// Digests of its sections, in order.
    pub sections: Vec<ContentDigest>,
}

/// A committed configuration: the value of `config/head`, copied to `audit/<version>` once it is replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct HeadRecord {
    /// The version; one more than that of the head it replaced.
    pub version: ConfigVersion,
    /// Digest of the names and section digests of all files.
    pub digest: ContentDigest,
    /// The files.
    pub files: Vec<StoredFile>,
    /// The change that created this version.
    pub change: ChangeId,
    /// Who applied it.
    pub operator: String,
    /// The reason given by the operator.
    pub reason: String,
    /// The node that committed it.
    pub node: String,
    /// Wall-clock time of the commit in milliseconds since 1970. For information only; never used for ordering.
    pub time_ms: u64,
    /// Earlier changes and the versions they created, newest first.
    pub recent: Vec<(ChangeId, ConfigVersion)>,
}

impl HeadRecord {
    /// Returns the version that `change` created, if it is that of this head or of a recent one.
    pub fn version_of(&self, change: ChangeId) -> Option<ConfigVersion> {
        if self.change == change {
            return Some(self.version);
        }
        let mut recent = self.recent.iter();
        recent.find(|(id, _)| *id == change).map(|(_, version)| *version)
    }

    /// Computes the digest of stored files.
    pub fn digest_of(files: &[StoredFile]) -> ContentDigest {
        let mut bytes = Vec::new();
        for file in files {
            bytes.extend_from_slice(file.name.as_bytes());
            bytes.push(0);
            for section in &file.sections {
                bytes.extend_from_slice(&section.0);
            }
            bytes.push(0);
        }
        ContentDigest::of(&bytes)
    }
}

/// A head with the text of its files, as nodes send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ConfigBundle {
    /// The committed head.
    pub head: HeadRecord,
    /// Its files.
    pub files: Vec<SourceFile>,
}
