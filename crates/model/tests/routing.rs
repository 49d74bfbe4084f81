//! Tests which services receive requests of different priorities.

use std::collections::HashSet;
use std::time::Duration;

use streamfold_model::routing::{
    AllowedRegions, CallerLimits, GatherSpec, RouteKind, RouteSpec, RouteTable, RouteTarget,
};
use streamfold_model::team::{TeamDirectory, TeamKeys, TeamSpec};
use streamfold_model::{Priority, TableVersion};

const LIMITS: CallerLimits = CallerLimits {
    header_bytes: 1 << 14,
    body_bytes: 1 << 16,
    header_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(15),
};

fn route(name: &str, priority: u32, shards: &[&str]) -> RouteSpec {
    RouteSpec {
        name: name.parse().expect("a name"),
        host: "shop.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        max_attempts: 3,
        priority: Priority(priority),
        allowed_regions: AllowedRegions::Any,
        is_auth_exempt: false,
        target: RouteTarget::Gather(GatherSpec {
            shards: shards.iter().map(|shard| shard.parse().expect("a name")).collect(),
            top: 10,
            min_coverage: 0.5,
        }),
    }
}

fn table(routes: Vec<RouteSpec>) -> RouteTable {
    RouteTable::build(TableVersion(1), routes, Vec::new(), LIMITS).expect("a table")
}

fn is_mixed(table: &RouteTable) -> bool {
    !table.mixed_priority_services().is_empty()
}

fn teams(priorities: &[Option<u32>]) -> TeamDirectory {
    let team = |(number, priority): (usize, &Option<u32>)| {
        let name = format!("team-{number}").parse().expect("a name");
        let team =
            TeamSpec { name, priority: priority.map(Priority), allowed_regions: AllowedRegions::Any, limit: None };
        TeamKeys { team, keys: Vec::new() }
    };
    TeamDirectory::build(priorities.iter().enumerate().map(team).collect()).expect("teams")
}

#[test]
fn a_service_has_mixed_priorities_only_if_routes_of_different_priority_share_it() {
    assert!(!is_mixed(&table(vec![route("a", 0, &["x", "y"]), route("b", 1, &["z"])])));
    assert!(!is_mixed(&table(vec![route("a", 1, &["x", "y"]), route("b", 1, &["y"])])));
    let table = table(vec![route("a", 0, &["x", "y"]), route("b", 1, &["y"])]);
    assert_eq!(
        table.mixed_priority_services(),
        HashSet::from(["y".parse().expect("a name")]),
        "only the shared service of the route"
    );
}

#[test]
fn priorities_of_teams_replace_those_of_routes() {
    let mixed = || table(vec![route("a", 0, &["x"]), route("b", 1, &["x"])]);
    let uniform = || table(vec![route("a", 1, &["x"])]);
    assert!(!is_mixed(&mixed().with_teams(teams(&[Some(2), Some(2)]))));
    assert!(is_mixed(&mixed().with_teams(teams(&[Some(2), None]))));
    assert!(is_mixed(&uniform().with_teams(teams(&[Some(2), Some(1)]))));
    assert!(!is_mixed(&uniform().with_teams(teams(&[Some(1), None]))));
    let auth_exempt = RouteSpec { is_auth_exempt: true, ..route("a", 1, &["x"]) };
    assert!(is_mixed(&table(vec![auth_exempt]).with_teams(teams(&[Some(2)]))));
}
