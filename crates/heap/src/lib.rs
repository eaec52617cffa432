//! The heap of the process.
//!
//! The allocator of the C library returns free memory to the system only from the end of the heap. A block that is
//! still in use there keeps all free memory before it.

/// Returns free memory to the system, also where blocks that are in use lie behind it. Takes some milliseconds for a
/// heap of many megabytes. Does nothing where the C library has no such call.
pub fn release() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    #[allow(unsafe_code)]
    // SAFETY: the call has no preconditions; it holds the locks of the heap that it works on.
    unsafe {
        libc::malloc_trim(0);
    }
}
