//! What experiments share: one fleet under one load, as figures.

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
    /// What the load saw.
    #[serde(flatten)]
    pub report: LoadReport,
    /// Calls to servers beyond one for each upstream and query, as a share.
    pub extra_load: f64,
}

/// Three failure domains with two nodes each, as the users have, over so many upstreams.
pub fn three_domains(upstreams: usize, policy: PolicyChoice) -> FleetPlan {
    let share = |number: usize| upstreams / 3 + usize::from(number < upstreams % 3);
    let names = ["vienna", "tyrol", "salzburg"];
    let domains = names.iter().enumerate();
    let domains = domains.map(|(number, name)| DomainPlan { name, nodes: 2, upstreams: share(number) });
    FleetPlan { domains: domains.collect(), policy, ..FleetPlan::default() }
}

/// One of the two users' fleets: three regions with a failure domain each.
#[derive(Debug, Clone, Copy)]
pub struct UserFleet {
    /// What its callers weigh most.
    pub prefer: &'static str,
    /// When `latency` callers take less than the whole.
    pub prefer_within: Option<&'static str>,
    /// One-way delay between regions.
    pub delay: Duration,
}

/// Alpenwasch: tail latency first.
pub const ALPENWASCH: UserFleet =
    UserFleet { prefer: "latency", prefer_within: Some("60ms"), delay: Duration::from_millis(8) };
/// Moreton Coast: coverage first.
pub const MORETON_COAST: UserFleet =
    UserFleet { prefer: "coverage", prefer_within: None, delay: Duration::from_millis(12) };

impl UserFleet {
    /// Shapes a plan like this user's fleet; its nodes then stand behind proxies.
    pub fn configure(&self, plan: &mut FleetPlan) {
        plan.prefer = self.prefer;
        plan.prefer_within = self.prefer_within;
        plan.has_proxies = true;
    }

    /// Puts the delay between regions on the links between nodes of different ones. A link
    /// within a region is told apart by its proxy no more than by its node, so links within a
    /// region are delayed too; that makes the fleet slower than the user's, never faster.
    pub fn set_delay(&self, fleet: &Fleet) {
        for proxy in fleet.nodes.iter().filter_map(|node| node.proxy.as_ref()) {
            proxy.faults.delay_us.store(self.delay.as_micros() as u64, Ordering::Relaxed);
        }
    }
}

/// A load on all nodes of a fleet.
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

/// Runs a load and adds what the servers saw of it.
pub async fn measure(fleet: &Fleet, plan: &LoadPlan) -> TrialFigures {
    let before = fleet.server_calls();
    let report = load::run(&fleet.client, plan).await;
    let calls = fleet.server_calls() - before;
    let sent = report.requests - report.refused;
    let ideal = sent as f64 * fleet.servers.len() as f64;
    TrialFigures { extra_load: if ideal > 0.0 { calls as f64 / ideal - 1.0 } else { 0.0 }, report }
}

/// A fleet, warmed up by a short load so that latencies are known.
///
/// # Errors
/// It did not come up.
pub async fn start_warm(plan: FleetPlan, rate: f64) -> Result<Fleet, FleetError> {
    const WARM_UP: Duration = Duration::from_secs(2);
    let fleet = Fleet::start(plan).await?;
    load::run(&fleet.client, &load_on(&fleet, rate, WARM_UP)).await;
    Ok(fleet)
}
