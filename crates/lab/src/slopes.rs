//! Measures how the costs of a node grow with size and fits a straight line to each series of points.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use streamfold_model::check::check_files;
use streamfold_model::{ConfigVersion, SourceFile};

use crate::experiments::cost;
use crate::fleet::{Fleet, FleetError};
use crate::fleet_plan::{DomainPlan, FleetPlan};

/// How long a fleet idles before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Duration of a measurement of an idle fleet.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Duration of a measurement that counts calls to the store: a watch that waits for changes lasts 20 s.
const STORE_MEASURE_TIME: Duration = Duration::from_secs(24);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// One measured point.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct SlopePoint {
    /// Size on which the cost depends.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// Straight line fitted to measured points.
#[derive(Debug, Clone, Serialize)]
pub struct SlopeFit {
    /// Measured quantity, with its unit.
    pub name: &'static str,
    /// Quantity that the size counts.
    pub by: &'static str,
    /// Measured points.
    pub points: Vec<SlopePoint>,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// The largest distance of a point from the line, as a share of the largest value.
    pub error: f64,
}

/// Fits a straight line by least squares.
fn fit_line(name: &'static str, by: &'static str, points: Vec<SlopePoint>) -> SlopeFit {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let squares: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let products: f64 = points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let slope = products / squares;
    let intercept = mean_value - slope * mean_size;
    let largest = points.iter().map(|point| point.value.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |point: &SlopePoint| (point.value - intercept - slope * point.size).abs() / largest;
    let error = points.iter().map(distance).fold(0.0, f64::max);
    SlopeFit { name, by, points, intercept, slope, error }
}

/// Costs of an idle fleet: an average over its nodes, but all calls to the store.
struct IdleCost {
    cpu_share: f64,
    memory_kb: f64,
    gossip_bytes: f64,
    store_calls: f64,
}

async fn read_metric(fleet: &Fleet, name: &str) -> f64 {
    let mut sum = 0.0;
    for node in fleet.running() {
        let address = node.addresses.operators;
        let answer = fleet.client.call(Method::GET, address, "/metrics", &[], Bytes::new(), CALL_TIMEOUT).await;
        let Ok(answer) = answer else { continue };
        let text = String::from_utf8_lossy(&answer.body);
        let lines = text.lines().filter(|line| line.starts_with(name));
        sum += lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok()).sum::<f64>();
    }
    sum
}

/// Number of calls that the platform's store has received; a watch counts when it starts.
fn store_calls(fleet: &Fleet) -> f64 {
    let calls = &fleet.platform.state.calls;
    [&calls.reads, &calls.writes, &calls.watches].iter().map(|count| count.load(Ordering::Relaxed) as f64).sum()
}

async fn measure_idle(plan: FleetPlan, duration: Duration) -> Result<IdleCost, FleetError> {
    let fleet = Fleet::start(plan).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let pids = cost::pids(&fleet);
    let nodes = pids.len() as f64;
    let (cpu, gossip) = (cost::total_cpu_time(&pids), read_metric(&fleet, "streamfold_gossip_bytes_total").await);
    let calls = store_calls(&fleet);
    let start = Instant::now();
    tokio::time::sleep(duration).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    let costs = IdleCost {
        cpu_share: (cost::total_cpu_time(&pids) - cpu).as_secs_f64() / elapsed_s / nodes,
        memory_kb: cost::resident_memory_kb(&pids).iter().sum::<u64>() as f64 / nodes,
        gossip_bytes: (read_metric(&fleet, "streamfold_gossip_bytes_total").await - gossip) / elapsed_s / nodes,
        store_calls: (store_calls(&fleet) - calls) / elapsed_s,
    };
    fleet.stop().await;
    Ok(costs)
}

