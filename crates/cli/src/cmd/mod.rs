//! One file for each subcommand.

mod apply;
mod audit;
mod check;
mod diff;
mod order;
mod query;
pub mod status;
