//! Detection of services with few healthy servers, and the reported changes.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use streamfold_model::ServiceName;
use streamfold_policy::shard_health::{ServiceHealth, ShortageChange, ShortageList};

fn names(names: &[&str]) -> BTreeSet<ServiceName> {
    names.iter().map(|name| name.parse().expect("a name")).collect()
}

fn health(servers: usize, good: usize) -> ServiceHealth {
    ServiceHealth { servers, good }
}

#[test]
fn a_service_is_short_with_at_most_one_healthy_server_of_more() {
    let short: Vec<String> = (0..=4)
        .flat_map(|servers| (0..=servers).map(move |good| health(servers, good)))
        .filter(|health| health.is_short())
        .map(|health| format!("{} of {}", health.good, health.servers))
        .collect();
    insta::assert_snapshot!(short.join(", "), @"0 of 1, 0 of 2, 1 of 2, 0 of 3, 1 of 3, 0 of 4, 1 of 4");
}

#[test]
fn changes_are_reported_once_with_a_limited_number_of_names() {
    let mut list = ShortageList::default();
    let many: BTreeSet<ServiceName> = (0..9).map(|number| format!("shard-{number}").parse().expect("a name")).collect();
    let change = list.replace(many.clone());
    assert_eq!((change.began.0, change.began.1.len(), change.ended.0, list.count()), (9, 5, 0, 9));
    assert_eq!(list.replace(many), ShortageChange::default());
    let change = list.replace(names(&["shard-1", "other"]));
    assert_eq!(change.began, (1, names(&["other"]).into_iter().collect()));
    assert_eq!((change.ended.0, change.ended.1.len(), list.count()), (8, 5, 2));
}

quickcheck! {
    /// The reported changes always account for the difference between consecutive lists.
    fn changes_add_up(steps: Vec<Vec<u8>>) -> bool {
        let mut list = ShortageList::default();
        steps.into_iter().all(|step| {
            let before = list.count();
            let short = step.iter().map(|number| format!("shard-{number}").parse().expect("a name")).collect();
            let change = list.replace(short);
            before + change.began.0 - change.ended.0 == list.count()
        })
    }
}
