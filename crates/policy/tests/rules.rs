//! Property tests of invariants that must hold for any order of events.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use streamfold_model::operator::MemberHealth;
use streamfold_model::{AttemptOutcome, CallerName, ConfigVersion, ExecutionState, Incarnation, IndexVersion};
use streamfold_policy::hedge::{ContinuousHedge, FixedHedge, HedgeRule, TableHedge};
use streamfold_policy::owner::{choose_owners, connection_share};
use streamfold_policy::pin::choose_version;
use streamfold_policy::{
    AdaptiveRules, Admission, AdmissionControl, AdmissionRequest, CallReport, HeldVersions, LatencyHistogram,
    MemberEntry, MemberState, MemberTable, MemberTimes, Moment, QueueSubmission, ServerState, UpstreamQueue, WorkItem,
    WorkReport,
};

fn item(deadline: u64) -> WorkItem {
    let index = "carts".parse().expect("a name");
    WorkItem { index, version: None, deadline: Moment(deadline), avoid: None }
}

fn report(kind: u8) -> CallReport {
    match kind % 4 {
        0 => CallReport::Answered(Duration::from_millis(4)),
        1 => CallReport::Shed,
        2 => CallReport::Failed,
        _ => CallReport::Cancelled(Duration::from_millis(9)),
    }
}

