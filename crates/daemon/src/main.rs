//! `streamfoldd`: reads settings, runs one node, stops as planned on SIGTERM or SIGINT.

use std::process::ExitCode;

use streamfold_daemon::error::StartError;
use streamfold_daemon::route_node::SettingsFile;
use streamfold_daemon::settings::{self, DaemonArgs, NodeSettings, ServeMode, daemon_args};
use streamfold_daemon::{logs, metrics_text, node_start, route_node};
use streamfold_router::RouterSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for wrong settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    // First of all: what comes before it ends the process.
    if let Err(error) = route_node::hold_hangups() {
        eprintln!("streamfoldd: taking SIGHUP: {error}");
    }
    let args: DaemonArgs = daemon_args().run();
    match settings::read_mode(&args) {
        Ok(ServeMode::Indexes) => serve_indexes(&args),
        Ok(ServeMode::Routes) => serve_routes(&args),
        Err(error) => tell_settings(&error),
    }
}

fn serve_indexes(args: &DaemonArgs) -> ExitCode {
    let settings = match settings::load(args) {
        Ok(settings) => settings,
        Err(error) => return tell_settings(&error),
    };
    if args.check {
        return tell_valid(settings.node.as_str());
    }
    end(run_indexes(settings))
}

fn serve_routes(args: &DaemonArgs) -> ExitCode {
    let file = SettingsFile::read(args);
    let settings = match route_node::load(args) {
        Ok(settings) => settings,
        Err(error) => return tell_settings(&error),
    };
    if args.check {
        return tell_valid(settings.node.as_str());
    }
    end(run_routes(args, settings, file))
}

fn tell_valid(node: &str) -> ExitCode {
    println!("settings of node {node} are valid");
    ExitCode::SUCCESS
}

fn end(result: Result<(), StartError>) -> ExitCode {
    logs::flush();
    match result {
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
async fn run_indexes(settings: NodeSettings) -> Result<(), StartError> {
    let stop = StopSignals::take();
    logs::start(&settings.log);
    metrics_text::install()?;
    let running = node_start::start(settings).await?;
    stop.wait().await;
    running.stop().await;
    Ok(())
}

#[tokio::main(worker_threads = 2)]
async fn run_routes(args: &DaemonArgs, settings: RouterSettings, file: SettingsFile) -> Result<(), StartError> {
    // Signals are taken first: a node may be stopped or told of settings while it starts.
    let stop = StopSignals::take();
    let hangups = route_node::take_hangups();
    logs::start(&settings.log);
    metrics_text::install()?;
    let running = route_node::start(settings).await?;
    tokio::spawn(route_node::follow_settings(args.clone(), file, running.router.clone(), hangups));
    stop.wait().await;
    running.stop().await;
    Ok(())
}

/// SIGTERM and SIGINT, taken before anything else runs.
struct StopSignals {
    terminate: std::io::Result<Signal>,
    interrupt: std::io::Result<Signal>,
}

impl StopSignals {
    fn take() -> Self {
        Self { terminate: signal(SignalKind::terminate()), interrupt: signal(SignalKind::interrupt()) }
    }

    async fn wait(self) {
        let (Ok(mut terminate), Ok(mut interrupt)) = (self.terminate, self.interrupt) else {
            tracing::warn!(event = "signal_unavailable", signal = "SIGTERM");
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
}
