//! Requests refused on arrival could not have been answered in time, and no single report causes a refusal.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use streamfold_model::Priority;
use streamfold_policy::Moment;
use streamfold_policy::entry_gate::{AdmitAll, EntryDecision, EntryGate, EntryRequest, EntryRule};
use streamfold_policy::finish_estimate::{FinishEstimator, ServerEstimate, ShardEstimate, estimate_answers};
use streamfold_policy::replica::{CallSample, ReplicaState};

/// Service time of a call at a server of normal speed.
const WORK: Duration = Duration::from_millis(20);
/// How long servers stay slow: longer than a replay, so that their reports hardly decay.
const SLOW_PERIOD: Duration = Duration::from_secs(60);
const TARGET: Duration = Duration::from_millis(100);
const SLOTS: u32 = 2;
const COPIES: usize = 3;
/// Slowdown factor of a slow server.
const SLOWDOWN: f64 = 8.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A simulated server, and its state as one node believes it to be.
struct ModelServer {
    pace: f64,
    /// When each of its slots becomes free.
    free: [Moment; SLOTS as usize],
    belief: ReplicaState,
    /// Calls without a received answer: when each began and when it ends.
    open: Vec<(Moment, Moment)>,
}

impl ModelServer {
    fn new(pace: f64) -> Self {
        let belief = ReplicaState::new(SLOTS, Moment::default());
        Self { pace, free: [Moment::default(); SLOTS as usize], belief, open: Vec::new() }
    }

    /// When a call that arrives now would be answered.
    fn finish(&self, now: Moment) -> Moment {
        let free = self.free.into_iter().min().expect("a slot");
        free.max(now).plus(WORK.mul_f64(self.pace))
    }

    fn call(&mut self, now: Moment) -> Moment {
        let end = self.finish(now);
        let slot = self.free.iter_mut().min().expect("a slot");
        *slot = end;
        self.belief.start(now);
        self.open.push((now, end));
        end
    }

    /// Processes the answers received by now, with the pace and load that each reports.
    fn learn(&mut self, now: Moment) {
        let (ended, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.open).into_iter().partition(|(_, end)| *end <= now);
        self.open = open;
        for (started, end) in ended {
            self.belief.finish(end, started, CallSample::Answered);
            self.belief.record_reported_pace(end, self.pace);
            let left = self.open.iter().filter(|(started, _)| *started <= end).count() as u32;
            self.belief.record_load(end, left.min(SLOTS), left.saturating_sub(SLOTS));
        }
    }
}

/// Simulated shards with some servers each, and one node that queries them.
struct Model {
    shards: Vec<Vec<ModelServer>>,
    needed: usize,
    left: Duration,
}

/// Counts of request outcomes in a replay.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    admitted: usize,
    in_time: usize,
    refused: usize,
    /// Refused although they could have been answered in time.
    wrongly: usize,
}

impl Model {
    fn new(shards: usize, needed: usize, left: Duration, pace: impl Fn(usize, usize) -> f64) -> Self {
        let servers = |shard| (0..COPIES).map(|copy| ModelServer::new(pace(shard, copy))).collect();
        Self { shards: (0..shards).map(servers).collect(), needed, left }
    }

    /// When enough shards would have answered if each is queried at its fastest server.
    fn true_finish(&self, now: Moment) -> Moment {
        let best = |shard: &Vec<ModelServer>| shard.iter().map(|server| server.finish(now)).min().expect("a server");
        let mut finishes: Vec<Moment> = self.shards.iter().map(best).collect();
        finishes.sort_unstable();
        finishes[self.needed - 1]
    }

    fn expected(&self, now: Moment) -> Option<Duration> {
        let outlook = |shard: &Vec<ModelServer>| {
            ShardEstimate::of(
                shard.iter().map(|server| server.belief.estimate_finish(now, WORK, SLOW_PERIOD)),
                self.left,
            )
        };
        estimate_answers(&self.shards.iter().map(outlook).collect::<Vec<_>>(), self.needed)
    }

