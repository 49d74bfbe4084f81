//! A node that routes requests on the users' platform: its settings, and the platform's
//! adapter put behind the router's borders.

use std::sync::Arc;
use std::time::Duration;

use streamfold_platform::{PlatformCalls, PlatformClient};
use streamfold_router::{Router, RouterSettings, RunningRouter, router};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::StartError;
use crate::metrics_text;
use crate::settings::{self, DaemonArgs};

/// How often the settings file is looked at without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Reads and checks the settings that the arguments name.
///
/// # Errors
/// The file cannot be read, or the first problem found in it.
pub fn load(args: &DaemonArgs) -> Result<RouterSettings, StartError> {
    let (name, text) = settings::read_file(args)?;
    let parsed = serde_saphyr::from_str(&text);
    parsed.map_err(|error| StartError::BadSettings(vec![settings::syntax_error(&name, &error)]))
}

/// Starts a router on the platform.
///
/// # Errors
/// A port cannot be opened.
pub async fn start(settings: RouterSettings) -> Result<RunningRouter, StartError> {
    let store = Arc::new(PlatformClient::new(settings.platform));
    let running = router::start(settings, Arc::new(PlatformCalls), store, metrics_text::render).await;
    running.map_err(StartError::Router)
}

/// Takes settings that changed while the node runs, on SIGHUP or found by looking. Settings
/// that cannot be read change nothing.
pub async fn follow_settings(args: DaemonArgs, router: Arc<Router>) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => Some(hangups),
        Err(error) => {
            tracing::warn!(event = "signal_unavailable", signal = "SIGHUP", %error);
            None
        }
    };
    let mut known = settings::read_file(&args).ok();
    loop {
        let is_told = wait_look(&mut hangups).await;
        let found = settings::read_file(&args).ok();
        if !is_told && found == known {
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
async fn wait_look(hangups: &mut Option<Signal>) -> bool {
    let Some(hangups) = hangups else {
        tokio::time::sleep(LOOK_EVERY).await;
        return false;
    };
    tokio::select! {
        _ = hangups.recv() => true,
        () = tokio::time::sleep(LOOK_EVERY) => false,
    }
}
