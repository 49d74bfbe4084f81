//! Settings of a node that serves indexes: every problem is reported at once, with file and line, also by `--check`.

use std::process::Command;

use insta::assert_snapshot;
use streamfold_daemon::settings::{DaemonArgs, parse};

const WRONG: &str = "\
node: vienna-1
failure_domain: vienna
callers: 127.0.0.1:7100
operators: 127.0.0.1:7100
owners: 0
heartbeat: 1ms
claim_rate: 5000
";

fn problems(text: &str) -> String {
    let errors = parse("node.yaml", text, &DaemonArgs::default()).expect_err("problems");
    errors.iter().map(|error| format!("{error}\n")).collect()
}

#[test]
fn all_problems_are_reported_at_once() {
    assert_snapshot!(problems(WRONG));
}

#[test]
fn syntax_errors_have_their_line() {
    assert_snapshot!(problems("node: vienna-1\nfailure_domain: [\n"));
    assert_snapshot!(problems("node: vienna-1\ncolour: red\n"));
    assert_snapshot!(problems("node: Vienna!\n"));
}

#[test]
fn flags_override_the_file() {
    let args = DaemonArgs { node: Some("tyrol-2".parse().expect("an id")), ..DaemonArgs::default() };
    let text = "node: a\nfailure_domain: tyrol\ncallers: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
                peers: 127.0.0.1:0\nplatform: 127.0.0.1:7000\n";
    let settings = parse("node.yaml", text, &args).expect("settings");
    assert_eq!(settings.node.as_str(), "tyrol-2");
}

#[test]
fn the_check_flag_exits_with_2_on_invalid_settings() {
    let output = Command::new(env!("CARGO_BIN_EXE_streamfoldd")).arg("--check").output().expect("a run");
    assert_eq!(output.status.code(), Some(2));
    assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}

#[test]
fn the_machine_is_read_and_checked() {
    let text = "node: a\nfailure_domain: tyrol\ncallers: 127.0.0.1:0\noperators: 127.0.0.1:0\n\
                peers: 127.0.0.1:0\nplatform: 127.0.0.1:7000\n";
    let machine = parse("node.yaml", &format!("{text}memory: 100MB\nmax_files: 256\n"), &DaemonArgs::default());
    let machine = machine.expect("settings").machine;
    assert_eq!((machine.memory, machine.files), (100 << 20, 256));
    assert_snapshot!(problems(&format!("{text}memory: 1MB\nmax_files: 3\n")));
}
