//! Checks a set of YAML files as a whole and lists every problem with file and line.

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

/// The most shards an index layout can have.
pub const MAX_SHARDS: u32 = 65_536;
/// The most slots and connections a server can have.
pub const MAX_SERVER_LIMIT: u32 = 100_000;
/// The share of shards that contents a `latency` caller that names none.
pub const DEFAULT_WANTED_COVERAGE: f64 = 0.95;

/// One file of a configuration: its name, for messages, and its YAML text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct SourceFile {
    /// The name.
    pub name: String,
    /// The text.
    pub text: String,
}

/// What is wrong with a configuration.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CheckProblem {
    /// The file is not YAML of the wanted shape.
    #[error("{0}")]
    Syntax(String),
    /// A name is given twice, here and at an earlier place.
    #[error("{kind} {name} is given twice")]
    Twice {
        /// What kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// Something refers to a name that is not there.
    #[error("{from} names {kind} {name}, which does not exist")]
    UnknownReference {
        /// The thing that refers.
        from: String,
        /// The kind referred to.
        kind: &'static str,
        /// The missing name.
        name: String,
    },
    /// A number lies outside its range.
    #[error("{what} is {found}; it must be {range}")]
    OutOfRange {
        /// Which value.
        what: String,
        /// What it is.
        found: String,
        /// What it may be.
        range: &'static str,
    },
    /// Something that needs entries has none.
    #[error("{0} is empty")]
    Empty(String),
    /// The shards of a layout leave out or repeat one.
    #[error("index {index}, layout from version {version}: shard {shard} is {fault}")]
    ShardCover {
        /// The index.
        index: IndexName,
        /// The layout's first version.
        version: u64,
        /// The shard.
        shard: u32,
        /// "missing" or "given twice".
        fault: &'static str,
    },
    /// Two callers have the same token.
    #[error("callers {0} and {1} have the same token")]
    SharedToken(CallerName, CallerName),
}

/// A problem with the place it was found at.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 where the whole file is meant.
    pub line: u64,
    /// What is wrong.
    pub problem: CheckProblem,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.problem)
    }
}

/// Where a value stands: file name and line.
type SourcePlace = (Arc<str>, u64);

/// The documents of all files under one roof, with the place of each entry.
#[derive(Default)]
struct MergedDocument {
    indexes: BTreeMap<IndexName, (SourcePlace, IndexDocument)>,
    upstreams: BTreeMap<UpstreamName, (SourcePlace, UpstreamDocument)>,
    callers: BTreeMap<CallerName, (SourcePlace, CallerDocument)>,
}

