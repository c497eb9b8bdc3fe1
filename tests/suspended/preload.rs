//! A preload library that overrides `clock_gettime`: the monotonic clock leaves out the time for which the
//! process was stopped, like that of a machine that was suspended. `CLOCK_BOOTTIME` and the time of day
//! count it.

#![allow(unsafe_code)]

use std::sync::atomic::{AtomicI64, Ordering};

/// `struct timespec` of the C library.
#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanoseconds: i64,
}

unsafe extern "C" {
    fn syscall(number: i64, ...) -> i64;
}

const CLOCK_GETTIME: i64 = if cfg!(target_arch = "x86_64") { 228 } else { 113 };
const CLOCK_MONOTONIC: i32 = 1;
const NANOS: i64 = 1_000_000_000;
/// Minimum gap between two readings that counts as a stop. A host reads the clock every 20 ms.
const MIN_STOP_NANOS: i64 = NANOS;

static LAST: AtomicI64 = AtomicI64::new(0);
static OMITTED: AtomicI64 = AtomicI64::new(0);

/// Overrides `clock_gettime` of the C library.
///
/// # Safety
/// `time` must point to a valid `Timespec`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: i32, time: *mut Timespec) -> i32 {
    let result = unsafe { syscall(CLOCK_GETTIME, clock, time) } as i32;
    if clock != CLOCK_MONOTONIC || result != 0 {
        return result;
    }
    let time = unsafe { &mut *time };
    let now = time.seconds * NANOS + time.nanoseconds;
    let last = LAST.swap(now, Ordering::SeqCst);
    if last != 0 && now - last > MIN_STOP_NANOS {
        OMITTED.fetch_add(now - last, Ordering::SeqCst);
    }
    let shown = now - OMITTED.load(Ordering::SeqCst);
    *time = Timespec { seconds: shown / NANOS, nanoseconds: shown % NANOS };
    0
}
