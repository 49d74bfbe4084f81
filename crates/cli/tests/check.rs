//! `streamfold check` and the exit codes that need no node.

use std::path::PathBuf;
use std::process::{Command, Output};

use insta::assert_snapshot;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_streamfold")).args(args).output().expect("a run")
}

fn example(name: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name).display().to_string()
}

#[test]
fn the_examples_are_valid() {
    for name in ["alpenwasch", "moreton-coast"] {
        let output = run(&["check", &example(name)]);
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    }
}

#[test]
fn problems_are_listed_with_file_and_line() {
    let folder = std::env::temp_dir().join(format!("streamfold-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("wrong.yaml");
    let text = "callers:\n  depot:\n    token_sha256: 00\n    indexes: [carts]\n    deadline: 1s\n    rate: 5/s\n    concurrency: 1\n";
    std::fs::write(&file, text).expect("a file");
    let output = run(&["check", &file.display().to_string()]);
    std::fs::remove_dir_all(&folder).expect("cleaning up");
    assert_eq!(output.status.code(), Some(2));
    assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}

#[test]
fn a_node_that_cannot_be_reached_is_told_so() {
    let output = run(&["status", "--operators", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}
