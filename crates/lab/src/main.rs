//! `streamfold-lab`: the demo, stand-ins as processes, and experiments.

use std::process::ExitCode;

use bpaf::Bpaf;
use streamfold_lab::demo;
use streamfold_lab::fleet::FleetError;

/// streamfold-lab: stand-ins, load and experiments for streamfold.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum LabArgs {
    /// Run a whole fleet on loopback, query it, kill an upstream, query again.
    #[bpaf(command)]
    Demo {
        /// Stay up and print the addresses for the command line.
        keep: bool,
    },
}

fn main() -> ExitCode {
    let args = lab_args().run();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("streamfold-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(args: &LabArgs) -> Result<(), FleetError> {
    match args {
        LabArgs::Demo { keep } => demo::run(*keep).await,
    }
}
