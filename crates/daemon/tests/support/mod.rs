//! Starts real nodes for the tests of how a node starts.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A temporary directory that is removed when it is dropped.
pub struct TestDir(pub PathBuf);

impl TestDir {
    pub fn make() -> Self {
        let dir = std::env::temp_dir().join(format!("streamfold-early-{:016x}", rand::random::<u64>()));
        std::fs::create_dir(&dir).expect("a folder");
        Self(dir)
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        // Leftovers are in the system's directory for temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Sends a signal such as `HUP` to a node.
pub fn send_signal(node: &Child, name: &str) {
    let sent = Command::new("kill").arg(format!("-{name}")).arg(node.id().to_string()).status();
    assert!(sent.expect("kill").success());
}

/// Settings of a node on a random loopback address, where no store listens.
pub fn settings_text() -> String {
    let (second, fourth): (u8, u8) = (rand::random(), rand::random_range(1..=254));
    let address = format!("127.{second}.8.{fourth}");
    format!(
        "serve: routes\nnode: own\nfailure_domain: zone-a\ncallers: {address}:9201\nready: {address}:9202\n\
         peers: {address}:9203\nmetrics: {address}:9204\nplatform: {address}:9205\ngrace: 6s\n\
         extra_calls: {{ratio: 0.1, window: 10s, allowance: 1}}\n"
    )
}

/// Makes a named pipe.
pub fn make_pipe(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo").success());
}

/// Opens a named pipe for writing, once another process opens it for reading.
pub fn wait_for_reader(path: &Path) -> std::fs::File {
    std::fs::File::options().write(true).open(path).expect("a pipe")
}

/// The lines of a node's log.
pub fn read_log(node: &mut Child) -> impl Iterator<Item = String> + use<> {
    BufReader::new(node.stdout.take().expect("its log")).lines().map_while(Result::ok)
}

/// Runs a shell script that starts a node, and returns once the dynamic linker loads the node's program, before any code
/// of that program runs. The script gets the program, the settings and, for LD_PRELOAD, a named pipe: the linker opens it
/// and waits until its writer is dropped, and ignores a library without content.
pub fn start_linking(dir: &TestDir, script: &str) -> (Child, std::fs::File) {
    let (settings, library) = (dir.0.join("settings.yaml"), dir.0.join("library"));
    std::fs::write(&settings, settings_text()).expect("a file");
    make_pipe(&library);
    let mut command = Command::new("sh");
    command.args(["-c", script, env!("CARGO_BIN_EXE_streamfoldd")]).arg(&settings).arg(&library);
    let node = command.stdout(Stdio::piped()).spawn().expect("a node");
    (node, wait_for_reader(&library))
}
