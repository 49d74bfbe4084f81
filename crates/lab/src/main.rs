//! `streamfold-lab`: the demo, stand-ins and experiments.

use std::process::ExitCode;

use bpaf::Bpaf;
use streamfold_lab::fleet::FleetError;
use streamfold_lab::{demo, experiments, slopes};

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
    /// Measure how the costs of a node grow, for docs/CAPACITY.md; prints JSON.
    #[bpaf(command)]
    Slopes,
    /// Run an experiment: a baseline and the policy in one run. Exit code 1 if it did not hold.
    #[bpaf(command)]
    Experiment {
        /// Seed of everything random in the load.
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Print the report on one line.
        json: bool,
        /// List the experiments and stop.
        list: bool,
        /// The experiment.
        #[bpaf(positional("NAME"))]
        name: Option<String>,
    },
}

/// Why the lab failed.
#[derive(Debug, thiserror::Error)]
enum LabError {
    #[error(transparent)]
    Fleet(#[from] FleetError),
    #[error("there is no experiment {0:?}; see streamfold-lab experiment --list")]
    NoExperiment(String),
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
        return Err(LabError::NoExperiment(name.to_owned()));
    };
    let report = report?;
    match json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => println!("{}", serde_json::to_string_pretty(&report)?),
    }
    Ok(report.held)
}
