//! Operators start `streamfoldd` and find, signal and stop what they have started. That this program becomes another one,
//! `streamfoldd-node`, must not change what they see.

mod support;

use std::fs::Permissions;
use std::os::unix::fs::{PermissionsExt, symlink};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Command, Stdio};

use insta::assert_snapshot;
use support::{TestDir, read_log, send_signal, settings_text, start_linking};

const LAUNCHER: &str = env!("CARGO_BIN_EXE_streamfoldd");
/// Number of SIGTERM.
const TERMINATION: i32 = 15;

/// Runs a copy of the launcher in `dir`, and returns what it printed about `dir` and how it ended.
fn run_copy(dir: &Path) -> String {
    // Copied by another process: a file that this one has open for writing may be inherited by a process that another test
    // starts, and cannot be executed until that one has closed it.
    assert!(Command::new("cp").arg(LAUNCHER).arg(dir).status().expect("cp").success());
    let output = Command::new(dir.join("streamfoldd")).arg("--version").output().expect("a run");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "");
    let printed = String::from_utf8_lossy(&output.stderr).replace(&*dir.to_string_lossy(), "DIR");
    format!("{printed}{}", output.status)
}

#[test]
fn a_node_has_the_process_id_arguments_and_process_name_that_were_started() {
    let dir = TestDir::make();
    let path = dir.0.join("settings.yaml");
    std::fs::write(&path, settings_text()).expect("a file");
    let mut command = Command::new(LAUNCHER);
    command.arg("--settings").arg(&path).args(["--log", "info"]);
    let mut node = command.stdout(Stdio::piped()).spawn().expect("a node");
    let pid = format!("pid={}", node.id());
    let mut log = read_log(&mut node);
    assert!(log.any(|line| line.contains("event=starting") && line.contains(&pid)), "{:?}", node.wait());
    assert!(log.any(|line| line.contains("event=started")), "{:?}", node.wait());
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", node.id())).expect("its state");
    assert_eq!(read("comm"), "streamfoldd\n");
    assert_eq!(read("cmdline"), format!("{LAUNCHER}\0--settings\0{}\0--log\0info\0", path.display()));
    send_signal(&node, "TERM");
    assert!(node.wait().expect("an end").success());
}

/// A node program of another installation, found by PATH or in the working directory, must not be started.
#[test]
fn the_node_program_is_the_one_beside_the_launcher() {
    let dir = TestDir::make();
    let other = dir.0.join("streamfoldd-node");
    std::fs::write(&other, "#!/bin/sh\necho another program\n").expect("a file");
    std::fs::set_permissions(&other, Permissions::from_mode(0o755)).expect("an executable file");
    let link = dir.0.join("streamfoldd");
    symlink(LAUNCHER, &link).expect("a link");
    let mut command = Command::new(&link);
    let output = command.arg("--version").env("PATH", &dir.0).current_dir(&dir.0).output().expect("a run");
    let expected = format!("Version: {}", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&output.stdout).trim(), expected);
    assert!(output.status.success());
}

/// For example, only one of the two programs was installed.
#[test]
fn a_missing_node_program_is_reported() {
    let dir = TestDir::make();
    assert_snapshot!(run_copy(&dir.0), @r"
    streamfoldd: starting DIR/streamfoldd-node: no such file (os error 002)
    exit status: 127
    ");
}

#[test]
fn a_node_program_that_may_not_be_executed_is_reported() {
    let dir = TestDir::make();
    std::fs::write(dir.0.join("streamfoldd-node"), "").expect("a file");
    assert_snapshot!(run_copy(&dir.0), @r"
    streamfoldd: starting DIR/streamfoldd-node: permission denied (os error 013)
    exit status: 126
    ");
}

#[test]
fn a_node_program_that_the_system_refuses_is_reported() {
    let dir = TestDir::make();
    symlink("streamfoldd-node", dir.0.join("streamfoldd-node")).expect("a link to itself");
    assert_snapshot!(run_copy(&dir.0), @r"
    streamfoldd: starting DIR/streamfoldd-node: refused by the system (os error 040)
    exit status: 126
    ");
}

/// A stop in the first moments ends the process at once: it has accepted nothing that it would have to finish.
#[test]
fn a_termination_before_the_first_line_of_the_program_ends_the_process() {
    let dir = TestDir::make();
    let (mut node, library) = start_linking(&dir, r#"exec env LD_PRELOAD="$2" "$0" --settings "$1" --log info"#);
    send_signal(&node, "TERM");
    drop(library);
    assert_eq!(node.wait().expect("an end").signal(), Some(TERMINATION));
    assert_eq!(read_log(&mut node).count(), 0);
}
