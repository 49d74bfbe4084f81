//! Test lab: simulated servers, a fault-injecting proxy, load generators, experiments and the soak test.
//! It is never linked into the daemon or the command line.

pub mod client;
pub mod crowd;
pub mod demo;
pub mod endless;
pub mod experiments;
pub mod fleet;
pub mod fleet_plan;
pub mod load;
pub mod orders;
pub mod proxy;
pub mod route_checks;
pub mod route_fleet;
pub mod server;
pub mod slopes;
pub mod soak;
pub mod soak_audit;
pub mod soak_callers;
pub mod soak_faults;
pub mod soak_fleet;
pub mod soak_machine;
pub mod soak_paths;
pub mod usage;
pub mod wait;
