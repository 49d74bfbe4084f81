//! Decision logic of streamfold: replica selection, concurrency limits, queues, hedged requests, retries,
//! version pinning, admission control and ownership.
//!
//! Nothing here does I/O or reads a clock. The current time and random numbers are parameters, so that tests can
//! drive every rule to any state.

pub mod absence;
pub mod admission;
pub mod answer_margin;
pub mod batch_gate;
pub mod budget;
pub mod budget_share;
pub mod call_order;
pub mod caller_cut;
pub mod canary;
pub mod cold_limit;
pub mod crash_tracker;
pub mod departure;
mod domain_credit;
pub mod domain_reach;
pub mod entry_gate;
pub mod extra_budget;
pub mod feed_checks;
pub mod finish;
pub mod finish_estimate;
pub mod fold_rule;
pub mod hedge;
pub mod inflight_limit;
pub mod late_timer;
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
pub mod reader_choice;
pub mod reader_probe;
pub mod recent_work;
pub mod replica;
pub mod reported_pace;
pub mod request_start;
pub mod reservation_table;
pub mod retry;
pub mod retry_after;
pub mod rules;
pub mod server;
pub mod server_bound;
pub mod server_exclusion;
pub mod shard_health;
pub mod split_rule;
pub mod stop_admission;
pub mod stop_schedule;
pub mod store_backoff;
pub mod team_scheduler;
pub mod usage_credit;
pub mod wait_queue;
pub mod wait_tracker;

pub use admission::{Admission, AdmissionControl, AdmissionRefusal, AdmissionRequest, TokenBucket, WorkReport};
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
pub use wait_queue::WaitId;
