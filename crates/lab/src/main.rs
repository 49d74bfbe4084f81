//! `streamfold-lab`: command line of the demo, the experiments, the cost measurements and the soak test.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use streamfold_lab::fleet::FleetError;
use streamfold_lab::route_fleet::RouteFleetError;
use streamfold_lab::soak::{self, SoakPlan};
use streamfold_lab::{demo, experiments, slopes};

/// streamfold-lab: simulated fleets, load and experiments for streamfold.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum LabArgs {
    /// Run a whole fleet on loopback, query it, kill an upstream and query again.
    #[bpaf(command)]
    Demo {
        /// Keep the fleet up and print its addresses.
        keep: bool,
    },
    /// Measure how the costs of a node grow with size, for docs/CAPACITY.md; prints JSON.
    #[bpaf(command)]
    Slopes,
    /// Inject random faults into a fleet of real processes and check its guarantees meanwhile.
    /// Exit code 1 if one was violated.
    #[bpaf(command)]
    Soak {
        /// Seed of the random faults and callers.
        #[bpaf(argument("N"))]
        seed: u64,
        /// Seconds during which faults are injected.
        #[bpaf(argument("S"), fallback(15))]
        seconds: u64,
        /// Nodes in each of the two failure domains.
        #[bpaf(argument("N"), fallback(2))]
        nodes: usize,
    },
    /// Run an experiment, which compares a baseline with the policy. Exit code 1 if its criteria are not met.
    #[bpaf(command)]
    Experiment {
        /// Seed of the random numbers of the load.
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Print the report on one line.
        json: bool,
        /// List the experiments and exit.
        list: bool,
        /// Name of the experiment.
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
}

/// Error of a lab command.
#[derive(Debug, thiserror::Error)]
enum LabError {
    #[error(transparent)]
    Fleet(#[from] FleetError),
    #[error(transparent)]
    RouteFleet(#[from] RouteFleetError),
    #[error("there is no experiment {0:?}; see streamfold-lab experiment --list")]
    UnknownExperiment(String),
    #[error("writing the report: {0}")]
    Json(#[from] serde_json::Error),
}

fn main() -> ExitCode {
    let args = lab_args().run();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("streamfold-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(args: &LabArgs) -> Result<bool, LabError> {
    match args {
        LabArgs::Demo { keep } => {
            demo::run(*keep).await?;
            Ok(true)
        }
        LabArgs::Slopes => {
            println!("{}", serde_json::to_string_pretty(&slopes::run().await?)?);
            Ok(true)
        }
        LabArgs::Soak { seed, seconds, nodes } => {
            let plan = SoakPlan { seed: *seed, time: Duration::from_secs(*seconds), nodes: (*nodes).max(1) };
            let report = soak::run(plan).await?;
            println!("{report}");
            Ok(report.violations.is_empty())
        }
        LabArgs::Experiment { seed, json, list, name } => match name {
            Some(name) if !list => run_experiment(name, *seed, *json).await,
            _ => {
                for (name, text) in experiments::EXPERIMENTS {
                    println!("{name:<12} {text}");
                }
                Ok(true)
            }
        },
    }
}

async fn run_experiment(name: &str, seed: u64, json: bool) -> Result<bool, LabError> {
    let Some(report) = experiments::run(name, seed).await else {
        return Err(LabError::UnknownExperiment(name.to_owned()));
    };
    let report = report?;
    match json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => println!("{}", serde_json::to_string_pretty(&report)?),
    }
    Ok(report.held)
}
