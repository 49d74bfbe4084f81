//! The request router. It matches callers' requests by host and path and forwards each one to one
//! server of a service, or to one server of every shard and folds the shard answers into one.
//!
//! The router is independent of the platform: the traits in [`interface`] supply the request format and
//! the source of routes and servers.

pub mod answer;
pub mod answer_memory;
pub mod attempt_context;
pub mod attempts;
pub mod batch;
pub mod call;
pub mod call_latencies;
pub mod call_line;
pub mod call_waits;
mod caller_body;
mod caller_team;
pub mod canary;
pub mod catch_up;
pub mod clock;
pub mod cluster;
mod cluster_parts;
pub mod cluster_place;
mod cluster_servers;
pub mod cluster_view;
pub mod connection;
pub mod connection_pool;
pub mod contention;
pub mod crash_check;
pub mod delegate;
pub mod domain;
pub mod entry;
pub mod error;
pub mod evacuation;
pub mod feed;
pub mod fold;
pub mod freshness;
mod freshness_check;
pub mod front;
pub mod gather;
pub mod gather_batch;
pub mod gather_hedge;
mod granters;
pub mod hedge;
pub mod interface;
pub mod knowledge;
pub mod listing;
pub mod liveness_probe;
mod look_around;
pub mod node_sweep;
pub mod pace_report;
pub mod peer_gather;
pub mod peer_service;
pub mod peers;
pub mod quarantine;
pub mod quarantine_news;
pub mod read_limit;
pub mod ready;
pub mod relay;
pub mod relay_service;
pub mod request;
pub mod router;
pub mod router_start;
mod router_stop;
pub mod server;
mod server_choice;
pub mod settings;
pub mod shortage;
pub mod single;
pub mod slow_periods;
pub mod store_call;
pub mod store_turn;
pub mod task;
mod topic_check;
mod topic_update;
pub mod usage;

pub use router::{Router, RunningRouter};
pub use settings::RouterSettings;
