//! The configuration in force at this node. Its version never decreases.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use streamfold_model::check::check_files;
use streamfold_model::{ConfigBundle, ConfigVersion, Configuration, HeadRecord};
use streamfold_policy::Moment;
use streamfold_store::commit::store_files;

use crate::clock::NodeClock;
use crate::stats;

/// The result of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It is newer, and is now in force.
    Accepted,
    /// It is the one already in force.
    Same,
    /// It is older than the one in force.
    Older,
    /// It conflicts with the one in force, is corrupt or invalid; nothing changed.
    Rejected,
}

/// The configuration in force, as stored and as parsed.
pub struct ActiveConfig {
    /// The stored files and their head record.
    pub bundle: ConfigBundle,
    /// The parsed and validated configuration.
    pub config: Arc<Configuration>,
}

/// Holds the configuration in force at this node.
pub struct ConfigKeeper {
    clock: NodeClock,
    active: ArcSwapOption<ActiveConfig>,
    confirmed: AtomicU64,
    offer_lock: std::sync::Mutex<()>,
}

impl ConfigKeeper {
    /// Creates a keeper without a configuration.
    pub fn new(clock: NodeClock) -> Self {
        let confirmed = AtomicU64::new(clock.now().0);
        Self { clock, active: ArcSwapOption::empty(), confirmed, offer_lock: std::sync::Mutex::new(()) }
    }

    /// The configuration in force, if there is one.
    pub fn current(&self) -> Option<Arc<ActiveConfig>> {
        self.active.load_full()
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.active.load().as_ref().map_or(ConfigVersion(0), |active| active.bundle.head.version)
    }

    /// Milliseconds since the configuration was last confirmed as the newest.
    pub fn age_ms(&self) -> u64 {
        let confirmed = Moment(self.confirmed.load(Ordering::Relaxed));
        u64::try_from(self.clock.now().since(confirmed).as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that `version` was confirmed as the newest `age_ms` milliseconds ago, if it is the version in force.
    pub fn confirm(&self, version: ConfigVersion, age_ms: u64) {
        if version == self.version() {
            let then = self.clock.now().0.saturating_sub(age_ms.saturating_mul(1000));
            self.confirmed.fetch_max(then, Ordering::Relaxed);
        }
    }

    /// Compares a head record from the store with the configuration in force, before its files are read. A lower
    /// version, or the same version with another digest, is rejected and reported as an alarm.
    pub fn compare_head(&self, head: &HeadRecord) -> OfferResult {
        let Some(active) = self.active.load_full() else { return OfferResult::Accepted };
        let own = &active.bundle.head;
        if head.version > own.version {
            return OfferResult::Accepted;
        }
        if head.version == own.version && head.digest == own.digest {
            return OfferResult::Same;
        }
        stats::count_config_alarm();
        tracing::error!(
            event = "config_alarm",
            in_force = %own.version,
            offered = %head.version,
            cause = "the store went back or two configurations have one version"
        );
        OfferResult::Rejected
    }

    /// Puts a configuration into force if it is newer than the one in force and passes its checks.
    pub fn offer(&self, bundle: ConfigBundle) -> OfferResult {
        let _guard = self.offer_lock.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let version = bundle.head.version;
        if let Some(active) = self.active.load_full() {
            let own = &active.bundle.head;
            if version < own.version {
                return OfferResult::Older;
            }
            if version == own.version {
                let is_same = bundle.head.digest == own.digest;
                return if is_same { OfferResult::Same } else { self.compare_head(&bundle.head) };
            }
        }
        if store_files(&bundle.files) != bundle.head.files {
            return self.reject(version, "its text does not match its digests");
        }
        let Ok(config) = check_files(version, &bundle.files) else {
            return self.reject(version, "it does not pass the checks");
        };
        let change = bundle.head.change;
        self.active.store(Some(Arc::new(ActiveConfig { bundle, config: Arc::new(config) })));
        self.confirmed.store(self.clock.now().0, Ordering::Relaxed);
        stats::set_config(version.0);
        tracing::info!(event = "config_in_force", version = %version, change = %change);
        OfferResult::Accepted
    }

    fn reject(&self, version: ConfigVersion, cause: &'static str) -> OfferResult {
        stats::count_config_alarm();
        tracing::error!(event = "config_alarm", offered = %version, cause);
        OfferResult::Rejected
    }
}

/// How long the platform may hold a watch request open (long poll).
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
