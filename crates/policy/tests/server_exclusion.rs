//! Which servers a request may be sent to at all.

use streamfold_model::{AllowedRegions, RegionName};
use streamfold_policy::server_exclusion::{ServerConditions, find_exclusion};

fn region(name: &str) -> RegionName {
    name.parse().expect("a name")
}

#[test]
fn each_bar_keeps_a_server_from_requests() {
    let here = region("here");
    let scopes = [
        ("everywhere", AllowedRegions::from_list(Vec::new())),
        ("here", AllowedRegions::from_list(vec![region("there"), region("here")])),
        ("there", AllowedRegions::from_list(vec![region("there")])),
    ];
    let mut seen = Vec::new();
    for (name, homes) in &scopes {
        for bits in 0..16 {
            let [is_leaving, is_evacuated, is_unreachable, is_cold_limit_reached] =
                [1, 2, 4, 8].map(|bit| bits & bit != 0);
            for region in [None, Some(&here)] {
                let bar = find_exclusion(
                    homes,
                    ServerConditions { is_leaving, is_evacuated, is_unreachable, is_cold_limit_reached, region },
                );
                let bar = bar.map_or("none".to_owned(), |bar| bar.to_string());
                let region = region.map_or("unknown", |_| "here");
                seen.push(format!(
                    "{name}, region {region}, leaving {is_leaving}, evacuated {is_evacuated}, unreachable {is_unreachable}, cold {is_cold_limit_reached}: {bar}"
                ));
            }
        }
    }
    insta::assert_snapshot!(seen.join("\n"));
}