/// Checks files as one configuration with the given version.
///
/// # Errors
/// Every problem found, each with file and line; then nothing of the files is used.
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
    fn fail(&mut self, place: &SourcePlace, problem: CheckProblem) {
        self.errors.push(CheckError { file: place.0.to_string(), line: place.1, problem });
    }

    fn read_file(&mut self, file: &SourceFile) {
        let name: Arc<str> = file.name.as_str().into();
        let document: ConfigDocument = match serde_saphyr::from_str(&file.text) {
            Ok(document) => document,
            Err(error) => {
                let line = error.location().map_or(0, |location| location.line());
                let text = error.without_snippet().to_string();
                self.fail(&(name, line), CheckProblem::Syntax(text));
                return;
            }
        };
        for (id, entry) in document.indexes {
            let place = (name.clone(), entry.referenced.line());
            if self.merged.indexes.insert(id.clone(), (place.clone(), entry.value)).is_some() {
                self.fail(&place, CheckProblem::Twice { kind: "index", name: id.to_string() });
            }
        }
        for (id, entry) in document.upstreams {
            let place = (name.clone(), entry.referenced.line());
            if self.merged.upstreams.insert(id.clone(), (place.clone(), entry.value)).is_some() {
                self.fail(&place, CheckProblem::Twice { kind: "upstream", name: id.to_string() });
            }
        }
        for (id, entry) in document.callers {
            let place = (name.clone(), entry.referenced.line());
            if self.merged.callers.insert(id.clone(), (place.clone(), entry.value)).is_some() {
                self.fail(&place, CheckProblem::Twice { kind: "caller", name: id.to_string() });
            }
        }
    }

    fn check_limit(&mut self, place: &SourcePlace, what: String, found: u32) {
        if !(1..=MAX_SERVER_LIMIT).contains(&found) {
            let problem = CheckProblem::OutOfRange { what, found: found.to_string(), range: "1 to 100000" };
            self.fail(place, problem);
        }
    }

    fn check_upstreams(&mut self, merged: &MergedDocument) -> Vec<Arc<UpstreamSpec>> {
        let mut owners: HashMap<ServerAddress, UpstreamName> = HashMap::new();
        let mut specs = Vec::new();
        for (name, (place, document)) in &merged.upstreams {
            self.check_limit(place, format!("slots of upstream {name}"), document.slots);
            self.check_limit(place, format!("connections of upstream {name}"), document.connections);
            if document.servers.is_empty() {
                self.fail(place, CheckProblem::Empty(format!("servers of upstream {name}")));
            }
            for server in &document.servers {
                if owners.insert(server.value, name.clone()).is_some() {
                    let twice = CheckProblem::Twice { kind: "server", name: server.value.to_string() };
                    self.fail(&(place.0.clone(), server.referenced.line()), twice);
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
        for (name, (place, document)) in &merged.indexes {
            if document.layouts.is_empty() {
                self.fail(place, CheckProblem::Empty(format!("layouts of index {name}")));
            }
            let mut layouts: Vec<ShardLayout> = Vec::new();
            for entry in &document.layouts {
                let place = (place.0.clone(), entry.referenced.line());
                let layout = self.check_layout(&place, name, &entry.value, &positions);
                if layouts.iter().any(|other| other.first_version == layout.first_version) {
                    let name = format!("{name} from version {}", layout.first_version);
                    self.fail(&place, CheckProblem::Twice { kind: "layout of index", name });
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
        place: &SourcePlace,
        index: &IndexName,
        document: &LayoutDocument,
        positions: &HashMap<&UpstreamName, UpstreamIndex>,
    ) -> ShardLayout {
        let mut shards: BTreeMap<u32, Arc<[UpstreamIndex]>> = BTreeMap::new();
        for entry in &document.shards {
            let place = (place.0.clone(), entry.referenced.line());
            let upstreams = self.check_holders(&place, index, &entry.value, positions);
            let (first, last) = entry.value.ids;
            if first > last || last >= MAX_SHARDS {
                let what = format!("ids of shards of index {index}");
                let found = format!("[{first}, {last}]");
                let range = "a rising pair below 65536";
                self.fail(&place, CheckProblem::OutOfRange { what, found, range });
                continue;
            }
            for shard in first..=last {
                if shards.insert(shard, upstreams.clone()).is_some() {
                    self.fail_cover(&place, index, document, shard, "given twice");
                }
            }
        }
        if shards.is_empty() {
            self.fail(place, CheckProblem::Empty(format!("shards of index {index}")));
        }
        let gap = (0..).zip(shards.keys()).find(|(expected, found)| expected != *found);
        if let Some((missing, _)) = gap {
            self.fail_cover(place, index, document, missing, "missing");
        }
        ShardLayout { first_version: document.from_version, shards: shards.into_values().collect() }
    }

    fn fail_cover(
        &mut self,
        place: &SourcePlace,
        index: &IndexName,
        document: &LayoutDocument,
        shard: u32,
        fault: &'static str,
    ) {
        let version = document.from_version.0;
        self.fail(place, CheckProblem::ShardCover { index: index.clone(), version, shard, fault });
    }

    fn check_holders(
        &mut self,
        place: &SourcePlace,
        index: &IndexName,
        document: &ShardsDocument,
        positions: &HashMap<&UpstreamName, UpstreamIndex>,
    ) -> Arc<[UpstreamIndex]> {
        if document.upstreams.is_empty() {
            self.fail(place, CheckProblem::Empty(format!("upstreams of shards of index {index}")));
        }
        let mut holders = Vec::new();
        for name in &document.upstreams {
            match positions.get(name) {
                Some(position) => holders.push(*position),
                None => self.fail(
                    place,
                    CheckProblem::UnknownReference {
                        from: format!("index {index}"),
                        kind: "upstream",
                        name: name.to_string(),
                    },
                ),
            }
        }
        holders.into()
    }

    fn check_callers(&mut self, merged: &MergedDocument) -> HashMap<crate::ids::ContentDigest, Arc<CallerSpec>> {
        let mut specs: HashMap<_, Arc<CallerSpec>> = HashMap::new();
        for (name, (place, document)) in &merged.callers {
            for index in &document.indexes {
                self.check_reach(place, name, index, merged);
            }
            let wanted = document.wanted_coverage.unwrap_or(DEFAULT_WANTED_COVERAGE);
            self.check_range(place, wanted, 0.0..=1.0, format!("wanted_coverage of caller {name}"), "0 to 1");
            self.check_range(place, document.rate.0, 0.001..=1e9, format!("rate of caller {name}"), "above 0");
            self.check_limit(place, format!("concurrency of caller {name}"), document.concurrency);
            let deadline = document.deadline.0;
            if deadline.is_zero() {
                let what = format!("deadline of caller {name}");
                let found = document.deadline.to_string();
                self.fail(place, CheckProblem::OutOfRange { what, found, range: "above 0" });
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
                self.fail(place, CheckProblem::SharedToken(other.name.clone(), name.clone()));
            }
        }
        specs
    }

    fn check_reach(
        &mut self,
        place: &SourcePlace,
        caller: &CallerName,
        index: &Spanned<IndexName>,
        merged: &MergedDocument,
    ) {
        if merged.indexes.contains_key(&index.value) {
            return;
        }
        let from = format!("caller {caller}");
        let problem = CheckProblem::UnknownReference { from, kind: "index", name: index.value.to_string() };
        self.fail(&(place.0.clone(), index.referenced.line()), problem);
    }

    fn check_range(
        &mut self,
        place: &SourcePlace,
        value: f64,
        allowed: std::ops::RangeInclusive<f64>,
        what: String,
        range: &'static str,
    ) {
        if !allowed.contains(&value) {
            self.fail(place, CheckProblem::OutOfRange { what, found: value.to_string(), range });
        }
    }
}