fn idle_plan(domains: &[&'static str], nodes: usize, upstreams: usize) -> FleetPlan {
    let domain = |name: &&'static str| DomainPlan { name, nodes, upstreams };
    FleetPlan {
        domains: domains.iter().map(domain).collect(),
        has_processes: true,
        settings: "lame_duck: 100ms\ngrace: 5s\n".to_owned(),
        ..FleetPlan::default()
    }
}

/// Costs of idle fleets, by size.
type IdlePoints = Vec<(f64, IdleCost)>;

fn to_points(points: &IdlePoints, value: fn(&IdleCost) -> f64) -> Vec<SlopePoint> {
    points.iter().map(|(size, cost)| SlopePoint { size: *size, value: value(cost) }).collect()
}

async fn measure_control_plane(fits: &mut Vec<SlopeFit>) -> Result<(), FleetError> {
    let mut points = Vec::new();
    for nodes in [4, 8, 16, 24] {
        points.push((nodes as f64, measure_idle(idle_plan(&["vienna"], nodes, 2), MEASURE_TIME).await?));
    }
    fits.push(fit_line(
        "idle CPU of a node, share of a core",
        "nodes in a domain",
        to_points(&points, |cost| cost.cpu_share),
    ));
    fits.push(fit_line("memory of a node, KB", "nodes in a domain", to_points(&points, |cost| cost.memory_kb)));
    fits.push(fit_line(
        "heartbeat bytes sent by a node a second",
        "nodes in a domain",
        to_points(&points, |cost| cost.gossip_bytes),
    ));
    fits.push(fit_line(
        "store calls of all nodes a second",
        "nodes in a domain",
        to_points(&points, |cost| cost.store_calls),
    ));
    let all = ["vienna", "tyrol", "salzburg", "brisbane", "sunshine", "darling", "linz", "graz"];
    let mut points = Vec::new();
    for domains in [1, 2, 4, 8] {
        points.push((domains as f64, measure_idle(idle_plan(&all[..domains], 2, 1), STORE_MEASURE_TIME).await?));
    }
    fits.push(fit_line(
        "store calls of all nodes a second",
        "domains of 2 nodes",
        to_points(&points, |cost| cost.store_calls),
    ));
    fits.push(fit_line(
        "heartbeat bytes sent by a node a second",
        "domains of 2 nodes",
        to_points(&points, |cost| cost.gossip_bytes),
    ));
    let mut points = Vec::new();
    for upstreams in [8, 16, 32, 64] {
        points.push((upstreams as f64 * 2.0, measure_idle(idle_plan(&["vienna"], 1, upstreams), MEASURE_TIME).await?));
    }
    fits.push(fit_line(
        "idle CPU of a node, share of a core",
        "servers it owns",
        to_points(&points, |cost| cost.cpu_share),
    ));
    fits.push(fit_line("memory of a node, KB", "servers it owns", to_points(&points, |cost| cost.memory_kb)));
    Ok(())
}

async fn measure_data_plane(fits: &mut Vec<SlopeFit>) -> Result<(), FleetError> {
    let mut points = Vec::new();
    for upstreams in [5, 10, 20, 40] {
        let value = cost::cpu_per_query(cost::plan(upstreams, 0, 1)).await?;
        points.push(SlopePoint { size: upstreams as f64, value });
    }
    fits.push(fit_line("CPU of a query at its entry and owner, us", "servers called, one hop", points));
    let mut points = Vec::new();
    for upstreams in [5, 10, 20, 40] {
        let value = cost::cpu_per_query(cost::plan(1, upstreams, 1)).await?;
        points.push(SlopePoint { size: upstreams as f64, value });
    }
    fits.push(fit_line("CPU of a query at its entry and owner, us", "servers called, two hops in one batch", points));
    let mut points = Vec::new();
    for shards in [1, 4, 16, 64] {
        let value = cost::cpu_per_query(cost::plan(10, 0, shards)).await?;
        points.push(SlopePoint { size: shards as f64 * 10.0, value });
    }
    fits.push(fit_line("CPU of a query at its entry and owner, us", "shards on 10 servers", points));
    Ok(())
}

/// Makes a configuration with `upstreams` upstreams of two servers each.
fn make_config(upstreams: usize) -> SourceFile {
    use std::fmt::Write;
    let mut text = String::from("indexes:\n  carts:\n    layouts:\n      - from_version: 1\n        shards:\n");
    // Writing to a String cannot fail.
    for number in 0..upstreams {
        let _ = writeln!(text, "          - {{ids: [{number}, {number}], upstreams: [carts-{number}]}}");
    }
    text.push_str("upstreams:\n");
    for number in 0..upstreams {
        let (high, low) = (number / 250, number % 250);
        let _ = writeln!(
            text,
            "  carts-{number}: {{failure_domain: vienna, slots: 2, connections: 25, servers: [\"10.0.{high}.{low}:80\", \"10.1.{high}.{low}:80\"]}}"
        );
    }
    SourceFile { name: "carts.yaml".to_owned(), text }
}

fn measure_config(fits: &mut Vec<SlopeFit>) {
    let mut times = Vec::new();
    let mut sizes = Vec::new();
    for upstreams in [250, 500, 1_000, 2_000, 4_200] {
        let file = make_config(upstreams);
        let start = Instant::now();
        let is_valid = check_files(ConfigVersion(1), std::slice::from_ref(&file)).is_ok();
        let value = if is_valid { start.elapsed().as_secs_f64() * 1e3 } else { f64::NAN };
        times.push(SlopePoint { size: upstreams as f64 * 2.0, value });
        sizes.push(SlopePoint { size: upstreams as f64 * 2.0, value: file.text.len() as f64 / 1024.0 });
    }
    fits.push(fit_line("time to check a configuration, ms", "servers in it", times));
    fits.push(fit_line("size of a configuration, KB", "servers in it", sizes));
}

/// Measures all cost series.
///
/// # Errors
/// A fleet did not start.
pub async fn run() -> Result<Vec<SlopeFit>, FleetError> {
    let mut fits = Vec::new();
    measure_config(&mut fits);
    measure_data_plane(&mut fits).await?;
    measure_control_plane(&mut fits).await?;
    Ok(fits)
}
