//! Owner nodes, batch counts and delegation, depending on the CPU shares of the nodes.

use std::time::Duration;

use streamfold_model::CoreShare;
use streamfold_policy::placement::{OwnerGroup, is_owner};

const TARGET: Duration = Duration::from_millis(100);

fn group(count: usize, cpu_share: u32) -> OwnerGroup {
    OwnerGroup { count, cpu_share: CoreShare(cpu_share) }
}

#[test]
fn nodes_with_half_the_cpu_share_of_the_strongest_are_owners() {
    let strongest = Some(CoreShare(500));
    let owners = [500, 250, 249, 120].map(|power| is_owner(Some(CoreShare(power)), strongest));
    assert_eq!(owners, [true, true, false, false]);
    assert!(!is_owner(None, strongest), "a node without a reported power is no owner beside strong nodes");
    assert!(is_owner(None, None), "all nodes are owners if none reports its power");
}

#[test]
fn shards_are_split_into_batches_when_one_node_takes_too_long() {
    let batches: Vec<String> = [(8, 250), (30, 250), (60, 500), (90, 500), (135, 500), (135, 120)]
        .map(|(shards, power)| {
            let group = group(3, power);
            let long = group.count_batches(shards, TARGET * 3);
            format!("{shards} shards at {}: {} or {long}", group.cpu_share, group.count_batches(shards, TARGET))
        })
        .into();
    insta::assert_snapshot!(batches.join("\n"), @r"
    8 shards at 0.25: 1 or 1
    30 shards at 0.25: 1 or 1
    60 shards at 0.5: 1 or 1
    90 shards at 0.5: 2 or 1
    135 shards at 0.5: 3 or 1
    135 shards at 0.12: 3 or 3
    ");
}

#[test]
fn weak_nodes_delegate_near_shards_and_equally_strong_ones_do_not() {
    let weak = CoreShare(120);
    assert!(group(3, 500).is_delegation_faster(90, TARGET, weak));
    assert!(group(3, 500).is_delegation_faster(18, TARGET, weak));
    assert!(!group(3, 500).is_delegation_faster(2, TARGET, weak), "the batch costs more than the calls");
    assert!(!group(3, 250).is_delegation_faster(20, TARGET, CoreShare(250)));
    assert!(!group(0, 500).is_delegation_faster(90, TARGET, weak), "there is no owner to delegate to");
}
