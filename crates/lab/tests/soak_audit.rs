//! The log of disturbances, which decides how late an answer may be in a soak.

use std::time::{Duration, Instant};

use streamfold_lab::soak_audit::{DisturbanceKind, DisturbanceLog};

/// Guards against answers that are excused for longer than their node was halted: a short pause must not excuse a long
/// wait.
#[test]
fn only_the_time_in_which_a_node_is_halted_excuses_a_late_answer() {
    let now = Instant::now();
    let (sent, ended) = (now, now + Duration::from_secs(10));
    let log = DisturbanceLog::default();
    let halted_for = |kinds: &[DisturbanceKind]| log.disturbed_for(0, kinds, sent, ended).as_secs();
    let halted = [DisturbanceKind::Paused, DisturbanceKind::Down];
    assert_eq!(halted_for(&halted), 0);
    log.start_at(DisturbanceKind::Paused, Some(0), sent + Duration::from_secs(8));
    assert_eq!(halted_for(&halted), 2);
    // Of another kind, at another node and after the end of the request.
    log.start_at(DisturbanceKind::Stopping, Some(0), sent + Duration::from_secs(1));
    log.start_at(DisturbanceKind::Paused, Some(1), sent + Duration::from_secs(1));
    log.start_at(DisturbanceKind::Paused, Some(0), ended + Duration::from_secs(1));
    assert_eq!(halted_for(&halted), 2);
    // Two that overlap count once.
    log.start_at(DisturbanceKind::Down, Some(0), sent + Duration::from_secs(6));
    assert_eq!(halted_for(&halted), 4);
    assert_eq!(halted_for(&[DisturbanceKind::Paused]), 2);
    // One that began before the request was sent counts from then on.
    log.start_at(DisturbanceKind::Paused, None, sent.checked_sub(Duration::from_secs(5)).unwrap_or(sent));
    assert_eq!(halted_for(&halted), 10);
}