quickcheck! {
    /// No server has more calls in flight than its limit allowed when they started, expired work never starts, a
    /// draining server gets no work, and no work is lost.
    fn the_queue_keeps_concurrency_limits_and_deadlines(events: Vec<(u8, u8)>) -> bool {
        let servers = vec![ServerState::new(2, 4), ServerState::new(2, 4)];
        let mut queue = UpstreamQueue::new(Arc::new(AdaptiveRules::default()), servers);
        let mut rng = SmallRng::seed_from_u64(7);
        let mut running: Vec<usize> = Vec::new();
        let mut submitted = 0;
        let mut started_count = 0;
        for (number, (kind, detail)) in events.into_iter().enumerate() {
            let now = Moment(number as u64 * 1_000);
            let mut started = Vec::new();
            if kind % 3 != 0 || running.is_empty() {
                submitted += 1;
                let deadline = now.0 + u64::from(detail) * 100;
                match queue.submit(now, item(deadline), false, deadline, &mut rng) {
                    QueueSubmission::Started(server, _) => started.push((server, u64::MAX)),
                    QueueSubmission::Leaving(_) => submitted -= 1,
                    _ => {}
                }
            } else {
                let server = running.swap_remove(usize::from(detail) % running.len());
                if kind == 0 {
                    queue.server_mut(1).mark_leaving();
                }
                let resumed = queue.finish(now, server, report(detail), &mut rng);
                started.extend(resumed.into_iter().map(|work| (work.server, work.tag)));
            }
            for (server, deadline) in started {
                let state = &queue.servers()[server];
                if deadline <= now.0 || state.inflight() > state.limit() || state.is_leaving() {
                    return false;
                }
                running.push(server);
                started_count += 1;
            }
        }
        let inflight: u32 = queue.servers().iter().map(ServerState::inflight).sum();
        inflight as usize == running.len() && started_count + queue.waiting() <= submitted
    }

    /// The number of running requests never exceeds the limit, the counts are consistent, and a freed slot goes to
    /// queued work.
    fn admission_keeps_its_limit_and_counts(events: Vec<(u8, u8)>) -> bool {
        let mut admission: AdmissionControl<u8> = AdmissionControl::new(true);
        let callers: [CallerName; 2] = ["greedy", "modest"].map(|name| name.parse().expect("a name"));
        let mut running: Vec<usize> = Vec::new();
        let mut waiting = 0usize;
        for (number, (kind, who)) in events.into_iter().enumerate() {
            let now = Moment(number as u64 * 2_000);
            let who = usize::from(who % 4 == 0);
            if kind % 3 != 0 || running.is_empty() {
                let caller = callers[who].clone();
                let request = AdmissionRequest { caller, rate: 1e6, concurrency: 1_000, deadline: now.plus(Duration::from_secs(9)) };
                match admission.admit(now, &request, who as u8) {
                    Admission::Started => running.push(who),
                    Admission::Waiting(_) => waiting += 1,
                    Admission::Displaced(..) | Admission::Refused(_) => {}
                }
            } else {
                let who = running.swap_remove(usize::from(kind) % running.len());
                let waited = Duration::from_millis(u64::from(kind));
                let work = WorkReport { waited, served: Duration::from_millis(40) };
                for (_, tag) in admission.finish(now, &callers[who], Duration::from_millis(50), work) {
                    running.push(usize::from(tag));
                    waiting -= 1;
                }
                if admission.running() < admission.limit() && admission.waiting() > 0 {
                    return false;
                }
            }
            if admission.running() as usize != running.len() || admission.waiting() != waiting {
                return false;
            }
        }
        true
    }

    /// The pinned version is held by as many servers as possible and never exceeds the cap.
    fn the_pinned_version_is_held_by_the_most_servers(ranges: Vec<(u8, u8)>, cap: u8) -> TestResult {
        let held: Vec<HeldVersions> = ranges.iter().map(|(oldest, span)| HeldVersions {
            oldest: IndexVersion(u64::from(*oldest)),
            newest: IndexVersion(u64::from(*oldest) + u64::from(*span % 8)),
        }).collect();
        let cap = IndexVersion(u64::from(cap));
        let Some(version) = choose_version(&held, cap) else { return TestResult::from_bool(held.is_empty()) };
        let holders = |version: IndexVersion| held.iter().filter(|held| held.oldest <= version && version <= held.newest).count();
        let max_holders = (0..=cap.0).map(|version| holders(IndexVersion(version))).max().unwrap_or(0);
        TestResult::from_bool(version <= cap && holders(version) == max_holders)
    }

    /// The state of a node does not depend on the order in which updates arrive, and a node that left never rejoins
    /// with the same incarnation.
    fn membership_does_not_depend_on_the_order_of_updates(updates: Vec<(u8, u8, u8)>) -> bool {
        let entries: Vec<MemberEntry> =
            updates.iter().map(|(run, beat, state)| entry("other", *run, *beat, *state)).collect();
        let mut forward = table();
        let mut backward = table();
        for entry in &entries {
            forward.learn(Moment(1), entry.clone());
        }
        for entry in entries.iter().rev() {
            backward.learn(Moment(1), entry.clone());
        }
        let node = "other".parse().expect("an id");
        let rank = |table: &MemberTable| table.get(&node).map(|entry| (entry.incarnation, entry.state, entry.beat));
        let newest = entries.iter().map(|entry| entry.incarnation).max();
        let furthest = entries.iter().filter(|entry| Some(entry.incarnation) == newest).map(|entry| entry.state).max();
        rank(&forward) == rank(&backward) && rank(&forward).map(|(_, state, _)| state) == furthest
    }

    /// The loss of a node replaces no other owner.
    fn removing_a_node_keeps_the_other_owners(nodes: BTreeSet<u8>, key: String, gone: u8) -> bool {
        let names: Vec<String> = nodes.iter().map(|number| format!("node-{number}")).collect();
        let remaining: Vec<&str> = names.iter().map(String::as_str).filter(|name| *name != format!("node-{gone}")).collect();
        let before = choose_owners(names.iter().map(String::as_str), &key, 3);
        let after = choose_owners(remaining.iter().copied(), &key, 3);
        before.iter().filter(|name| remaining.contains(*name)).all(|name| after.contains(name))
    }

    /// Shares keep a server's connection limit even if two nodes disagree by one owner.
    fn connection_shares_keep_the_limit_of_a_server(limit: u16, owners: u8) -> TestResult {
        let (limit, owners) = (u32::from(limit), usize::from(owners));
        if (limit as usize) <= owners {
            return TestResult::discard();
        }
        TestResult::from_bool(connection_share(limit, owners) * (owners as u32 + 1) <= limit)
    }

    /// "Not run" is reported only if every attempt certainly did not run.
    fn not_run_is_reported_only_if_no_attempt_may_have_run(kinds: Vec<u8>) -> bool {
        let outcomes = [AttemptOutcome::NotSent, AttemptOutcome::Refused, AttemptOutcome::Answered, AttemptOutcome::Unknown];
        let attempts: Vec<AttemptOutcome> = kinds.iter().map(|kind| outcomes[usize::from(kind % 4)]).collect();
        let certain = attempts.iter().all(|outcome| outcome.is_not_run());
        let together = attempts.into_iter().fold(AttemptOutcome::NotSent, AttemptOutcome::combine);
        (together.execution_state() == ExecutionState::NotRun) == certain
    }

    /// No hedging rule exceeds its budget at any load, and none hedges at full load.
    fn hedging_rules_keep_their_budget_at_any_load(loads: Vec<u8>) -> bool {
        let mut rules: [Box<dyn HedgeRule>; 3] =
            [Box::new(FixedHedge), Box::<TableHedge>::default(), Box::new(ContinuousHedge)];
        loads.iter().map(|load| f64::from(*load) / 128.0).all(|load| {
            let plans = rules.each_mut().map(|rule| rule.plan(load));
            let is_small = plans.iter().flatten().all(|plan| plan.share <= 0.05 && plan.quantile < 1.0);
            is_small && (load < 1.0 || plans.iter().all(Option::is_none))
        })
    }

    /// A quantile is at least as high as the samples it covers, and at most one bucket above them.
    fn a_quantile_covers_its_samples(millis: Vec<u8>) -> TestResult {
        let Some(longest) = millis.iter().max().filter(|longest| **longest > 0) else { return TestResult::discard() };
        let mut histogram = LatencyHistogram::default();
        for sample in &millis {
            histogram.add(Duration::from_millis(u64::from(*sample)));
        }
        let longest = f64::from(*longest);
        let highest = histogram.quantile(1.0).map_or(0.0, |quantile| quantile.as_secs_f64() * 1e3);
        TestResult::from_bool(highest >= longest * 0.999 && highest <= longest * 1.2)
    }
}