    fn request(&mut self, now: Moment, gate: &mut dyn EntryRule, tally: &mut Tally) {
        self.shards.iter_mut().flatten().for_each(|server| server.learn(now));
        let expected = self.expected(now);
        let request = EntryRequest { priority: Priority(1), target: TARGET, left: self.left, expected, waited: ms(0) };
        let could = self.true_finish(now) <= now.plus(self.left);
        if gate.decide(now, &request) != EntryDecision::Admit {
            tally.refused += 1;
            tally.wrongly += usize::from(could);
            return;
        }
        let mut ends: Vec<Moment> = Vec::new();
        for shard in &mut self.shards {
            let cost = |server: &ModelServer| {
                server.belief.cost(now, streamfold_policy::replica::Distance::Domain, WORK, SLOW_PERIOD)
            };
            let best = shard.iter_mut().min_by(|a, b| cost(a).total_cmp(&cost(b))).expect("a server");
            ends.push(best.call(now));
        }
        ends.sort_unstable();
        tally.admitted += 1;
        tally.in_time += usize::from(ends[self.needed - 1] <= now.plus(self.left));
    }

    fn replay(&mut self, gate: &mut dyn EntryRule, requests: usize, every: Duration) -> Tally {
        let mut tally = Tally::default();
        let mut now = Moment::default().plus(ms(1_000));
        for _ in 0..requests {
            self.request(now, gate, &mut tally);
            now = now.plus(every);
        }
        tally
    }
}

#[test]
fn a_third_of_the_servers_slow_refuses_nothing_while_each_shard_has_others() {
    let mut model = Model::new(30, 28, ms(150), |_, copy| if copy == 0 { SLOWDOWN } else { 1.0 });
    let tally = model.replay(&mut EntryGate::default(), 400, ms(12));
    assert_eq!((tally.refused, tally.admitted), (0, 400));
}

#[test]
fn requests_that_cannot_finish_in_time_for_lack_of_a_fast_server_are_refused() {
    let slow = |shard: usize, _| if shard.is_multiple_of(3) { SLOWDOWN } else { 1.0 };
    // 160 ms of work do not fit into a deadline of 150 ms.
    let with = Model::new(30, 28, ms(150), slow).replay(&mut EntryGate::default(), 400, ms(12));
    let without = Model::new(30, 28, ms(150), slow).replay(&mut AdmitAll, 400, ms(12));
    insta::assert_snapshot!(format!("with: {with:?}\nwithout: {without:?}"));
    assert_eq!((with.wrongly, with.in_time), (0, without.in_time));
    assert!(with.refused > 0 && without.refused == 0, "{with:?} {without:?}");
}

#[test]
fn the_same_servers_refuse_nothing_where_the_deadline_or_the_coverage_allows_for_them() {
    let slow = |shard: usize, _| if shard.is_multiple_of(3) { SLOWDOWN } else { 1.0 };
    for (needed, left) in [(28, ms(4_000)), (20, ms(150))] {
        let tally = Model::new(30, needed, left, slow).replay(&mut EntryGate::default(), 400, ms(200));
        assert_eq!((tally.refused, tally.in_time), (0, 400), "{needed} {left:?}");
    }
}

#[test]
fn shards_of_a_new_layout_are_unknown_and_refuse_nothing() {
    let mut gate = EntryGate::default();
    let before = Model::new(30, 28, ms(150), |_, _| SLOWDOWN).replay(&mut gate, 200, ms(2));
    assert!(before.refused > 0, "{before:?}");
    let mut model = Model::new(40, 38, ms(150), |_, _| 1.0);
    let after = model.replay(&mut gate, 200, ms(12));
    assert_eq!((after.refused, after.in_time), (0, 200));
}

#[test]
fn a_silent_server_counts_while_it_is_avoided_and_is_tried_again_afterwards() {
    let mut belief = ReplicaState::new(SLOTS, Moment::default());
    let mut now = Moment::default().plus(ms(1_000));
    let mut observed = Vec::new();
    for _ in 0..4 {
        belief.start(now);
        let started = now;
        now = now.plus(ms(60));
        belief.note_overdue(now, started);
        belief.finish(now, started, CallSample::Abandoned);
        let outlook = belief.estimate_finish(now, WORK, SLOW_PERIOD);
        observed.push(format!("{:?} reports {}", outlook.finish, outlook.observations));
        now = now.plus(outlook.finish);
        assert_eq!(belief.estimate_finish(now, WORK, SLOW_PERIOD), ServerEstimate::UNKNOWN);
    }
    insta::assert_snapshot!(observed.join("\n"));
}

