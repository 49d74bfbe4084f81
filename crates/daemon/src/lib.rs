//! The daemon `streamfoldd`: one node of the query tier. As a library it lets the lab run
//! several nodes in one process.

pub mod admission;
pub mod caller_error;
pub mod caller_input;
pub mod callers;
pub mod error;
pub mod fold;
pub mod gossip;
pub mod headers;
pub mod http_server;
pub mod keeper;
pub mod links;
pub mod logs;
pub mod metered;
pub mod metrics_text;
pub mod node;
pub mod node_books;
pub mod node_start;
pub mod node_view;
pub mod operators;
pub mod order;
pub mod outcomes;
pub mod owner;
pub mod peers;
pub mod piece;
pub mod pool;
pub mod query;
pub mod round;
pub mod route_node;
pub mod settings;
pub mod stats;
pub mod stop;
pub mod tickets;
pub mod upstream;
pub mod view;
pub mod watch;
pub mod wire;

pub use streamfold_router::clock;
