//! Decision mechanisms that can be switched off at a node, so that the effect of each can be measured.

use std::fmt;
use std::str::FromStr;

/// A decision mechanism of the routing mode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Hedged requests to near servers when a call is overdue.
    NearHedges,
    /// Hedged requests to far servers.
    FarHedges,
    /// Delegates shards without a near server, in batches, to nodes near their servers.
    FarDelegation,
    /// Delegates shards with a near server to stronger nodes of the failure domain.
    NearDelegation,
    /// Avoids servers that have stopped responding.
    SilenceRouting,
    /// Takes the open calls of a server into account.
    OpenCalls,
    /// Takes the load that servers report into account.
    ReportedLoad,
    /// Sends fewer calls to servers that have refused or failed calls.
    RefusalPenalty,
    /// Backs off from servers that refused or failed a call.
    FailureBackoff,
    /// Treats servers that have just started as slow.
    WarmUp,
    /// Retries servers that did not accept a request after a delay.
    RetryPauses,
    /// One node of a failure domain reads the store for the others.
    DomainReaders,
    /// Tries servers whose entry was removed if no other server answers.
    DoubtfulServers,
    /// Selects the services of a traffic split in a fixed sequence instead of at random.
    SplitSequence,
    /// Avoids unreachable failure domains as a whole.
    UnreachableDomains,
    /// Takes the pace that servers report into account.
    ReportedPace,
    /// Counts the setup time of a caller's new connection as part of its first request.
    HandshakeTime,
    /// Queues calls for full servers at the node, the most urgent first.
    CallQueues,
    /// Shares the capacity for calls of one priority among teams in proportion to their rates.
    TeamScheduling,
    /// Admission control: refuses requests on arrival that cannot finish in time or must yield to more urgent ones.
    EntryGate,
    /// Gives callers that are refused together different retry times.
    RetryReservations,
    /// Measures the pace of a server from its answers.
    MeasuredPace,
}

/// The name of each mechanism in the settings, in the order of the enum variants.
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
    (Mechanism::SplitSequence, "split_turns"),
    (Mechanism::UnreachableDomains, "dark_domains"),
    (Mechanism::ReportedPace, "told_pace"),
    (Mechanism::HandshakeTime, "handshake_time"),
    (Mechanism::CallQueues, "call_lines"),
    (Mechanism::TeamScheduling, "team_turns"),
    (Mechanism::EntryGate, "entry_gate"),
    (Mechanism::RetryReservations, "return_turns"),
    (Mechanism::MeasuredPace, "measured_pace"),
];

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(NAMES[*self as usize].1)
    }
}

/// The error for an unknown mechanism name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("there is no mechanism {0:?}; there are {known}", known = list_names())]
pub struct UnknownMechanism(pub String);

fn list_names() -> String {
    NAMES.map(|(_, name)| name).join(", ")
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, UnknownMechanism> {
        let entry = NAMES.iter().find(|(_, name)| *name == text);
        entry.map(|(mechanism, _)| *mechanism).ok_or_else(|| UnknownMechanism(text.to_owned()))
    }
}

/// The set of active mechanisms; all of them by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MechanismSet {
    without: u32,
}

impl MechanismSet {
    /// All mechanisms except the given ones.
    pub fn without(mechanisms: &[Mechanism]) -> Self {
        Self { without: mechanisms.iter().fold(0, |bits, mechanism| bits | 1 << *mechanism as u32) }
    }

    /// Whether a mechanism is active.
    pub fn has(self, mechanism: Mechanism) -> bool {
        self.without & (1 << mechanism as u32) == 0
    }
}
