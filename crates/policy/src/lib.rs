//! Decisions of streamfold: replica choice, limits, queues, hedges, retries, pinning,
//! admission and ownership.
//!
//! Nothing here does I/O or reads a clock; the moment and the dice are passed in. That
//! makes every rule a function that tests can drive to any state.

pub mod absence;
pub mod admission;
pub mod answer_margin;
pub mod batch_gate;
pub mod budget;
pub mod budget_share;
pub mod call_order;
pub mod caller_way;
pub mod canary;
pub mod cold_limit;
pub mod come_back;
pub mod crash_book;
mod domain_credit;
pub mod domain_reach;
pub mod entry_gate;
pub mod extra_budget;
pub mod feed_rule;
pub mod finish;
pub mod finish_estimate;
pub mod fold_rule;
pub mod hedge;
pub mod inflight_limit;
pub mod late_alarm;
pub mod latency;
pub mod mechanism;
pub mod members;
pub mod moment;
pub mod owner;
pub mod pace_estimate;
pub mod pin;
pub mod placement;
pub mod priority_level;
pub mod queue;
pub mod reader_look;
pub mod recent_work;
pub mod replica;
pub mod reported_pace;
pub mod retry;
pub mod rules;
pub mod server;
pub mod server_bound;
pub mod server_exclusion;
pub mod shard_health;
pub mod split_rule;
pub mod store_pause;
pub mod team_turns;
pub mod turn_book;
pub mod usage_credit;
pub mod wait_book;
pub mod wait_line;
pub mod watch_rule;

pub use admission::{Admission, AdmissionAsk, AdmissionGate, AdmissionRefusal, RateGate, WorkReport};
pub use budget::TokenBudget;
pub use finish::FinishRule;
pub use latency::LatencyHistogram;
pub use mechanism::{Mechanism, MechanismSet};
pub use members::{HandoverRecord, MemberEntry, MemberState, MemberTable, MemberTimes, TicketHolder};
pub use moment::Moment;
pub use pin::HeldVersions;
pub use queue::{QueueSubmission, StartedWork, UpstreamQueue, WorkItem};
pub use rules::{AdaptiveRules, AttemptRules, BaselineRules, HedgeChoice};
pub use server::{CallReport, ServerState};
pub use wait_line::WaitPlace;