fn entry(node: &str, run: u8, beat: u8, state: u8) -> MemberEntry {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    MemberEntry {
        node: node.parse().expect("an id"),
        incarnation: Incarnation(u64::from(run % 3)),
        beat: u64::from(beat),
        domain: "vienna".parse().expect("a name"),
        peer_address: address,
        operator_address: address,
        state: [MemberState::Live, MemberState::Leaving, MemberState::Gone][usize::from(state % 3)],
        config: ConfigVersion(0),
        config_age_ms: 0,
    }
}

fn table() -> MemberTable {
    let times = MemberTimes {
        suspect_after: Duration::from_millis(600),
        dead_after: Duration::from_millis(1_600),
        forget_after: Duration::from_secs(600),
    };
    MemberTable::new(entry("own", 0, 0, 0), times, Moment(0))
}

#[test]
fn a_silent_node_is_suspect_then_dead_until_its_next_heartbeat() {
    let mut table = table();
    let node = "other".parse().expect("an id");
    let at = |millis: u64| Moment(millis * 1_000);
    table.learn(at(0), entry("other", 0, 1, 0));
    // The node itself runs all the time: silence only counts while it listens.
    let mut health_after = |millis: u64| {
        (0..=millis / 100).for_each(|beat| table.update_own(at(beat * 100), |_| {}));
        table.health(at(millis), &node)
    };
    let seen: Vec<MemberHealth> = [100, 700, 1_700].map(&mut health_after).to_vec();
    assert_eq!(seen, [MemberHealth::Live, MemberHealth::Suspect, MemberHealth::Dead]);
    table.learn(at(9_000), entry("other", 0, 2, 0));
    assert_eq!(table.health(at(9_100), &node), MemberHealth::Live);
    table.learn(at(9_200), entry("other", 0, 3, 1));
    table.learn(at(9_300), entry("other", 0, 4, 0));
    assert_eq!(
        table.workers(at(9_400)).count(),
        1,
        "a node that reported it is leaving gets no work in this incarnation"
    );
}

#[test]
fn a_modest_caller_displaces_a_greedy_one() {
    let mut admission: AdmissionControl<&str> = AdmissionControl::new(true);
    let request = |name: &str| AdmissionRequest {
        caller: name.parse().expect("a name"),
        rate: 1e6,
        concurrency: 1_000,
        deadline: Moment(60_000_000),
    };
    let mut refused = 0;
    for _ in 0..200 {
        refused +=
            usize::from(matches!(admission.admit(Moment(1), &request("greedy"), "greedy"), Admission::Refused(_)));
    }
    assert!(refused > 0 && admission.waiting() > 0);
    assert!(matches!(admission.admit(Moment(1), &request("modest"), "modest"), Admission::Displaced(_, "greedy")));
    let caller = "greedy".parse().expect("a name");
    let started = admission.finish(Moment(2), &caller, Duration::from_millis(1), WorkReport::default());
    assert_eq!(started[0].1, "modest", "the caller with the fewest running requests is next");
}
