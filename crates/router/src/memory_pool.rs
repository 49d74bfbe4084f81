//! Memory that a number of holders share up to a limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

/// A limited amount of memory. It only counts; what it counts is allocated elsewhere.
#[derive(Debug)]
pub struct MemoryPool {
    capacity: usize,
    used: AtomicUsize,
    /// The number of tasks that wait for memory, so that giving it back costs nothing while there are none.
    waiting: AtomicUsize,
    freed: Notify,
}

impl MemoryPool {
    /// Creates a pool of `capacity` bytes.
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self { capacity, used: AtomicUsize::new(0), waiting: AtomicUsize::new(0), freed: Notify::new() })
    }

    /// The bytes in use. They exceed the capacity while memory is held that was in use before it could be counted.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// How many bytes would be missing for `bytes` more.
    pub fn missing(&self, bytes: usize) -> usize {
        self.used().saturating_add(bytes).saturating_sub(self.capacity)
    }

    /// Whether the bytes in use exceed the capacity by more than this part of it.
    pub fn is_exceeded_by(&self, part: f64) -> bool {
        self.used() as f64 > self.capacity as f64 * (1.0 + part)
    }

    /// Takes bytes if they are free.
    pub(crate) fn try_take(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= self.capacity);
        bytes == 0 || self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    /// Takes bytes that are in use already, free or not.
    pub(crate) fn take(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn give_back(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.used.fetch_sub(bytes, Ordering::SeqCst);
        if self.waiting.load(Ordering::SeqCst) > 0 {
            self.freed.notify_waiters();
        }
    }

    /// The number of tasks that wait for memory.
    pub(crate) fn count_waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Waits until memory was given back, unless `is_served` returns true after the wait has begun.
    pub(crate) async fn wait_freed(&self, is_served: impl FnOnce() -> bool) {
        let _waiting = WaitingCount::new(&self.waiting);
        let mut freed = std::pin::pin!(self.freed.notified());
        freed.as_mut().enable();
        if !is_served() {
            freed.await;
        }
    }
}

/// Counts a waiting task until it is dropped.
struct WaitingCount<'a>(&'a AtomicUsize);

impl<'a> WaitingCount<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for WaitingCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Memory of a pool, given back when this is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    pool: Arc<MemoryPool>,
    bytes: usize,
}

impl MemoryHold {
    /// Holds nothing yet.
    pub fn new(pool: Arc<MemoryPool>) -> Self {
        Self { pool, bytes: 0 }
    }

    /// Holds more if it is free.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let is_taken = self.pool.try_take(bytes);
        self.bytes += if is_taken { bytes } else { 0 };
        is_taken
    }

    /// Holds more that is in use already, free or not.
    pub fn grow(&mut self, bytes: usize) {
        self.pool.take(bytes);
        self.bytes += bytes;
    }

    /// Gives everything back.
    pub fn clear(&mut self) {
        self.pool.give_back(std::mem::take(&mut self.bytes));
    }

    /// Bytes that keep this hold for as long as any part of them is in use.
    pub fn attach<T: AsRef<[u8]> + Send + 'static>(self, bytes: T) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _hold: self })
    }

    /// The bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Bytes that keep their hold on memory for as long as any part of them is in use.
pub(crate) struct HeldBytes<T, H> {
    pub(crate) bytes: T,
    pub(crate) _hold: H,
}

impl<T: AsRef<[u8]>, H> AsRef<[u8]> for HeldBytes<T, H> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
