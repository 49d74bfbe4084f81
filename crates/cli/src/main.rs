//! `streamfold`: the command line for operators, which uses the operators' port of any node. `query` and `order` use
//! the callers' port instead.

mod args;
mod client;
mod cmd;
mod error;
mod util;

use std::process::ExitCode;

use crate::args::{Command, command_line};

fn main() -> ExitCode {
    let command = command_line().run();
    match run(command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("streamfold: {error}");
            for problem in error.problems() {
                eprintln!("  {problem}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(command: Command) -> Result<ExitCode, error::CliError> {
    match command {
        Command::Check(command) => command.run(),
        Command::Diff(command) => command.run().await,
        Command::Apply(command) => command.run().await,
        Command::Status(command) => command.run().await,
        Command::Audit(command) => command.run().await,
        Command::Query(command) => command.run().await,
        Command::Order(command) => command.run().await,
    }
}
