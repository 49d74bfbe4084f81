//! Validates the YAML files of a configuration together and reports every problem with its file and line.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;

use crate::config::{CallerSpec, Configuration, IndexSpec, ShardLayout, UpstreamSpec};
use crate::document::{
    CallerDocument, ConfigDocument, IndexDocument, LayoutDocument, ShardsDocument, UpstreamDocument,
};
use crate::ids::{CallerName, ConfigVersion, IndexName, ServerAddress, UpstreamIndex, UpstreamName};

/// The most shards in an index layout.
pub const MAX_SHARDS: u32 = 65_536;
/// The upper limit of the settings for slots, connections and concurrency.
pub const MAX_SERVER_LIMIT: u32 = 100_000;
/// Default of `wanted_coverage`: the fraction of shards with which a `latency` caller accepts an answer.
pub const DEFAULT_WANTED_COVERAGE: f64 = 0.95;

/// One YAML file of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct SourceFile {
    /// The file name, which error messages show.
    pub name: String,
    /// The YAML text.
    pub text: String,
}

/// A problem in a configuration.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CheckProblem {
    /// The file is not valid YAML or does not match the schema.
    #[error("{0}")]
    Syntax(String),
    /// A name is defined more than once.
    #[error("{kind} {name} is defined twice")]
    Duplicate {
        /// The kind of entry.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// An entry refers to a name that is not defined.
    #[error("{from} refers to {kind} {name}, which does not exist")]
    UnknownReference {
        /// The entry with the reference.
        from: String,
        /// The kind of entry that is referred to.
        kind: &'static str,
        /// The undefined name.
        name: String,
    },
    /// A value is outside its range.
    #[error("{what} is {found}; it must be {range}")]
    OutOfRange {
        /// The name of the value.
        what: String,
        /// The value found.
        found: String,
        /// The allowed range.
        range: &'static str,
    },
    /// A list that needs entries is empty.
    #[error("{0} is empty")]
    Empty(String),
    /// A shard is missing from a layout or assigned twice.
    #[error("index {index}, layout from version {version}: shard {shard} is {fault}")]
    ShardAssignment {
        /// The index.
        index: IndexName,
        /// The first index version of the layout.
        version: u64,
        /// The shard.
        shard: u32,
        /// "missing" or "assigned twice".
        fault: &'static str,
    },
    /// Two callers have the same token.
    #[error("callers {0} and {1} have the same token")]
    SharedToken(CallerName, CallerName),
}

/// A problem and its location.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckError {
    /// The file.
    pub file: String,
    /// The line, counted from 1; 0 if the problem concerns the whole file.
    pub line: u64,
    /// The problem.
    pub problem: CheckProblem,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.problem)
    }
}

/// Location of a value: file name and line.
type SourceLocation = (Arc<str>, u64);

/// The entries of all files with their locations.
#[derive(Default)]
struct MergedDocument {
    indexes: BTreeMap<IndexName, (SourceLocation, IndexDocument)>,
    upstreams: BTreeMap<UpstreamName, (SourceLocation, UpstreamDocument)>,
    callers: BTreeMap<CallerName, (SourceLocation, CallerDocument)>,
}

/// Checks files as one configuration and gives it this version.
///
/// # Errors
/// All problems found, sorted by file and line. No part of the files is used then.
pub fn check_files(version: ConfigVersion, files: &[SourceFile]) -> Result<Configuration, Vec<CheckError>> {
    let mut checker = Checker::default();
    for file in files {
        checker.read_file(file);
    }
    let merged = std::mem::take(&mut checker.merged);
    let upstreams = checker.check_upstreams(&merged);
    let indexes = checker.check_indexes(&merged);
    let callers = checker.check_callers(&merged);
    if checker.errors.is_empty() {
        return Ok(Configuration { version, indexes, upstreams, callers });
    }
    checker.errors.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    Err(checker.errors)
}

#[derive(Default)]
struct Checker {
    merged: MergedDocument,
    errors: Vec<CheckError>,
}

impl Checker {
    fn push_error(&mut self, location: &SourceLocation, problem: CheckProblem) {
        self.errors.push(CheckError { file: location.0.to_string(), line: location.1, problem });
    }

