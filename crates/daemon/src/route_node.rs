//! A node that routes requests on the users' platform: its settings, and the platform's
//! adapter put behind the router's borders.

use std::sync::Arc;

use streamfold_platform::{PlatformCalls, PlatformClient};
use streamfold_router::{RouterSettings, RunningRouter, router};

use crate::error::StartError;
use crate::metrics_text;
use crate::settings::{self, DaemonArgs};

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
