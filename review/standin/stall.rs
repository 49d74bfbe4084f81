//! Notices when the test machine itself is held up. The nodes are not in touch then, so such times are not judged.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A short sleep that takes longer than this shows that the machine is held up.
const MAX_STALL: Duration = Duration::from_millis(100);

pub struct StallWatch {
    is_over: Arc<AtomicBool>,
    watcher: JoinHandle<Vec<Instant>>,
}

impl StallWatch {
    pub fn start() -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let watched = is_over.clone();
        let watcher = std::thread::spawn(move || {
            let mut stalls = Vec::new();
            while !watched.load(Ordering::Relaxed) {
                let before = Instant::now();
                std::thread::sleep(Duration::from_millis(10));
                if before.elapsed() > MAX_STALL {
                    stalls.push(Instant::now());
                }
            }
            stalls
        });
        Self { is_over, watcher }
    }

    /// Ends the watch and returns when the machine was held up.
    pub fn end(self) -> Vec<Instant> {
        self.is_over.store(true, Ordering::Relaxed);
        self.watcher.join().expect("the watcher")
    }
}
