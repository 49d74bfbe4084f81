//! The subcommands, one module each.

mod apply;
mod audit;
mod check;
mod diff;
mod order;
mod query;
pub mod status;
