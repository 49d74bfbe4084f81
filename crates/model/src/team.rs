//! Teams that call routes: their API keys, allowed regions and rate limits.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};
use sha2::{Digest, Sha256};

use crate::ids::TeamName;
use crate::routing::AllowedRegions;
use crate::units::Priority;

/// SHA-256 digest of an API key. Keys are stored and compared only as digests, which do not reveal them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of the key that a caller sends.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Rate limit of a team, counted over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct UsageLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may exceed the rate in a burst.
    pub burst: f64,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TeamSpec {
    /// Its name, which is sent to servers.
    pub name: TeamName,
    /// The priority of its requests, which replaces that of the route.
    pub priority: Option<Priority>,
    /// The regions in which its requests may be served, of those that the route allows.
    pub allowed_regions: AllowedRegions,
    /// Its rate limit; `None` if it has none.
    pub limit: Option<UsageLimit>,
}

/// A team and its API keys.
#[derive(Debug, Clone)]
pub struct TeamKeys {
    /// The team.
    pub team: TeamSpec,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Error of building a team directory.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TeamError {
    /// Two teams have the same name.
    #[error("team {0} is there twice")]
    DuplicateName(TeamName),
    /// Two teams have the same key.
    #[error("team {0} has a key of another team")]
    DuplicateKey(TeamName),
}

/// The teams of one version of the routes, with lookup by API key.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct TeamDirectory {
    teams: Vec<Arc<TeamSpec>>,
    by_key: HashMap<KeyDigest, usize>,
}

impl TeamDirectory {
    /// Builds the directory and checks that names and keys are unique.
    ///
    /// # Errors
    /// The first team whose name or key another team has.
    pub fn build(listed: Vec<TeamKeys>) -> Result<Self, TeamError> {
        let mut directory = Self::default();
        for (position, TeamKeys { team, keys }) in listed.into_iter().enumerate() {
            if directory.find_by_name(&team.name).is_some() {
                return Err(TeamError::DuplicateName(team.name));
            }
            for key in keys {
                if directory.by_key.insert(key, position).is_some_and(|other| other != position) {
                    return Err(TeamError::DuplicateKey(team.name));
                }
            }
            directory.teams.push(Arc::new(team));
        }
        Ok(directory)
    }

    /// Finds the team that has this key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<TeamSpec>> {
        self.by_key.get(key).map(|position| &self.teams[*position])
    }

    /// Finds a team by its name.
    pub fn find_by_name(&self, name: &TeamName) -> Option<&Arc<TeamSpec>> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// Returns all teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamSpec> {
        self.teams.iter().map(|team| &**team)
    }

    /// Whether any team has a rate limit.
    pub fn has_limits(&self) -> bool {
        self.teams.iter().any(|team| team.limit.is_some())
    }
}