    fn read_file(&mut self, file: &SourceFile) {
        let name: Arc<str> = file.name.as_str().into();
        let document: ConfigDocument = match serde_saphyr::from_str(&file.text) {
            Ok(document) => document,
            Err(error) => {
                let line = error.location().map_or(0, |location| location.line());
                let text = error.without_snippet().to_string();
                self.push_error(&(name, line), CheckProblem::Syntax(text));
                return;
            }
        };
        for (id, entry) in document.indexes {
            let location = (name.clone(), entry.referenced.line());
            if self.merged.indexes.insert(id.clone(), (location.clone(), entry.value)).is_some() {
                self.push_error(&location, CheckProblem::Duplicate { kind: "index", name: id.to_string() });
            }
        }
        for (id, entry) in document.upstreams {
            let location = (name.clone(), entry.referenced.line());
            if self.merged.upstreams.insert(id.clone(), (location.clone(), entry.value)).is_some() {
                self.push_error(&location, CheckProblem::Duplicate { kind: "upstream", name: id.to_string() });
            }
        }
        for (id, entry) in document.callers {
            let location = (name.clone(), entry.referenced.line());
            if self.merged.callers.insert(id.clone(), (location.clone(), entry.value)).is_some() {
                self.push_error(&location, CheckProblem::Duplicate { kind: "caller", name: id.to_string() });
            }
        }
    }

    fn check_limit(&mut self, location: &SourceLocation, what: String, found: u32) {
        if !(1..=MAX_SERVER_LIMIT).contains(&found) {
            let problem = CheckProblem::OutOfRange { what, found: found.to_string(), range: "1 to 100000" };
            self.push_error(location, problem);
        }
    }

    fn check_upstreams(&mut self, merged: &MergedDocument) -> Vec<Arc<UpstreamSpec>> {
        let mut upstream_of: HashMap<ServerAddress, UpstreamName> = HashMap::new();
        let mut specs = Vec::new();
        for (name, (location, document)) in &merged.upstreams {
            self.check_limit(location, format!("slots of upstream {name}"), document.slots);
            self.check_limit(location, format!("connections of upstream {name}"), document.connections);
            if document.servers.is_empty() {
                self.push_error(location, CheckProblem::Empty(format!("servers of upstream {name}")));
            }
            for server in &document.servers {
                if upstream_of.insert(server.value, name.clone()).is_some() {
                    let problem = CheckProblem::Duplicate { kind: "server", name: server.value.to_string() };
                    self.push_error(&(location.0.clone(), server.referenced.line()), problem);
                }
            }
            specs.push(Arc::new(UpstreamSpec {
                name: name.clone(),
                domain: document.failure_domain.clone(),
                slots: document.slots,
                connections: document.connections,
                protocol: document.protocol,
                servers: document.servers.iter().map(|server| server.value).collect(),
            }));
        }
        specs
    }

    fn check_indexes(&mut self, merged: &MergedDocument) -> BTreeMap<IndexName, Arc<IndexSpec>> {
        let names = merged.upstreams.keys().zip(0..);
        let positions: HashMap<&UpstreamName, UpstreamIndex> =
            names.map(|(name, position)| (name, UpstreamIndex(position))).collect();
        let mut specs = BTreeMap::new();
        for (name, (location, document)) in &merged.indexes {
            if document.layouts.is_empty() {
                self.push_error(location, CheckProblem::Empty(format!("layouts of index {name}")));
            }
            let mut layouts: Vec<ShardLayout> = Vec::new();
            for entry in &document.layouts {
                let location = (location.0.clone(), entry.referenced.line());
                let layout = self.check_layout(&location, name, &entry.value, &positions);
                if layouts.iter().any(|other| other.first_version == layout.first_version) {
                    let name = format!("{name} from version {}", layout.first_version);
                    self.push_error(&location, CheckProblem::Duplicate { kind: "layout of index", name });
                }
                layouts.push(layout);
            }
            layouts.sort_by_key(|layout| layout.first_version);
            specs.insert(name.clone(), Arc::new(IndexSpec { name: name.clone(), layouts }));
        }
        specs
    }

