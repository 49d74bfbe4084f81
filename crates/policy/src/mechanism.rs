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
    FarDelegation,
    /// Shards with a server near are handed to stronger nodes of the failure domain.
    NearDelegation,
    /// Servers that fell silent are gone round.
    SilenceRouting,
    /// Servers are judged by their open calls too.
    OpenCalls,
    /// The load that servers tell counts.
    ReportedLoad,
    /// Servers that refused or failed calls are asked less.
    RefusalPenalty,
    /// Servers that refused or failed a call rest.
    FailureBackoff,
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
    UnreachableDomains,
    /// What servers tell of their pace counts.
    ReportedPace,
    /// The time that a caller's new connection took counts as a part of its first request.
    HandshakeTime,
    /// Calls for full servers wait at the node, the most urgent first.
    CallQueues,
    /// Among calls of one priority, teams take turns by their rates.
    TeamTurns,
    /// Requests that cannot be answered in time, or must give way to more urgent ones, are refused on arrival.
    EntryGate,
    /// Callers that are refused together are told different times to come back.
    RetryReservations,
    /// How fast a server works is learnt from its answers.
    MeasuredPace,
}

/// Every mechanism with its name in settings, by the order of the type.
const NAMES: [(Mechanism, &str); 22] = [
    (Mechanism::NearHedges, "near_hedges"),
    (Mechanism::FarHedges, "far_hedges"),
    (Mechanism::FarDelegation, "far_folding"),
    (Mechanism::NearDelegation, "near_folding"),
    (Mechanism::SilenceRouting, "silence_routing"),
    (Mechanism::OpenCalls, "open_calls"),
    (Mechanism::ReportedLoad, "told_load"),
    (Mechanism::RefusalPenalty, "refusal_memory"),
    (Mechanism::FailureBackoff, "failure_rest"),
    (Mechanism::WarmUp, "warm_up"),
    (Mechanism::RetryPauses, "retry_pauses"),
    (Mechanism::DomainReaders, "domain_readers"),
    (Mechanism::DoubtfulServers, "doubtful_servers"),
    (Mechanism::SplitTurns, "split_turns"),
    (Mechanism::UnreachableDomains, "dark_domains"),
    (Mechanism::ReportedPace, "told_pace"),
    (Mechanism::HandshakeTime, "handshake_time"),
    (Mechanism::CallQueues, "call_lines"),
    (Mechanism::TeamTurns, "team_turns"),
    (Mechanism::EntryGate, "entry_gate"),
    (Mechanism::RetryReservations, "return_turns"),
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
