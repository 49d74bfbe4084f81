//! A node that routes requests on the users' platform: its settings, and the platform's
//! adapter put behind the router's borders.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use signal_hook::consts::SIGHUP;
use streamfold_platform::{PlatformCalls, PlatformClient};
use streamfold_router::{Router, RouterSettings, RunningRouter, router_start};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::{SettingError, SettingProblem, StartError};
use crate::metrics_text;
use crate::settings::{self, DaemonArgs};

/// How often the settings file is looked at without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);
/// The longest `caller_way` that is accepted: no network path takes longer. A longer one is a mistake in the settings,
/// and requests would be given up as soon as they are read.
const MAX_CALLER_DELAY: Duration = Duration::from_secs(1);

/// Reads and checks the settings that the arguments name.
///
/// # Errors
/// The file cannot be read or parsed, or every problem found in its values.
pub fn load(args: &DaemonArgs) -> Result<RouterSettings, StartError> {
    let (name, text) = settings::read_file(args)?;
    parse(&name, &text).map_err(StartError::BadSettings)
}

/// Parses and checks settings from the text of a file.
///
/// # Errors
/// The first problem of syntax, or every problem found in the values.
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
    let turns_allowed = !settings.return_turns || settings.scheduling.by_team;
    check_range(
        "return_turns",
        f64::from(u8::from(settings.return_turns)),
        turns_allowed,
        "off without scheduling.by_team",
    );
    if let Some(way) = settings.caller_way {
        check_range("caller_way", way.0.as_secs_f64(), way.0 <= MAX_CALLER_DELAY, "1s at most");
    }
    let spans = [
        ("extra_calls.window", extra.window),
        ("gone_after", settings.gone_after),
        ("silence_within", settings.silence_within),
    ];
    let evacuated_within = settings.evacuated_within.map(|span| ("evacuated_within", span));
    for (name, span) in spans.into_iter().chain(evacuated_within) {
        check_range(name, span.0.as_secs_f64(), !span.0.is_zero(), "longer than 0s");
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

/// Starts a router on the platform.
///
/// # Errors
/// A port cannot be opened.
pub async fn start(settings: RouterSettings) -> Result<RunningRouter, StartError> {
    let store = Arc::new(PlatformClient::new(settings.platform));
    let running = router_start::start(settings, Arc::new(PlatformCalls), store, metrics_text::render).await;
    running.map_err(StartError::Router)
}

/// Keeps SIGHUP from ending the process from now on: an operator may tell a node to read its settings while it starts. A
/// hangup is not missed so: the settings are read after this, and a file that changes later is found by looking.
///
/// # Errors
/// The system refuses.
pub fn ignore_hangups() -> std::io::Result<()> {
    // No runtime is built for it, which takes longer than all that comes before.
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false))).map(drop)
}

/// The settings file as it was before the node started by it, so that a change since then is found.
#[derive(PartialEq, Eq)]
pub struct SettingsFile(Option<(String, String)>);

impl SettingsFile {
    /// Reads it; one that cannot be read differs from any that can.
    pub fn read(args: &DaemonArgs) -> Self {
        Self(settings::read_file(args).ok())
    }
}

/// Takes SIGHUP from now on as a word to read the settings.
pub fn listen_for_hangups() -> Option<Signal> {
    match signal(SignalKind::hangup()) {
        Ok(hangups) => Some(hangups),
        Err(error) => {
            tracing::warn!(event = "signal_unavailable", signal = "SIGHUP", %error);
            None
        }
    }
}

/// Takes settings that changed while the node runs, on SIGHUP or found by looking. Settings
/// that cannot be read change nothing.
pub async fn follow_settings(
    args: DaemonArgs,
    mut known: SettingsFile,
    router: Arc<Router>,
    mut hangups: Option<Signal>,
) {
    loop {
        let is_reported = wait_for_check(&mut hangups).await;
        let found = SettingsFile::read(&args);
        if !is_reported && found == known {
            continue;
        }
        known = found;
        match load(&args) {
            Ok(settings) => router.reload(settings),
            Err(error) => tracing::error!(event = "settings_not_reloaded", %error),
        }
    }
}

/// Waits for the next look at the settings; whether a signal asked for it.
async fn wait_for_check(hangups: &mut Option<Signal>) -> bool {
    let Some(hangups) = hangups else {
        tokio::time::sleep(LOOK_EVERY).await;
        return false;
    };
    tokio::select! {
        _ = hangups.recv() => true,
        () = tokio::time::sleep(LOOK_EVERY) => false,
    }
}
