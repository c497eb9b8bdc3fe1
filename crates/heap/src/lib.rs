//! Memory of the process that is free, but not yet returned to the system.
//!
//! The allocator of the C library returns only what is free at the end of its heap. After a peak, a few small objects that
//! live on keep all of it.
#![deny(missing_docs)]

/// Returns free memory of the heap to the system. This takes some milliseconds after a large peak.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[allow(unsafe_code)]
pub fn release_free() {
    // SAFETY: the function has no requirements and may be called at any time.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Size of a large block.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const LARGE_BLOCK_BYTES: libc::c_int = 64 << 10;

/// Has large blocks returned to the system as soon as they are freed: they are mapped on their own, whatever was freed before.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[allow(unsafe_code)]
pub fn return_large_blocks() {
    // SAFETY: the function has no requirements and may be called at any time.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
    }
}

/// Does nothing: only the allocator of the GNU C library is known to keep large blocks.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn return_large_blocks() {}

/// Does nothing: only the allocator of the GNU C library is known to keep free memory.
#[cfg(not(all(target_os = "linux", target_env = "gnu")))]
pub fn release_free() {}
