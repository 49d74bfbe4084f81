//! Mechanisms of decision that a node may be told to do without, so that what each is worth can be
//! measured.

use std::fmt;
use std::str::FromStr;

/// A mechanism of decision in routing mode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Second calls to near servers round one that is overdue.
    NearHedges,
    /// Second calls to far servers.
    FarHedges,
    /// Shards without a server near are handed in batches to nodes near their servers.
    FarFolding,
    /// Shards with a server near are handed to stronger nodes of the failure domain.
    NearFolding,
    /// Servers that fell silent are gone round.
    SilenceRouting,
    /// Servers are judged by their open calls too.
    OpenCalls,
    /// The load that servers tell counts.
    ToldLoad,
    /// Servers that refused or failed calls are asked less.
    RefusalMemory,
    /// Servers that refused or failed a call rest.
    FailureRest,
    /// Servers that have just started count as slow.
    WarmUp,
    /// Servers that did not take a request are tried again after a pause.
    RetryPauses,
    /// One node of a failure domain follows the store for the others.
    DomainReaders,
    /// Servers whose entry is gone may be tried where no other answers.
    DoubtfulServers,
    /// Requests of a split go to its services by turns.
    SplitTurns,
    /// Failure domains from which nothing is heard are gone round as a whole.
    DarkDomains,
    /// What servers tell of their pace counts.
    ToldPace,
    /// The time that a caller's new connection took counts as a part of its first request.
    HandshakeTime,
    /// Calls for full servers wait at the node, the most urgent first.
    CallLines,
    /// Among calls of one priority, teams take turns by their rates.
    TeamTurns,
    /// Requests that cannot be answered in time, or must give way to more urgent ones, are refused on arrival.
    EntryGate,
    /// Callers that are refused together are told different times to come back.
    ReturnTurns,
    /// How fast a server works is learnt from its answers.
    MeasuredPace,
}

/// Every mechanism with its name in settings, by the order of the type.
const NAMES: [(Mechanism, &str); 22] = [
    (Mechanism::NearHedges, "near_hedges"),
    (Mechanism::FarHedges, "far_hedges"),
    (Mechanism::FarFolding, "far_folding"),
    (Mechanism::NearFolding, "near_folding"),
    (Mechanism::SilenceRouting, "silence_routing"),
    (Mechanism::OpenCalls, "open_calls"),
    (Mechanism::ToldLoad, "told_load"),
    (Mechanism::RefusalMemory, "refusal_memory"),
    (Mechanism::FailureRest, "failure_rest"),
    (Mechanism::WarmUp, "warm_up"),
    (Mechanism::RetryPauses, "retry_pauses"),
    (Mechanism::DomainReaders, "domain_readers"),
    (Mechanism::DoubtfulServers, "doubtful_servers"),
    (Mechanism::SplitTurns, "split_turns"),
    (Mechanism::DarkDomains, "dark_domains"),
    (Mechanism::ToldPace, "told_pace"),
    (Mechanism::HandshakeTime, "handshake_time"),
    (Mechanism::CallLines, "call_lines"),
    (Mechanism::TeamTurns, "team_turns"),
    (Mechanism::EntryGate, "entry_gate"),
    (Mechanism::ReturnTurns, "return_turns"),
    (Mechanism::MeasuredPace, "measured_pace"),
];

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(NAMES[*self as usize].1)
    }
}

/// A name that is no mechanism's.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("there is no mechanism {0:?}; there are {known}", known = list_names())]
pub struct UnknownMechanism(pub String);

fn list_names() -> String {
    NAMES.map(|(_, name)| name).join(", ")
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let named = NAMES.iter().find(|(_, name)| *name == text);
        named.map(|(mechanism, _)| *mechanism).ok_or_else(|| UnknownMechanism(text.to_owned()))
    }
}

/// Mechanisms in use; at first all of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MechanismSet {
    without: u32,
}

impl MechanismSet {
    /// All mechanisms but some.
    pub fn without(mechanisms: &[Mechanism]) -> Self {
        Self { without: mechanisms.iter().fold(0, |bits, mechanism| bits | 1 << *mechanism as u32) }
    }

    /// Whether a mechanism is in use.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.without & (1 << mechanism as u32) == 0
    }
}