    fn check_layout(
        &mut self,
        location: &SourceLocation,
        index: &IndexName,
        document: &LayoutDocument,
        positions: &HashMap<&UpstreamName, UpstreamIndex>,
    ) -> ShardLayout {
        let mut shards: BTreeMap<u32, Arc<[UpstreamIndex]>> = BTreeMap::new();
        for entry in &document.shards {
            let location = (location.0.clone(), entry.referenced.line());
            let upstreams = self.check_shard_upstreams(&location, index, &entry.value, positions);
            let (first, last) = entry.value.ids;
            if first > last || last >= MAX_SHARDS {
                let what = format!("ids of shards of index {index}");
                let found = format!("[{first}, {last}]");
                let range = "an ascending pair below 65536";
                self.push_error(&location, CheckProblem::OutOfRange { what, found, range });
                continue;
            }
            for shard in first..=last {
                if shards.insert(shard, upstreams.clone()).is_some() {
                    self.push_shard_error(&location, index, document, shard, "assigned twice");
                }
            }
        }
        if shards.is_empty() {
            self.push_error(location, CheckProblem::Empty(format!("shards of index {index}")));
        }
        let gap = (0..).zip(shards.keys()).find(|(expected, found)| expected != *found);
        if let Some((missing, _)) = gap {
            self.push_shard_error(location, index, document, missing, "missing");
        }
        ShardLayout { first_version: document.from_version, shards: shards.into_values().collect() }
    }

    fn push_shard_error(
        &mut self,
        location: &SourceLocation,
        index: &IndexName,
        document: &LayoutDocument,
        shard: u32,
        fault: &'static str,
    ) {
        let version = document.from_version.0;
        self.push_error(location, CheckProblem::ShardAssignment { index: index.clone(), version, shard, fault });
    }

    fn check_shard_upstreams(
        &mut self,
        location: &SourceLocation,
        index: &IndexName,
        document: &ShardsDocument,
        positions: &HashMap<&UpstreamName, UpstreamIndex>,
    ) -> Arc<[UpstreamIndex]> {
        if document.upstreams.is_empty() {
            self.push_error(location, CheckProblem::Empty(format!("upstreams of shards of index {index}")));
        }
        let mut indices = Vec::new();
        for name in &document.upstreams {
            match positions.get(name) {
                Some(position) => indices.push(*position),
                None => self.push_error(
                    location,
                    CheckProblem::UnknownReference {
                        from: format!("index {index}"),
                        kind: "upstream",
                        name: name.to_string(),
                    },
                ),
            }
        }
        indices.into()
    }

    fn check_callers(&mut self, merged: &MergedDocument) -> HashMap<crate::ids::ContentDigest, Arc<CallerSpec>> {
        let mut specs: HashMap<_, Arc<CallerSpec>> = HashMap::new();
        for (name, (location, document)) in &merged.callers {
            for index in &document.indexes {
                self.check_index_reference(location, name, index, merged);
            }
            let wanted = document.wanted_coverage.unwrap_or(DEFAULT_WANTED_COVERAGE);
            self.check_range(location, wanted, 0.0..=1.0, format!("wanted_coverage of caller {name}"), "0 to 1");
            self.check_range(location, document.rate.0, 0.001..=1e9, format!("rate of caller {name}"), "above 0");
            self.check_limit(location, format!("concurrency of caller {name}"), document.concurrency);
            let deadline = document.deadline.0;
            if deadline.is_zero() {
                let what = format!("deadline of caller {name}");
                let found = document.deadline.to_string();
                self.push_error(location, CheckProblem::OutOfRange { what, found, range: "above 0" });
            }
            let spec = CallerSpec {
                name: name.clone(),
                token: document.token_sha256,
                indexes: document.indexes.iter().map(|index| index.value.clone()).collect(),
                prefer: document.prefer,
                deadline,
                prefer_within: document.prefer_within.map_or(deadline / 2, |span| span.0),
                wanted_coverage: wanted,
                rate: document.rate.0,
                concurrency: document.concurrency,
            };
            if let Some(other) = specs.insert(spec.token, Arc::new(spec)) {
                self.push_error(location, CheckProblem::SharedToken(other.name.clone(), name.clone()));
            }
        }
        specs
    }

    fn check_index_reference(
        &mut self,
        location: &SourceLocation,
        caller: &CallerName,
        index: &Spanned<IndexName>,
        merged: &MergedDocument,
    ) {
        if merged.indexes.contains_key(&index.value) {
            return;
        }
        let from = format!("caller {caller}");
        let problem = CheckProblem::UnknownReference { from, kind: "index", name: index.value.to_string() };
        self.push_error(&(location.0.clone(), index.referenced.line()), problem);
    }

    fn check_range(
        &mut self,
        location: &SourceLocation,
        value: f64,
        allowed: std::ops::RangeInclusive<f64>,
        what: String,
        range: &'static str,
    ) {
        if !allowed.contains(&value) {
            self.push_error(location, CheckProblem::OutOfRange { what, found: value.to_string(), range });
        }
    }
}
