//! Checks which conditions exclude a server from requests.

use streamfold_model::{AllowedRegions, RegionName};
use streamfold_policy::server_exclusion::{ServerConditions, find_exclusion};

fn region(name: &str) -> RegionName {
    name.parse().expect("a name")
}

#[test]
fn each_condition_excludes_a_server() {
    let here = region("here");
    let scopes = [
        ("everywhere", AllowedRegions::from_list(Vec::new())),
        ("here", AllowedRegions::from_list(vec![region("there"), region("here")])),
        ("there", AllowedRegions::from_list(vec![region("there")])),
    ];
    let mut lines = Vec::new();
    for (name, allowed_regions) in &scopes {
        for bits in 0..16 {
            let [is_leaving, is_evacuated, is_unreachable, is_cold_limit_reached] =
                [1, 2, 4, 8].map(|bit| bits & bit != 0);
            for region in [None, Some(&here)] {
                let exclusion = find_exclusion(
                    allowed_regions,
                    ServerConditions { is_leaving, is_evacuated, is_unreachable, is_cold_limit_reached, region },
                );
                let exclusion = exclusion.map_or("none".to_owned(), |exclusion| exclusion.to_string());
                let region = region.map_or("unknown", |_| "here");
                lines.push(format!(
                    "{name}, region {region}, leaving {is_leaving}, evacuated {is_evacuated}, unreachable {is_unreachable}, cold {is_cold_limit_reached}: {exclusion}"
                ));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
