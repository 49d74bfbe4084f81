//! A buffer for bytes of unknown number. A long one has its memory directly from the system, which gets it back at once
//! when the buffer is dropped; the allocator would keep much of what long buffers of different lengths leave behind.

use memmap2::{MmapMut, MmapOptions};

/// Up to this length the bytes are kept in memory of the allocator.
const MAX_SHORT_LEN: usize = 64 << 10;
/// The part of its length by which a short buffer grows.
const GROWTH_FRACTION: usize = 4;

/// Why bytes cannot be added to a buffer.
#[derive(Debug, thiserror::Error)]
pub enum BufferError {
    /// They exceed its limit.
    #[error("the bytes exceed the limit of the buffer")]
    TooLong,
    /// The system gives no memory.
    #[error("no memory for the buffer: {0}")]
    NoMemory(#[from] std::io::Error),
}

/// A buffer that grows up to a limit.
#[derive(Debug)]
pub struct GrowingBuffer {
    /// The most bytes that it may get.
    limit: usize,
    bytes: BufferBytes,
}

#[derive(Debug)]
enum BufferBytes {
    Short(Vec<u8>),
    /// Mapped memory for as many bytes as the buffer may get, of which pages that were never written to take none, and
    /// the number of bytes written.
    Long(MmapMut, usize),
}

impl GrowingBuffer {
    /// Creates a buffer that gets at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, bytes: BufferBytes::Short(Vec::new()) }
    }

    /// The most bytes that it may get.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The number of bytes in it.
    pub fn len(&self) -> usize {
        match &self.bytes {
            BufferBytes::Short(bytes) => bytes.len(),
            BufferBytes::Long(_, len) => *len,
        }
    }

    /// Whether there are none in it.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How much more memory it takes with `bytes` more.
    ///
    /// # Errors
    /// They exceed the limit.
    pub fn growth(&self, bytes: usize) -> Result<usize, BufferError> {
        let len = self.len().checked_add(bytes).filter(|len| *len <= self.limit).ok_or(BufferError::TooLong)?;
        Ok(match &self.bytes {
            BufferBytes::Short(short) if len <= MAX_SHORT_LEN && len > short.capacity() => {
                bytes.max(short.len() / GROWTH_FRACTION)
            }
            BufferBytes::Short(short) => len.saturating_sub(short.capacity()),
            BufferBytes::Long(..) => bytes,
        })
    }

    /// Adds bytes.
    ///
    /// # Errors
    /// They exceed the limit, or the system gives no memory.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BufferError> {
        let growth = self.growth(data.len())?;
        match &mut self.bytes {
            BufferBytes::Short(short) if short.len() + data.len() <= MAX_SHORT_LEN => {
                short.reserve_exact(growth);
                short.extend_from_slice(data);
                Ok(())
            }
            _ => self.push_long(data),
        }
    }

    fn push_long(&mut self, data: &[u8]) -> Result<(), BufferError> {
        if let BufferBytes::Short(short) = &self.bytes {
            let mut map = MmapOptions::new().len(self.limit).no_reserve_swap().map_anon()?;
            map[..short.len()].copy_from_slice(short);
            self.bytes = BufferBytes::Long(map, short.len());
        }
        if let BufferBytes::Long(map, len) = &mut self.bytes {
            map[*len..*len + data.len()].copy_from_slice(data);
            *len += data.len();
        }
        Ok(())
    }
}

impl AsRef<[u8]> for GrowingBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.bytes {
            BufferBytes::Short(bytes) => bytes,
            BufferBytes::Long(map, len) => &map[..*len],
        }
    }
}

impl std::io::Write for GrowingBuffer {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        self.push(data).map_err(std::io::Error::other)?;
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
