//! The arguments of the command line and of its subcommands. The `///` comments are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use streamfold_model::{ChangeId, ConfigVersion, IndexName, TimeSpan};

/// Drive and query a streamfold query tier.
///
/// Exit codes: 0 done; 1 failed, nothing ran or changed; 2 bad input; 3 another change won;
/// 4 the outcome is unknown; 5 done, but only in part.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(command_line), version)]
pub enum Command {
    /// Check configuration files as one whole and list every problem with file and line.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Show how configuration files differ from what is in force.
    #[bpaf(command)]
    Diff(#[bpaf(external(diff))] Diff),
    /// Put configuration files in force as one whole.
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Show nodes, configurations and servers by failure domain.
    #[bpaf(command)]
    Status(#[bpaf(external(status))] Status),
    /// List who changed the configuration, when and why, or print an old version.
    #[bpaf(command)]
    Audit(#[bpaf(external(audit))] Audit),
    /// Query an index and show what the answer covers.
    #[bpaf(command)]
    Query(#[bpaf(external(query))] Query),
    /// Send an order, which runs at most once.
    #[bpaf(command)]
    Order(#[bpaf(external(order))] Order),
}

/// Arguments of `check`.
#[derive(Debug, Clone, Bpaf)]
pub struct Check {
    /// Print problems as JSON.
    pub json: bool,
    /// Configuration files, or folders of .yaml files.
    #[bpaf(positional("FILE"), some("name at least one file"))]
    pub files: Vec<PathBuf>,
}

/// Arguments of `diff`.
#[derive(Debug, Clone, Bpaf)]
pub struct Diff {
    /// A node's operators' port.
    #[bpaf(env("STREAMFOLD_OPERATORS"), argument("IP:PORT"))]
    pub operators: SocketAddr,
    /// Compare with this version instead of the one in force.
    #[bpaf(argument("VERSION"))]
    pub version: Option<ConfigVersion>,
    /// Configuration files, or folders of .yaml files.
    #[bpaf(positional("FILE"), some("name at least one file"))]
    pub files: Vec<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, Clone, Bpaf)]
pub struct Apply {
    /// A node's operators' port.
    #[bpaf(env("STREAMFOLD_OPERATORS"), argument("IP:PORT"))]
    pub operators: SocketAddr,
    /// Who applies it, for the audit trail.
    #[bpaf(env("USER"), argument("NAME"))]
    pub operator: String,
    /// Why, for the audit trail.
    #[bpaf(argument("TEXT"))]
    pub reason: String,
    /// Only if this version is in force.
    #[bpaf(argument("VERSION"))]
    pub expected: Option<ConfigVersion>,
    /// Repeat the change with this id, after an unknown outcome.
    #[bpaf(argument("ID"))]
    pub change: Option<ChangeId>,
    /// Check it at the node and stop there.
    pub dry_run: bool,
    /// Wait until it is in force on every node that can be reached.
    pub wait: bool,
    /// How long to wait, such as 20s.
    #[bpaf(argument("TIME"), fallback(TimeSpan::from_millis(20_000)))]
    pub timeout: TimeSpan,
    /// Print the result as JSON.
    pub json: bool,
    /// Put this old version in force again, as a new change.
    #[bpaf(argument("VERSION"))]
    pub rollback: Option<ConfigVersion>,
    /// Configuration files, or folders of .yaml files.
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Arguments of `status`.
#[derive(Debug, Clone, Bpaf)]
pub struct Status {
    /// A node's operators' port.
    #[bpaf(env("STREAMFOLD_OPERATORS"), argument("IP:PORT"))]
    pub operators: SocketAddr,
    /// List the servers that are not in order, too.
    pub servers: bool,
    /// Print everything as JSON.
    pub json: bool,
}

/// Arguments of `audit`.
#[derive(Debug, Clone, Bpaf)]
pub struct Audit {
    /// A node's operators' port.
    #[bpaf(env("STREAMFOLD_OPERATORS"), argument("IP:PORT"))]
    pub operators: SocketAddr,
    /// How many changes, the newest first.
    #[bpaf(argument("COUNT"), fallback(20))]
    pub limit: u32,
    /// Print the files of this version instead.
    #[bpaf(argument("VERSION"))]
    pub print: Option<ConfigVersion>,
    /// Print as JSON.
    pub json: bool,
}

/// Arguments of `query`.
#[derive(Debug, Clone, Bpaf)]
pub struct Query {
    /// A node's callers' port.
    #[bpaf(env("STREAMFOLD_CALLERS"), argument("IP:PORT"))]
    pub callers: SocketAddr,
    /// The caller's bearer token.
    #[bpaf(env("STREAMFOLD_TOKEN"), argument("TOKEN"))]
    pub token: String,
    /// Only these shards, such as 0-3,7.
    #[bpaf(argument("SHARDS"))]
    pub shards: Option<String>,
    /// How long the answer may take, such as 200ms.
    #[bpaf(argument("TIME"))]
    pub deadline: Option<TimeSpan>,
    /// `latency` or `coverage`.
    #[bpaf(argument("WHAT"))]
    pub prefer: Option<String>,
    /// Print the answer as JSON.
    pub json: bool,
    /// The index.
    #[bpaf(positional("INDEX"))]
    pub index: IndexName,
    /// The query, passed on unread.
    #[bpaf(positional("BODY"))]
    pub body: String,
}

/// Arguments of `order`.
#[derive(Debug, Clone, Bpaf)]
pub struct Order {
    /// A node's callers' port.
    #[bpaf(env("STREAMFOLD_CALLERS"), argument("IP:PORT"))]
    pub callers: SocketAddr,
    /// The caller's bearer token.
    #[bpaf(env("STREAMFOLD_TOKEN"), argument("TOKEN"))]
    pub token: String,
    /// The idempotency key; without one a ticket is fetched and printed first.
    #[bpaf(argument("KEY"))]
    pub key: Option<String>,
    /// How long the answer may take, such as 2s.
    #[bpaf(argument("TIME"))]
    pub deadline: Option<TimeSpan>,
    /// Print the answer as JSON.
    pub json: bool,
    /// The index.
    #[bpaf(positional("INDEX"))]
    pub index: IndexName,
    /// The order, a JSON object with a string "key".
    #[bpaf(positional("BODY"))]
    pub body: String,
}
