//! A hangup while a node starts. What happened: beside a machine full of other work, a node that had been started 0.2 to 0.9 s
//! before was told to read its settings again and ended by that signal (`Ended node 0 run 2: while it started:
//! ExitStatus(unix_wait_status(1))`, in 2 of 12 soaks beside 32 and 40 busy processes). It took the signal only once its
//! settings were read and checked and its runtime was up, and had got no processor for that long.
//!
//! Here the settings come through a pipe, so the signal reaches the node while it reads them.

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A folder that is removed with the test.
struct TestFolder(PathBuf);

impl TestFolder {
    fn make() -> Self {
        let folder = std::env::temp_dir().join(format!("streamfold-early-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&folder).expect("a folder");
        Self(folder)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        // What is left over is in the folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn send_signal(node: &Child, name: &str) {
    let sent = Command::new("kill").arg(format!("-{name}")).arg(node.id().to_string()).status();
    assert!(sent.expect("kill").success());
}

/// Settings of a node on a loopback address of its own; its store is not there.
fn write_settings() -> String {
    let (second, fourth): (u8, u8) = (rand::random(), rand::random_range(1..=254));
    let address = format!("127.{second}.8.{fourth}");
    format!(
        "serve: routes\nnode: own\nfailure_domain: zone-a\ncallers: {address}:9201\nready: {address}:9202\n\
         peers: {address}:9203\nmetrics: {address}:9204\nplatform: {address}:9205\ngrace: 6s\n\
         extra_calls: {{ratio: 0.1, window: 10s, allowance: 1}}\n"
    )
}

#[test]
fn a_hangup_while_the_settings_are_read_does_not_end_the_node() {
    let folder = TestFolder::make();
    let (path, plain) = (folder.0.join("settings.yaml"), folder.0.join("plain.yaml"));
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
    let settings = write_settings();
    std::fs::write(&plain, &settings).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_streamfoldd"));
    let mut node =
        command.arg("--settings").arg(&path).arg("--log").arg("info").stdout(Stdio::piped()).spawn().expect("a node");
    // This ends when the node begins to read; later reads find the file.
    let mut pipe = std::fs::File::options().write(true).open(&path).expect("a pipe");
    std::fs::rename(&plain, &path).expect("the file in place of the pipe");
    send_signal(&node, "HUP");
    // A node that has ended reads nothing.
    let _ = pipe.write_all(settings.as_bytes());
    drop(pipe);
    let lines = BufReader::new(node.stdout.take().expect("its log")).lines();
    let is_started = lines.map_while(Result::ok).any(|line| line.contains("event=started"));
    assert!(is_started, "{:?}", node.wait());
    send_signal(&node, "TERM");
    let status = node.wait().expect("an end");
    assert!(status.success(), "{status}");
}

/// Guards the whole of the start, also the time before the program's first instruction, where only who starts it can hold the
/// signal: one that ignores it hands that on, and the node takes it again once it runs.
#[test]
fn a_node_that_is_started_with_hangups_ignored_starts_through_them_and_takes_later_ones() {
    let folder = TestFolder::make();
    let path = folder.0.join("settings.yaml");
    std::fs::write(&path, write_settings()).expect("a file");
    let mut command = Command::new("sh");
    let script = r#"trap '' HUP; echo held; exec "$0" --settings "$1" --log info"#;
    command.args(["-c", script, env!("CARGO_BIN_EXE_streamfoldd")]).arg(&path);
    let mut node = command.stdout(Stdio::piped()).spawn().expect("a node");
    let mut lines = BufReader::new(node.stdout.take().expect("its log")).lines().map_while(Result::ok);
    assert_eq!(lines.next().as_deref(), Some("held"));
    let (has_started, started) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        let is_started = lines.by_ref().any(|line| line.contains("event=started"));
        // Nobody waits for it if the test has failed.
        let _ = has_started.send(is_started);
        // The file stays as it is, so nothing but a hangup makes it read again.
        lines.any(|line| line.contains("event=settings_reloaded"))
    });
    while matches!(started.try_recv(), Err(std::sync::mpsc::TryRecvError::Empty)) {
        send_signal(&node, "HUP");
        assert!(node.try_wait().expect("a state").is_none(), "it ended while it started");
    }
    send_signal(&node, "HUP");
    assert!(reader.join().expect("its lines"), "it reads its settings again");
    send_signal(&node, "TERM");
    assert!(node.wait().expect("an end").success());
}
