//! Checks that all nodes together keep the bound on calls to a cold server.

use std::time::Duration;

use quickcheck::quickcheck;
use streamfold_policy::Moment;
use streamfold_policy::cold_limit::{ColdBound, ColdCalls, cold_call_quota};

fn at(millis: u64) -> Moment {
    Moment::default().plus(Duration::from_millis(millis))
}

quickcheck! {
    fn the_quotas_of_all_owners_keep_the_bound(rate: u8, allowance: u8, owners: u8, server: String) -> bool {
        let bound = ColdBound { rate: f64::from(rate) / 4.0, excess: 1.5, allowance: f64::from(allowance) / 8.0 };
        let names: Vec<String> = (0..owners).map(|number| format!("node-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let total: u32 = names.iter().map(|name| cold_call_quota(bound, &names, name, &server)).sum();
        let is_used_up = names.is_empty() || f64::from(total) > bound.total() * 0.8 - 1.0;
        f64::from(total) <= bound.total() && is_used_up && cold_call_quota(bound, &names, "elsewhere", &server) == 0
    }

    /// A node that makes calls at arbitrary times makes no more than its quota in any second.
    fn a_node_keeps_its_quota_in_any_second(pauses: Vec<u8>, quota: u8) -> bool {
        let quota = u32::from(quota % 6);
        let mut calls = ColdCalls::default();
        let mut now = 3_000;
        let mut made = Vec::new();
        for pause in pauses {
            now += u64::from(pause);
            if calls.take(at(now), quota) {
                made.push(now);
            }
        }
        made.iter().all(|end| made.iter().filter(|call| *call <= end && end - *call < 1_000).count() <= quota as usize)
    }
}

#[test]
fn a_node_that_has_just_started_calls_no_cold_server_and_old_calls_leave_the_window() {
    let mut calls = ColdCalls::default();
    assert!(!calls.take(at(2_999), 2));
    let taken: Vec<bool> = [3_000, 3_010, 3_020, 4_099, 4_100, 4_110, 4_120].map(|now| calls.take(at(now), 2)).into();
    insta::assert_debug_snapshot!(taken);
}
