//! A SIGHUP during the start of a node must not end the node. If the handler is installed only after the settings are
//! read and the async runtime is up, a SIGHUP before that ends the process. On a machine full of other work, nodes that
//! had been started 0.2 to 0.9 s before ended that way (`Ended node 0 run 2: while it started:
//! ExitStatus(unix_wait_status(1))`), in 2 of 12 soak tests beside 32 and 40 busy processes.
//!
//! Here the settings come through a pipe, so the signal reaches the node while it reads them.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use support::{TestDir, make_pipe, read_log, send_signal, settings_text, start_linking, wait_for_reader};

/// How long a test waits for what must come.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The address of a port in the text of the settings.
fn address_of(port: &str, settings: &str) -> SocketAddr {
    let prefix = format!("{port}: ");
    let address = settings.lines().find_map(|line| line.strip_prefix(&prefix)).expect("the port");
    address.parse().expect("an address")
}

#[test]
fn a_hangup_while_the_settings_are_read_does_not_end_the_node() {
    let dir = TestDir::make();
    let (path, plain) = (dir.0.join("settings.yaml"), dir.0.join("plain.yaml"));
    assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
    let settings = settings_text();
    std::fs::write(&plain, &settings).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_streamfoldd"));
    let mut node =
        command.arg("--settings").arg(&path).arg("--log").arg("info").stdout(Stdio::piped()).spawn().expect("a node");
    // Opening the pipe blocks until the node opens it for reading. Later reads find the regular file.
    let mut pipe = std::fs::File::options().write(true).open(&path).expect("a pipe");
    std::fs::rename(&plain, &path).expect("the file in place of the pipe");
    send_signal(&node, "HUP");
    // The write fails if the node has ended.
    let _ = pipe.write_all(settings.as_bytes());
    drop(pipe);
    let lines = BufReader::new(node.stdout.take().expect("its log")).lines();
    let has_started_event = lines.map_while(Result::ok).any(|line| line.contains("event=started"));
    assert!(has_started_event, "{:?}", node.wait());
    send_signal(&node, "TERM");
    let status = node.wait().expect("an end");
    assert!(status.success(), "{status}");
}

/// Covers the whole start, including the time before the program's first instruction, in which only the parent process
/// can keep SIGHUP from ending it: a child inherits an ignored signal. The node handles SIGHUP again once it runs.
#[test]
fn a_node_started_with_sighup_ignored_reloads_its_settings_on_a_later_sighup() {
    let dir = TestDir::make();
    let path = dir.0.join("settings.yaml");
    std::fs::write(&path, settings_text()).expect("a file");
    let mut command = Command::new("sh");
    let script = r#"trap '' HUP; echo held; exec "$0" --settings "$1" --log info"#;
    command.args(["-c", script, env!("CARGO_BIN_EXE_streamfoldd")]).arg(&path);
    let mut node = command.stdout(Stdio::piped()).spawn().expect("a node");
    let mut lines = BufReader::new(node.stdout.take().expect("its log")).lines().map_while(Result::ok);
    assert_eq!(lines.next().as_deref(), Some("held"));
    let (started_sender, started) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        let has_started_event = lines.by_ref().any(|line| line.contains("event=started"));
        // The receiver is gone if the test has failed.
        let _ = started_sender.send(has_started_event);
        // The file does not change, so only a SIGHUP causes a reload.
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

/// Between the start of a process and the first line of its program the default action of SIGHUP applies, which ends it.
/// In soak tests beside load nodes ended this way in the first 50 ms, most of them while the dynamic linker loaded them.
/// Here the signal arrives while the linker waits, so the order of events is certain.
#[test]
fn a_hangup_before_the_first_line_of_the_program_does_not_end_the_node() {
    let dir = TestDir::make();
    let (mut node, library) = start_linking(&dir, r#"exec env LD_PRELOAD="$2" "$0" --settings "$1" --log info"#);
    send_signal(&node, "HUP");
    drop(library);
    let log: Vec<String> = read_log(&mut node).take_while(|line| !line.contains("event=started")).collect();
    send_signal(&node, "TERM");
    let status = node.wait().expect("an end");
    assert!(status.success(), "{status}, after the lines {log:?}");
}

/// The same order of events, but the process that starts the node ignores SIGHUP, which the node inherits.
#[test]
fn a_node_started_with_sighup_ignored_survives_one_before_the_first_line_of_the_program() {
    let dir = TestDir::make();
    let (mut node, library) =
        start_linking(&dir, r#"trap '' HUP; exec env LD_PRELOAD="$2" "$0" --settings "$1" --log info"#);
    send_signal(&node, "HUP");
    drop(library);
    let mut log = read_log(&mut node);
    assert!(log.any(|line| line.contains("event=started")), "{:?}", node.wait());
    send_signal(&node, "TERM");
    assert!(node.wait().expect("an end").success());
}

/// A node that a signal ended early leaves a log that tells whether its program had begun to run.
#[test]
fn a_node_logs_its_start_before_it_reads_its_settings() {
    let dir = TestDir::make();
    let path = dir.0.join("settings.yaml");
    make_pipe(&path);
    let mut command = Command::new(env!("CARGO_BIN_EXE_streamfoldd"));
    let mut node = command.arg("--settings").arg(&path).stdout(Stdio::piped()).spawn().expect("a node");
    let _settings = wait_for_reader(&path);
    send_signal(&node, "KILL");
    let log: Vec<String> = read_log(&mut node).collect();
    let expected = format!("level=info event=starting version={} pid={}", env!("CARGO_PKG_VERSION"), node.id());
    assert!(matches!(log.as_slice(), [line] if line.ends_with(&expected)), "{log:?}");
    node.wait().expect("an end");
}

/// The first line is written by the thread that starts the node. A reader that has stopped must not hold up the start.
#[test]
fn a_node_whose_log_is_full_starts() {
    let dir = TestDir::make();
    let path = dir.0.join("settings.yaml");
    std::fs::write(&path, settings_text()).expect("a file");
    let (unread, mut full) = std::io::pipe().expect("a pipe");
    let size = rustix::pipe::fcntl_getpipe_size(&full).expect("its size");
    full.write_all(&vec![b'\n'; size]).expect("a full pipe");
    let mut command = Command::new(env!("CARGO_BIN_EXE_streamfoldd"));
    let mut node = command.arg("--settings").arg(&path).stdout(full).spawn().expect("a node");
    let ready = address_of("ready", &std::fs::read_to_string(&path).expect("a file"));
    let deadline = Instant::now() + MAX_WAIT;
    while TcpStream::connect(ready).is_err() {
        assert!(Instant::now() < deadline, "it waits for the reader of its log");
        assert!(node.try_wait().expect("a state").is_none(), "it ended while it started");
    }
    drop(unread);
    send_signal(&node, "TERM");
    assert!(node.wait().expect("an end").success());
}
