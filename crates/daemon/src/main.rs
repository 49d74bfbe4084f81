//! `streamfoldd-node`, the program that `streamfoldd` becomes: reads the settings, runs one node and stops it gracefully
//! on SIGTERM or SIGINT.

use std::ffi::CStr;
use std::process::ExitCode;

use streamfold_daemon::error::StartError;
use streamfold_daemon::route_node::SettingsFile;
use streamfold_daemon::settings::{self, DaemonArgs, NodeSettings, ServeMode, daemon_args};
use streamfold_daemon::signals::{self, StopSignals};
use streamfold_daemon::{logs, metrics_text, node_start, route_node};
use streamfold_router::RouterSettings;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Name of the process in lists of processes, by which operators find it.
const PROCESS_NAME: &CStr = c"streamfoldd";

fn main() -> ExitCode {
    prepare_process();
    let args: DaemonArgs = daemon_args().run();
    if !args.check {
        logs::log_starting(args.log.as_deref());
    }
    let served = match settings::read_mode(&args) {
        Ok(ServeMode::Indexes) => serve_indexes(&args),
        Ok(ServeMode::Routes) => serve_routes(&args),
        Err(error) => Err(error),
    };
    served.unwrap_or_else(|error| report_error(&error))
}

/// Ignores SIGHUP and names the process.
fn prepare_process() {
    // This comes first, since a SIGHUP before it ends a process that was started without the launcher.
    if let Err(error) = signals::ignore_hangups() {
        eprintln!("streamfoldd: ignoring SIGHUP: {error}");
    }
    if let Err(error) = rustix::thread::set_name(PROCESS_NAME) {
        eprintln!("streamfoldd: naming the process: {error}");
    }
}

/// Checks or runs a node that serves indexes. Fails only if the settings are invalid.
fn serve_indexes(args: &DaemonArgs) -> Result<ExitCode, StartError> {
    let settings = settings::load(args)?;
    if args.check {
        return Ok(report_valid(settings.node.as_str()));
    }
    Ok(exit_code(run_indexes(settings)))
}

/// Checks or runs a node that serves routes. Fails only if the settings are invalid.
fn serve_routes(args: &DaemonArgs) -> Result<ExitCode, StartError> {
    let file = SettingsFile::read(args);
    let settings = route_node::load(args)?;
    if args.check {
        return Ok(report_valid(settings.node.as_str()));
    }
    Ok(exit_code(run_routes(args, settings, file)))
}

fn report_valid(node: &str) -> ExitCode {
    println!("settings of node {node} are valid");
    ExitCode::SUCCESS
}

fn exit_code(result: Result<(), StartError>) -> ExitCode {
    logs::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("streamfoldd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn report_error(error: &StartError) -> ExitCode {
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
    let stop = StopSignals::listen();
    logs::start(&settings.log);
    metrics_text::install()?;
    let running = node_start::start(settings).await?;
    stop.wait().await;
    running.stop().await;
    Ok(())
}

#[tokio::main(worker_threads = 2)]
async fn run_routes(args: &DaemonArgs, settings: RouterSettings, file: SettingsFile) -> Result<(), StartError> {
    // Handlers are installed before the start, since an operator may send a signal while the node starts.
    let stop = StopSignals::listen();
    let hangups = signals::listen_for_hangups();
    logs::start(&settings.log);
    metrics_text::install()?;
    let running = route_node::start(settings).await?;
    tokio::spawn(route_node::follow_settings(args.clone(), file, running.router.clone(), hangups));
    stop.wait().await;
    running.stop().await;
    Ok(())
}
