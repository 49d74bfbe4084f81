//! `streamfoldd`: reads settings, runs one node, stops as planned on SIGTERM or SIGINT.

use std::process::ExitCode;

use streamfold_daemon::error::StartError;
use streamfold_daemon::settings::{self, DaemonArgs, NodeSettings, daemon_args};
use streamfold_daemon::{logs, metrics_text, node};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args: DaemonArgs = daemon_args().run();
    let settings = match settings::load(&args) {
        Ok(settings) => settings,
        Err(error) => return tell_settings(&error),
    };
    if args.check {
        println!("settings of node {} are valid", settings.node);
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("streamfoldd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn tell_settings(error: &StartError) -> ExitCode {
    eprintln!("streamfoldd: {error}");
    if let StartError::BadSettings(problems) = error {
        for problem in problems {
            eprintln!("  {problem}");
        }
    }
    ExitCode::from(EXIT_SETTINGS)
}

#[tokio::main]
async fn run(settings: NodeSettings) -> Result<(), StartError> {
    logs::start(&settings.log);
    metrics_text::install()?;
    let running = node::start(settings).await?;
    wait_for_signal().await;
    running.stop().await;
    Ok(())
}

async fn wait_for_signal() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
