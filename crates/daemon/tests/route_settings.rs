//! Settings of a node that serves routes: missing, malformed and out-of-range settings are reported, unknown ones
//! ignored.

use insta::assert_snapshot;
use streamfold_daemon::route_node::parse;
use streamfold_router::settings::SchedulingSettings;

const GOOD: &str = "\
serve: routes
node: vienna-1
failure_domain: vienna
regions: {vienna: east, graz: south}
callers: 127.0.0.1:7100
ready: 127.0.0.1:7101
peers: 127.0.0.1:7102
metrics: 127.0.0.1:7103
platform: 127.0.0.1:7000
seeds: []
first_start: true
grace: 6s
extra_calls: {ratio: 0.2, window: 10s, allowance: 54}
";

fn problems(text: &str) -> String {
    let errors = parse("node.yaml", text).expect_err("problems");
    errors.iter().map(|error| format!("{error}\n")).collect()
}

#[test]
fn valid_settings_are_read_and_unknown_ones_ignored() {
    let settings = parse("node.yaml", &format!("{GOOD}added_later: 3\n")).expect("settings");
    assert_eq!(settings.node.as_str(), "vienna-1");
    assert_eq!(settings.regions.len(), 2);
    assert!(settings.first_start);
}

#[test]
fn missing_and_malformed_settings_are_reported_with_their_line() {
    let without_callers = GOOD.replace("callers: 127.0.0.1:7100\n", "");
    assert_snapshot!(problems(&without_callers));
    assert_snapshot!(problems(&GOOD.replace("127.0.0.1:7101", "somewhere")));
    assert_snapshot!(problems(&GOOD.replace("10s", "soon")));
}

#[test]
fn out_of_range_values_and_duplicate_ports_are_reported_at_once() {
    let wrong = GOOD.replace("ratio: 0.2", "ratio: -1").replace("allowance: 54", "allowance: -2");
    assert_snapshot!(problems(&wrong.replace("127.0.0.1:7103", "127.0.0.1:7100").replace("10s", "0s")));
}

#[test]
fn disabled_mechanisms_are_read_by_name_and_unknown_ones_rejected() {
    let settings = parse("node.yaml", &format!("{GOOD}without: [near_hedges, told_load]\n")).expect("settings");
    let names: Vec<String> = settings.without.iter().map(ToString::to_string).collect();
    assert_eq!(names, ["near_hedges", "told_load"]);
    assert_snapshot!(problems(&format!("{GOOD}without: [near_hedges, tea]\n")));
}

#[test]
fn zero_durations_are_rejected() {
    assert_snapshot!(problems(&format!("{GOOD}gone_after: 0s\nsilence_within: 0s\n")));
}

#[test]
fn scheduling_settings_for_overload_are_read_and_checked() {
    let settings = parse("node.yaml", GOOD).expect("settings");
    assert_eq!((settings.caller_way, settings.scheduling), (None, SchedulingSettings::default()), "off");
    let text = format!("{GOOD}caller_way: 3ms\nscheduling: {{by_priority: true, by_pace: true}}\n");
    let settings = parse("node.yaml", &text).expect("settings");
    let scheduling = SchedulingSettings { by_priority: true, by_team: false, by_pace: true };
    assert_eq!(settings.scheduling, scheduling);
    assert_snapshot!(problems(&format!("{GOOD}caller_way: 2s\n")));
    assert_snapshot!(problems(&format!("{GOOD}scheduling: {{by_luck: true}}\n")));
}

#[test]
fn limits_of_evacuations_and_cold_servers_are_read_and_checked() {
    let settings = parse("node.yaml", GOOD).expect("settings");
    assert_eq!((settings.evacuated_within, settings.cold_calls), (None, None), "a deployment may have neither");
    let bounds = |within: &str, excess: &str| {
        format!("{GOOD}evacuated_within: {within}\ncold_calls: {{excess: {excess}, allowance: 5}}\n")
    };
    let settings = parse("node.yaml", &bounds("5000ms", "1.5")).expect("settings");
    assert_eq!(settings.evacuated_within.map(|span| span.0.as_millis()), Some(5_000));
    assert_eq!(settings.cold_calls.map(|cold| (cold.excess, cold.allowance)), Some((1.5, 5.0)));
    assert_snapshot!(problems(&bounds("0s", "-1")));
}

#[test]
fn the_machine_is_read_and_checked() {
    let text = |memory: &str, files: &str| format!("{GOOD}memory: {memory}\nmax_files: {files}\n");
    let machine = parse("node.yaml", &text("260MB", "4100")).expect("settings").machine();
    assert_eq!((machine.memory, machine.files), (260 << 20, 4_100));
    let machine = parse("node.yaml", &text("0MB", "0")).expect("settings").machine();
    assert!(machine.memory > 0 && machine.files > 0, "what the system reports: {machine:?}");
    assert_snapshot!(problems(&text("1MB", "3")));
    assert_snapshot!(problems(&text("much", "4100")));
}
