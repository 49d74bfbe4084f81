//! Signals of the process: SIGTERM and SIGINT stop the node, SIGHUP requests a reload of its settings.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::SIGHUP;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Ignores SIGHUP from now on. By default it ends the process, and an operator may send it to reload the settings while
/// the node starts. No change is missed: the settings are read after this call, and later changes of the file are found
/// by the periodic check.
///
/// # Errors
/// The handler cannot be installed.
pub fn ignore_hangups() -> std::io::Result<()> {
    // This needs no async runtime, whose start would delay the handler.
    signal_hook::flag::register(SIGHUP, Arc::new(AtomicBool::new(false))).map(drop)
}

/// Installs the handler of SIGHUP, which requests a reload of the settings.
///
/// # Errors
/// The handler cannot be installed.
pub fn listen_for_hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Handlers of SIGTERM and SIGINT, installed before the node starts.
pub struct StopSignals {
    terminate: std::io::Result<Signal>,
    interrupt: std::io::Result<Signal>,
}

impl StopSignals {
    /// Installs the handlers.
    pub fn listen() -> Self {
        Self { terminate: signal(SignalKind::terminate()), interrupt: signal(SignalKind::interrupt()) }
    }

    /// Waits for one of the signals; forever, if their handlers could not be installed.
    pub async fn wait(self) {
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
