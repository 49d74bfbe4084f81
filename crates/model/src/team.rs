//! Teams that call routes: their keys, where their requests may be served and how many they may send.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};
use sha2::{Digest, Sha256};

use crate::ids::TeamName;
use crate::routing::AllowedRegions;
use crate::units::Priority;

/// A caller's key as it is kept and compared: a digest from which nobody can tell the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as its caller shows it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// How many requests a team may send, counted over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct UsageLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests on top of the rate.
    pub burst: f64,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TeamSpec {
    /// Its name, which servers are told.
    pub name: TeamName,
    /// The rank of its requests in place of their route's.
    pub priority: Option<Priority>,
    /// Where its requests may be served, within what their route allows.
    pub allowed_regions: AllowedRegions,
    /// How many requests it may send; without a limit any number.
    pub limit: Option<UsageLimit>,
}

/// A team's keys.
#[derive(Debug, Clone)]
pub struct TeamKeys {
    /// The team.
    pub team: TeamSpec,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why teams cannot be put in force.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum TeamError {
    /// Two teams have one name.
    #[error("team {0} is there twice")]
    DuplicateName(TeamName),
    /// Two teams have one key.
    #[error("team {0} has a key of another team")]
    DuplicateKey(TeamName),
}

/// The teams of one version of the routes, by their keys.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct TeamDirectory {
    teams: Vec<Arc<TeamSpec>>,
    by_key: HashMap<KeyDigest, usize>,
}

impl TeamDirectory {
    /// Checks and indexes teams.
    ///
    /// # Errors
    /// The first team that another one contradicts.
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

    /// The team that holds a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<TeamSpec>> {
        self.by_key.get(key).map(|position| &self.teams[*position])
    }

    /// The team of a name.
    pub fn find_by_name(&self, name: &TeamName) -> Option<&Arc<TeamSpec>> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// All teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamSpec> {
        self.teams.iter().map(|team| &**team)
    }

    /// Whether any team's requests are limited.
    pub fn has_limits(&self) -> bool {
        self.teams.iter().any(|team| team.limit.is_some())
    }
}
