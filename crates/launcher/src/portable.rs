//! The launcher on systems where it has no entry of its own.

use std::env;
use std::io::{Error, ErrorKind};
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};

use crate::{EXIT_NOT_FOUND, EXIT_NOT_STARTED};

/// File name of the node's program.
const NODE_PROGRAM: &str = "streamfoldd-node";

/// Replaces this program by the node's program. Returns the exit code if that fails.
pub fn start_node() -> ExitCode {
    let error = become_node();
    eprintln!("streamfoldd: starting {NODE_PROGRAM}: {error}");
    ExitCode::from(if error.kind() == ErrorKind::NotFound { EXIT_NOT_FOUND } else { EXIT_NOT_STARTED })
}

fn become_node() -> Error {
    let own_path = match env::current_exe() {
        Ok(path) => path,
        Err(error) => return error,
    };
    let mut arguments = env::args_os();
    let own_name = arguments.next().unwrap_or_default();
    Command::new(own_path.with_file_name(NODE_PROGRAM)).arg0(own_name).args(arguments).exec()
}
