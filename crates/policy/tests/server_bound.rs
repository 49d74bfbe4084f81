//! Two nodes that send one request, each by its own view: together they keep the bound.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use streamfold_policy::server_bound::SendPermission;

/// Sends to the servers of `wishes` as far as the rights allow; those sent to.
fn send(rights: &SendPermission<u8>, wishes: &[u8], most: usize) -> BTreeSet<u8> {
    let mut sent = BTreeSet::new();
    for wish in wishes {
        if rights.allow(wish, sent.iter(), most) {
            sent.insert(*wish);
        }
    }
    sent
}

quickcheck! {
    fn both_nodes_together_keep_the_bound(reserved: u8, asked: Vec<u8>, asking: Vec<u8>, most: u8) -> bool {
        let most = usize::from(most % 5);
        let there = send(&SendPermission::Delegated { reserved: Some(reserved) }, &asked, most);
        let here = send(&SendPermission::Reserved(reserved), &asking, most);
        there.union(&here).count() <= most
    }

    fn a_node_alone_uses_the_whole_bound(wishes: Vec<u8>, most: u8) -> bool {
        let most = usize::from(most % 5);
        let distinct: BTreeSet<u8> = wishes.iter().copied().collect();
        send(&SendPermission::Any, &wishes, most).len() == distinct.len().min(most)
    }
}

#[test]
fn the_asked_node_uses_the_whole_bound_where_the_kept_server_is_among_its_own() {
    let rights = SendPermission::Delegated { reserved: Some(1) };
    assert_eq!(send(&rights, &[1, 2, 3], 2), BTreeSet::from([1, 2]));
    assert_eq!(send(&rights, &[2, 3, 1], 2), BTreeSet::from([1, 2]));
    assert_eq!(send(&rights, &[2, 3], 2), BTreeSet::from([2]), "a place is kept");
}
