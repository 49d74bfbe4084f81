//! Parts that the experiments share: plans of fleets, a warm start, and the measurement of a fleet under a load.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Serialize;
use streamfold_daemon::settings::PolicyChoice;

use crate::fleet::{Fleet, FleetError, INDEX, TOKEN};
use crate::fleet_plan::{DomainPlan, FleetPlan};
use crate::load::{self, DEFAULT_LATENCY_GOAL, LoadPlan, LoadReport};

/// Figures of one fleet under one load.
#[derive(Debug, Clone, Serialize)]
pub struct TrialFigures {
    /// Results of the load.
    #[serde(flatten)]
    pub report: LoadReport,
    /// Calls to servers beyond one for each upstream and admitted query, as a share.
    pub extra_load: f64,
}

/// Plans a fleet with three failure domains of two nodes each, as the users have, and `upstreams` upstreams in all.
pub fn three_domains(upstreams: usize, policy: PolicyChoice) -> FleetPlan {
    let share = |number: usize| upstreams / 3 + usize::from(number < upstreams % 3);
    let names = ["vienna", "tyrol", "salzburg"];
    let domains = names.iter().enumerate();
    let domains = domains.map(|(number, name)| DomainPlan { name, nodes: 2, upstreams: share(number) });
    FleetPlan { domains: domains.collect(), policy, ..FleetPlan::default() }
}

/// Properties of one of the two users' fleets, which have three regions with one failure domain each.
#[derive(Debug, Clone, Copy)]
pub struct UserFleet {
    /// Its callers' preference: `latency` or `coverage`.
    pub prefer: &'static str,
    /// Time after which `latency` callers accept an answer without all shards.
    pub prefer_within: Option<&'static str>,
    /// One-way delay between regions.
    pub delay: Duration,
}

/// Alpenwasch, which prefers low tail latency.
pub const ALPENWASCH: UserFleet =
    UserFleet { prefer: "latency", prefer_within: Some("60ms"), delay: Duration::from_millis(8) };
/// Moreton Coast, which prefers coverage.
pub const MORETON_COAST: UserFleet =
    UserFleet { prefer: "coverage", prefer_within: None, delay: Duration::from_millis(12) };

impl UserFleet {
    /// Gives a plan the properties of this user's fleet, with proxies before the servers and nodes.
    pub fn configure(&self, plan: &mut FleetPlan) {
        plan.prefer = self.prefer;
        plan.prefer_within = self.prefer_within;
        plan.has_proxies = true;
    }

    /// Delays the connections between nodes by the delay between regions. The proxy before a node cannot tell the
    /// connections from its own region apart, so these are delayed too, which makes the fleet slower than the user's,
    /// never faster.
    pub fn set_delay(&self, fleet: &Fleet) {
        for proxy in fleet.nodes.iter().filter_map(|node| node.proxy.as_ref()) {
            proxy.faults.delay_us.store(self.delay.as_micros() as u64, Ordering::Relaxed);
        }
    }
}

/// Plans a load on all nodes of a fleet.
pub fn load_on(fleet: &Fleet, rate: f64, duration: Duration) -> LoadPlan {
    LoadPlan {
        nodes: fleet.caller_addresses(),
        index: INDEX.to_owned(),
        token: TOKEN.to_owned(),
        rate,
        duration,
        headers: Vec::new(),
        latency_goal: DEFAULT_LATENCY_GOAL,
    }
}

/// Runs a load and adds the extra load that the servers received.
pub async fn measure(fleet: &Fleet, plan: &LoadPlan) -> TrialFigures {
    let before = fleet.server_calls();
    let report = load::run(&fleet.client, plan).await;
    let calls = fleet.server_calls() - before;
    let sent = report.requests - report.refused;
    let ideal = sent as f64 * fleet.servers.len() as f64;
    TrialFigures { extra_load: if ideal > 0.0 { calls as f64 / ideal - 1.0 } else { 0.0 }, report }
}

/// Starts a fleet and warms it up by a short load, after which its nodes know latencies.
///
/// # Errors
/// The fleet did not start.
pub async fn start_warm(plan: FleetPlan, rate: f64) -> Result<Fleet, FleetError> {
    const WARM_UP_TIME: Duration = Duration::from_secs(2);
    let fleet = Fleet::start(plan).await?;
    load::run(&fleet.client, &load_on(&fleet, rate, WARM_UP_TIME)).await;
    Ok(fleet)
}
