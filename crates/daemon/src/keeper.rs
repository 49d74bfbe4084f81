//! Keeps the configuration in force. It only ever moves to a higher version.

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

/// What became of an offered configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force now.
    Taken,
    /// It was in force already.
    Same,
    /// It is older than what is in force.
    Older,
    /// It contradicts what is in force, or is damaged; nothing changed.
    Alarm,
}

/// A configuration in force, as stored and as checked.
pub struct KeptConfig {
    /// As stored.
    pub bundle: ConfigBundle,
    /// As checked.
    pub config: Arc<Configuration>,
}

/// The configuration in force at this node.
pub struct ConfigKeeper {
    clock: NodeClock,
    kept: ArcSwapOption<KeptConfig>,
    confirmed: AtomicU64,
    taking: std::sync::Mutex<()>,
}

impl ConfigKeeper {
    /// A keeper without a configuration.
    pub fn new(clock: NodeClock) -> Self {
        let confirmed = AtomicU64::new(clock.now().0);
        Self { clock, kept: ArcSwapOption::empty(), confirmed, taking: std::sync::Mutex::new(()) }
    }

    /// What is in force.
    pub fn current(&self) -> Option<Arc<KeptConfig>> {
        self.kept.load_full()
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.kept.load().as_ref().map_or(ConfigVersion(0), |kept| kept.bundle.head.version)
    }

    /// Milliseconds since the configuration was last known to be the newest.
    pub fn age_ms(&self) -> u64 {
        let confirmed = Moment(self.confirmed.load(Ordering::Relaxed));
        u64::try_from(self.clock.now().since(confirmed).as_millis()).unwrap_or(u64::MAX)
    }

    /// Notes that the version in force was the newest `age_ms` ago.
    pub fn confirm(&self, version: ConfigVersion, age_ms: u64) {
        if version == self.version() {
            let then = self.clock.now().0.saturating_sub(age_ms.saturating_mul(1000));
            self.confirmed.fetch_max(then, Ordering::Relaxed);
        }
    }

    /// Judges a head seen in the store against what is in force, before its files are read.
    pub fn judge_head(&self, head: &HeadRecord) -> OfferResult {
        let Some(kept) = self.kept.load_full() else { return OfferResult::Taken };
        let own = &kept.bundle.head;
        if head.version > own.version {
            return OfferResult::Taken;
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
        OfferResult::Alarm
    }

    /// Takes a configuration if it is newer than the one in force and undamaged.
    pub fn offer(&self, bundle: ConfigBundle) -> OfferResult {
        let _guard = self.taking.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let version = bundle.head.version;
        if let Some(kept) = self.kept.load_full() {
            let own = &kept.bundle.head;
            if version < own.version {
                return OfferResult::Older;
            }
            if version == own.version {
                let is_same = bundle.head.digest == own.digest;
                return if is_same { OfferResult::Same } else { self.judge_head(&bundle.head) };
            }
        }
        if store_files(&bundle.files) != bundle.head.files {
            return self.refuse(version, "its text does not match its digests");
        }
        let Ok(config) = check_files(version, &bundle.files) else {
            return self.refuse(version, "it does not pass the checks");
        };
        let change = bundle.head.change;
        self.kept.store(Some(Arc::new(KeptConfig { bundle, config: Arc::new(config) })));
        self.confirmed.store(self.clock.now().0, Ordering::Relaxed);
        stats::set_config(version.0);
        tracing::info!(event = "config_in_force", version = %version, change = %change);
        OfferResult::Taken
    }

    fn refuse(&self, version: ConfigVersion, cause: &'static str) -> OfferResult {
        stats::count_config_alarm();
        tracing::error!(event = "config_alarm", offered = %version, cause);
        OfferResult::Alarm
    }
}

/// How long a waiting watch asks the platform to wait.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