#[test]
fn calls_that_failed_count_only_where_the_server_fell_silent() {
    let now = Moment::default().plus(ms(1_000));
    let mut belief = ReplicaState::new(SLOTS, Moment::default());
    for _ in 0..5 {
        belief.start(now);
        belief.finish(now, now, CallSample::Failed);
    }
    assert!(belief.is_avoided(now));
    assert_eq!(belief.estimate_finish(now, WORK, SLOW_PERIOD), ServerEstimate::UNKNOWN);
    let later = now.plus(ms(3_000));
    belief.note_overdue(later, later);
    let later = later.plus(ms(600));
    belief.finish(later, later, CallSample::Failed);
    assert_eq!(belief.estimate_finish(later, WORK, SLOW_PERIOD), ServerEstimate { finish: ms(2_000), observations: 7 });
    belief.finish(later, later, CallSample::Answered);
    assert_eq!(belief.estimate_finish(later, WORK, SLOW_PERIOD), ServerEstimate::UNKNOWN);
}

#[test]
fn the_reported_wait_is_the_time_after_which_the_target_can_be_met() {
    let request =
        EntryRequest { priority: Priority(0), target: TARGET, left: ms(500), expected: Some(ms(900)), waited: ms(0) };
    let now = Moment::default().plus(ms(1_000));
    let EntryDecision::CannotFinish { wait } = EntryGate::default().decide(now, &request) else {
        panic!("not refused")
    };
    let later = EntryRequest { expected: Some(ms(900) - wait), ..request };
    assert_eq!((wait, EntryGate::default().decide(now, &later)), (ms(800), EntryDecision::Admit));
    assert_eq!(AdmitAll.decide(now, &request), EntryDecision::Admit);
}

/// Estimates from small numbers: the finish of each server in tens of milliseconds and its number of observations.
fn estimates(shards: &[Vec<(u8, u8)>]) -> Vec<Vec<ServerEstimate>> {
    let server = |(finish, reports): &(u8, u8)| ServerEstimate {
        finish: ms(u64::from(*finish) * 10 * u64::from(*reports % 4 > 0)),
        observations: u32::from(*reports % 4),
    };
    shards.iter().map(|servers| servers.iter().map(server).collect()).collect()
}

fn cannot_finish(servers: &[Vec<ServerEstimate>], needed: usize, left: Duration) -> bool {
    let shards: Vec<ShardEstimate> =
        servers.iter().map(|shard| ShardEstimate::of(shard.iter().copied(), left)).collect();
    estimate_answers(&shards, needed).is_some_and(|expected| expected > left)
}

quickcheck! {
    /// Leaving out any single report changes no refusal, so one stale or wrong report alone refuses nothing.
    fn no_single_report_refuses(shards: Vec<Vec<(u8, u8)>>, needed: usize, left: u8) -> TestResult {
        let servers = estimates(&shards);
        if servers.is_empty() {
            return TestResult::discard();
        }
        let (needed, left) = (needed % servers.len() + 1, ms(u64::from(left) * 10));
        if !cannot_finish(&servers, needed, left) {
            return TestResult::discard();
        }
        let mut holds = true;
        for shard in 0..servers.len() {
            for server in 0..servers[shard].len() {
                let mut others = servers.clone();
                let known = others[shard][server];
                others[shard][server] = match known.observations {
                    0 | 1 => ServerEstimate::UNKNOWN,
                    reports => ServerEstimate { observations: reports - 1, ..known },
                };
                let shards: Vec<ShardEstimate> =
                    others.iter().map(|shard| ShardEstimate::of(shard.iter().copied(), left)).collect();
                let mut finishes: Vec<Duration> = shards.iter().filter_map(|shard| shard.finish).collect();
                finishes.sort_unstable();
                holds &= finishes.get(needed - 1).is_some_and(|finish| *finish > left);
            }
        }
        TestResult::from_bool(holds)
    }

    /// If servers report the truth, a refused request could not have been answered within its deadline.
    fn refused_requests_could_not_be_answered_in_time(paces: Vec<u8>, needed: usize, left: u8, every: u8) -> TestResult {
        if paces.is_empty() {
            return TestResult::discard();
        }
        let pace = |shard: usize, copy: usize| 1.0 + f64::from(paces[(shard * COPIES + copy) % paces.len()] % 16);
        let needed = needed % 12 + 1;
        let mut model = Model::new(12, needed, ms(20 + u64::from(left)), pace);
        let tally = model.replay(&mut EntryGate::default(), 60, ms(1 + u64::from(every)));
        TestResult::from_bool(tally.wrongly == 0 && tally.admitted > 0)
    }
}
