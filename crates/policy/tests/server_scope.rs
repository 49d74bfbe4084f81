//! Which servers a request may be sent to at all.

use streamfold_model::{HomeRegions, RegionName};
use streamfold_policy::server_scope::{ServerStanding, find_bar};

fn region(name: &str) -> RegionName {
    name.parse().expect("a name")
}

#[test]
fn each_bar_keeps_a_server_from_requests() {
    let here = region("here");
    let scopes = [
        ("everywhere", HomeRegions::listed(Vec::new())),
        ("here", HomeRegions::listed(vec![region("there"), region("here")])),
        ("there", HomeRegions::listed(vec![region("there")])),
    ];
    let mut seen = Vec::new();
    for (name, homes) in &scopes {
        for (is_leaving, is_evacuated) in [(false, false), (true, false), (false, true), (true, true)] {
            for region in [None, Some(&here)] {
                let bar = find_bar(homes, ServerStanding { is_leaving, is_evacuated, region });
                let bar = bar.map_or("none".to_owned(), |bar| bar.to_string());
                seen.push(format!(
                    "{name}, region {}, leaving {is_leaving}, evacuated {is_evacuated}: {bar}",
                    region.map_or("unknown", |_| "here")
                ));
            }
        }
    }
    insta::assert_snapshot!(seen.join("\n"));
}
