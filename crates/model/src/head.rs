//! The committed head of the configuration, which is its audit record too.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::check::SourceFile;
use crate::ids::{ChangeId, ConfigVersion, ContentDigest};

/// Change ids kept in the head, so that a retried change is known as applied.
pub const RECENT_CHANGES: usize = 64;

/// One configuration file as stored: its text is cut into sections under their digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct StoredFile {
    /// The file's name as the operator gave it.
    pub name: String,
    /// Digests of its sections, in order.
    pub sections: Vec<ContentDigest>,
}

/// One committed configuration: the value of `config/head`, copied to `audit/<version>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct HeadRecord {
    /// The version; one more than the one it replaced.
    pub version: ConfigVersion,
    /// Digest over names and sections of all files.
    pub digest: ContentDigest,
    /// The files.
    pub files: Vec<StoredFile>,
    /// The change that made this version.
    pub change: ChangeId,
    /// Who applied it.
    pub operator: String,
    /// Why, in the operator's words.
    pub reason: String,
    /// The node that committed it.
    pub node: String,
    /// Wall-clock time of the commit, milliseconds since 1970; for people, never for order.
    pub time_ms: u64,
    /// Earlier changes, newest first, with the version each made.
    pub recent: Vec<(ChangeId, ConfigVersion)>,
}

impl HeadRecord {
    /// The version that `change` made, if this head or a recent one came from it.
    pub fn version_of(&self, change: ChangeId) -> Option<ConfigVersion> {
        if self.change == change {
            return Some(self.version);
        }
        let mut recent = self.recent.iter();
        recent.find(|(id, _)| *id == change).map(|(_, version)| *version)
    }

    /// The digest that a set of stored files must have.
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

/// A head with the text of its files, as nodes pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ConfigBundle {
    /// The committed head.
    pub head: HeadRecord,
    /// Its files.
    pub files: Vec<SourceFile>,
}
