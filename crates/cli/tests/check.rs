//! Tests of `streamfold check`, and of the exit codes that need no running node.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread;

use insta::assert_snapshot;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_streamfold")).args(args).output().expect("the command starts")
}

fn example_path(name: &str) -> String {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name).display().to_string()
}

#[test]
fn the_examples_are_valid() {
    for name in ["alpenwasch", "moreton-coast"] {
        let output = run(&["check", &example_path(name)]);
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    }
}

#[test]
fn problems_are_listed_with_file_and_line() {
    let dir = std::env::temp_dir().join(format!("streamfold-check-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("create the directory");
    let file = dir.join("wrong.yaml");
    let text = "callers:\n  depot:\n    token_sha256: 00\n    indexes: [carts]\n    deadline: 1s\n    rate: 5/s\n    concurrency: 1\n";
    std::fs::write(&file, text).expect("write the file");
    let output = run(&["check", &file.display().to_string()]);
    std::fs::remove_dir_all(&dir).expect("remove the directory");
    assert_eq!(output.status.code(), Some(2));
    assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}

#[test]
fn an_unreachable_node_is_reported() {
    let output = run(&["status", "--operators", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}

#[test]
fn shards_that_mean_something_in_a_url_were_cut_off() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let node = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        BufReader::new(stream).lines().next().expect("a request").expect("a line")
    });
    run(&["query", "--callers", &address, "--token", "t", "--shards", "0#,1&x", "carts", "{}"]);
    let line = node.join().expect("a request line");
    assert_eq!(line, "POST /v1/indexes/carts/query?shards=0%23%2C1%26x HTTP/1.1");
}
