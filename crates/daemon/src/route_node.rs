//! A node that routes requests on the users' platform: reads its settings, follows their changes, and connects the
//! platform's adapters to the router's interfaces.

use std::sync::Arc;
use std::time::Duration;

use streamfold_platform::{PlatformClient, PlatformHeaders};
use streamfold_router::machine_limits::{MIN_FILES, MIN_MEMORY};
use streamfold_router::{Router, RouterSettings, RunningRouter, router_start};
use tokio::signal::unix::Signal;

use crate::error::{SettingError, SettingProblem, StartError};
use crate::metrics_text;
use crate::settings::{self, DaemonArgs};

/// Time between two checks of the settings file without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum of the setting `caller_way` (one-way network delay to callers). No network path takes longer, so a higher
/// value is a mistake, with which requests would be cancelled as soon as they are read.
const MAX_CALLER_DELAY: Duration = Duration::from_secs(1);

/// Reads and checks the settings that the arguments name.
///
/// # Errors
/// The file cannot be read or parsed, or its values are invalid; the error lists every problem.
pub fn load(args: &DaemonArgs) -> Result<RouterSettings, StartError> {
    let (name, text) = settings::read_file(args)?;
    parse(&name, &text).map_err(StartError::BadSettings)
}

/// Parses and checks settings from the text of a file.
///
/// # Errors
/// The first syntax error, or every invalid value.
pub fn parse(name: &str, text: &str) -> Result<RouterSettings, Vec<SettingError>> {
    let parsed: Result<RouterSettings, _> = serde_saphyr::from_str(text);
    let settings = parsed.map_err(|error| vec![settings::syntax_error(name, &error)])?;
    let problems: Vec<SettingError> =
        check(&settings).into_iter().map(|problem| SettingError { file: name.to_owned(), line: 0, problem }).collect();
    if problems.is_empty() { Ok(settings) } else { Err(problems) }
}

fn check(settings: &RouterSettings) -> Vec<SettingProblem> {
    let extra = &settings.extra_calls;
    let mut problems = Vec::new();
    let mut check_range = |name, found: f64, is_allowed: bool, range| {
        if !is_allowed {
            problems.push(SettingProblem::OutOfRange { name, found: found.to_string(), range });
        }
    };
    check_range("extra_calls.ratio", extra.ratio, (0.0..=10.0).contains(&extra.ratio), "0 to 10");
    check_range("extra_calls.allowance", extra.allowance, extra.allowance >= 0.0, "0 or more");
    if let Some(cold) = &settings.cold_calls {
        check_range("cold_calls.excess", cold.excess, cold.excess >= 0.0, "0 or more");
        check_range("cold_calls.allowance", cold.allowance, cold.allowance >= 0.0, "0 or more");
    }
    if let Some(memory) = settings.memory {
        check_range("memory", memory.0 as f64, memory.0 == 0 || memory >= MIN_MEMORY, "32MB or more, or 0");
    }
    if let Some(files) = settings.max_files {
        check_range("max_files", f64::from(files), files == 0 || files >= MIN_FILES, "64 or more, or 0");
    }
    let is_valid_return_turns = !settings.return_turns || settings.scheduling.by_team;
    check_range(
        "return_turns",
        f64::from(u8::from(settings.return_turns)),
        is_valid_return_turns,
        "off without scheduling.by_team",
    );
    if let Some(delay) = settings.caller_way {
        check_range("caller_way", delay.0.as_secs_f64(), delay.0 <= MAX_CALLER_DELAY, "1s at most");
    }
    let durations = [
        ("extra_calls.window", extra.window),
        ("gone_after", settings.gone_after),
        ("silence_within", settings.silence_within),
        ("routes_within", settings.routes_within),
        ("drained_within", settings.drained_within),
    ];
    let evacuated_within = settings.evacuated_within.map(|duration| ("evacuated_within", duration));
    let keys_within = settings.keys.map(|keys| ("keys.within", keys.within));
    for (name, duration) in durations.into_iter().chain(evacuated_within).chain(keys_within) {
        check_range(name, duration.0.as_secs_f64(), !duration.0.is_zero(), "longer than 0s");
    }
    let ports = [
        ("callers", settings.callers),
        ("ready", settings.ready),
        ("peers", settings.peers),
        ("metrics", settings.metrics),
    ];
    for (position, (name, address)) in ports.iter().enumerate() {
        let same = ports[..position].iter().find(|(_, other)| other == address && address.port() != 0);
        problems.extend(same.map(|(other, _)| SettingProblem::SameAddress(other, name, *address)));
    }
    problems
}

/// Starts a router on the users' platform.
///
/// # Errors
/// A port cannot be opened.
pub async fn start(settings: RouterSettings) -> Result<RunningRouter, StartError> {
    let store = Arc::new(PlatformClient::new(settings.platform).with_machine(settings.machine()));
    let running = router_start::start(settings, Arc::new(PlatformHeaders), store, metrics_text::render).await;
    running.map_err(StartError::Router)
}

/// The name and text of the settings file when it was last read, to detect changes. It is first read before the
/// settings are loaded, so that a change during the start is found.
#[derive(PartialEq, Eq)]
pub struct SettingsFile(Option<(String, String)>);

impl SettingsFile {
    /// Reads the file. An unreadable file differs from any readable one.
    pub fn read(args: &DaemonArgs) -> Self {
        Self(settings::read_file(args).ok())
    }
}

/// Reloads the settings while the node runs, on SIGHUP or after a change of the file. Invalid settings change nothing.
/// Without a handler of SIGHUP only a change of the file causes a reload.
pub async fn follow_settings(
    args: DaemonArgs,
    mut last_read: SettingsFile,
    router: Arc<Router>,
    hangups: std::io::Result<Signal>,
) {
    let log_error = |error: &std::io::Error| tracing::warn!(event = "signal_unavailable", signal = "SIGHUP", %error);
    let mut hangups = hangups.inspect_err(log_error).ok();
    loop {
        let is_signalled = wait_for_check(&mut hangups).await;
        let found = SettingsFile::read(&args);
        if !is_signalled && found == last_read {
            continue;
        }
        last_read = found;
        match load(&args) {
            Ok(settings) => router.reload(settings),
            Err(error) => tracing::error!(event = "settings_not_reloaded", %error),
        }
    }
}

/// Waits for the next check of the settings; true if a signal requested it.
async fn wait_for_check(hangups: &mut Option<Signal>) -> bool {
    let Some(hangups) = hangups else {
        tokio::time::sleep(CHECK_INTERVAL).await;
        return false;
    };
    tokio::select! {
        _ = hangups.recv() => true,
        () = tokio::time::sleep(CHECK_INTERVAL) => false,
    }
}
