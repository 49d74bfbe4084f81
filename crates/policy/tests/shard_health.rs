//! Services with few good servers: what is said of them, and what is kept for the most urgent requests there.

use std::collections::BTreeSet;
use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_model::ServiceName;
use streamfold_policy::Moment;
use streamfold_policy::extra_budget::{ExtraBudget, ExtraLimits};
use streamfold_policy::shard_health::{ServiceStanding, ShortageChange, ShortageList};

fn names(names: &[&str]) -> BTreeSet<ServiceName> {
    names.iter().map(|name| name.parse().expect("a name")).collect()
}

fn standing(servers: usize, good: usize) -> ServiceStanding {
    ServiceStanding { servers, good }
}

#[test]
fn a_service_is_short_while_the_others_are_no_good() {
    let short: Vec<String> = (0..=4)
        .flat_map(|servers| (0..=servers).map(move |good| standing(servers, good)))
        .filter(|standing| standing.is_short())
        .map(|standing| format!("{} of {}", standing.good, standing.servers))
        .collect();
    insta::assert_snapshot!(short.join(", "), @"0 of 1, 0 of 2, 1 of 2, 0 of 3, 1 of 3, 0 of 4, 1 of 4");
}

/// The load: a shard with one good server gets ten requests of each of two ranks a second, and all want second calls.
#[test]
fn second_calls_of_a_short_service_are_left_for_the_most_urgent() {
    let limits = ExtraLimits { ratio: 0.2, window: Duration::from_secs(10), allowance: 2.0 };
    let spend = |standing: ServiceStanding| {
        let mut budget = ExtraBudget::default();
        let mut spent = [0, 0];
        for request in 0..200u64 {
            let now = Moment(request * 50_000);
            budget.note_request(now, &limits, 1.0);
            let is_most_urgent = request % 2 == 0;
            let share = standing.extra_share(is_most_urgent);
            spent[usize::from(!is_most_urgent)] += u32::from(budget.spend(now, &limits.shared(share)));
        }
        format!("{} good: {} urgent, {} others", standing.good, spent[0], spent[1])
    };
    insta::assert_snapshot!([standing(3, 3), standing(3, 1)].map(spend).join("\n"));
}

#[test]
fn what_changes_is_named_once_and_within_bounds() {
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
    /// Whatever the standing, nobody may spend more than the bounds, and the most urgent may spend all of them.
    fn no_share_is_beyond_the_bounds(servers: u8, good: u8, is_most_urgent: bool) -> bool {
        let share = standing(usize::from(servers), usize::from(good)).extra_share(is_most_urgent);
        (0.0..=1.0).contains(&share) && (share == 1.0 || !is_most_urgent)
    }
}
