//! A pool of reusable buffers of one size.

use crossbeam_channel::{bounded, Receiver, Sender};
use std::ops::{Deref, DerefMut};

/// The size of a buffer: the longest head and the longest body that are accepted, and a little more.
pub const BUFFER_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + 1024;
/// The longest head of a request or response.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body of a request or response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Keeps a limited number of unused buffers; further ones are freed.
#[derive(Clone)]
pub struct BufferPool {
    returned: Sender<Box<[u8]>>,
    free: Receiver<Box<[u8]>>,
}

/// A buffer of the pool, returned to it when dropped.
pub struct PooledBuffer {
    bytes: Box<[u8]>,
    pool: Sender<Box<[u8]>>,
}

impl BufferPool {
    /// Creates a pool that keeps at most `max_free` unused buffers.
    pub fn new(max_free: usize) -> BufferPool {
        let (returned, free) = bounded(max_free);
        BufferPool { returned, free }
    }

    /// Takes a buffer. Its content is what the previous user left in it.
    pub fn get(&self) -> PooledBuffer {
        let bytes = self.free.try_recv().unwrap_or_else(|_| vec![0; BUFFER_BYTES].into_boxed_slice());
        PooledBuffer { bytes, pool: self.returned.clone() }
    }
}

impl Drop for PooledBuffer {
    fn drop(&mut self) {
        // An error means that the pool is full or gone; the buffer is freed.
        let _ = self.pool.try_send(std::mem::take(&mut self.bytes));
    }
}

impl Deref for PooledBuffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl DerefMut for PooledBuffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}
