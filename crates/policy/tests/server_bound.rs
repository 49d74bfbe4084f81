//! Checks that two nodes that send one request, each by its own server list, keep the bound together.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use streamfold_policy::server_bound::SendPermission;

/// Sends to the servers of `candidates` as far as the permission allows. Returns the servers sent to.
fn send(permission: &SendPermission<u8>, candidates: &[u8], max_servers: usize) -> BTreeSet<u8> {
    let mut sent = BTreeSet::new();
    for candidate in candidates {
        if permission.allow(candidate, sent.iter(), max_servers) {
            sent.insert(*candidate);
        }
    }
    sent
}

quickcheck! {
    fn both_nodes_together_keep_the_bound(
        reserved: u8, delegate: Vec<u8>, delegating: Vec<u8>, max_servers: u8
    ) -> bool {
        let max_servers = usize::from(max_servers % 5);
        let by_delegate = send(&SendPermission::Delegated { reserved: Some(reserved) }, &delegate, max_servers);
        let by_delegating = send(&SendPermission::Reserved(reserved), &delegating, max_servers);
        by_delegate.union(&by_delegating).count() <= max_servers
    }

    fn a_node_alone_uses_the_whole_bound(candidates: Vec<u8>, max_servers: u8) -> bool {
        let max_servers = usize::from(max_servers % 5);
        let distinct: BTreeSet<u8> = candidates.iter().copied().collect();
        send(&SendPermission::Any, &candidates, max_servers).len() == distinct.len().min(max_servers)
    }
}

#[test]
fn the_delegate_uses_the_whole_bound_if_the_reserved_server_is_among_its_own() {
    let permission = SendPermission::Delegated { reserved: Some(1) };
    assert_eq!(send(&permission, &[1, 2, 3], 2), BTreeSet::from([1, 2]));
    assert_eq!(send(&permission, &[2, 3, 1], 2), BTreeSet::from([1, 2]));
    assert_eq!(send(&permission, &[2, 3], 2), BTreeSet::from([2]), "one server is set aside for the reserved one");
}
