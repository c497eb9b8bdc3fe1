//! Stands before the C library of a host: its steady clock leaves out the time for which the process stood still,
//! as that of a machine does that was suspended. `CLOCK_BOOTTIME` and the time of day count it.

#![allow(unsafe_code)]

use std::sync::atomic::{AtomicI64, Ordering};

/// As the C library lays it out.
#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanoseconds: i64,
}

unsafe extern "C" {
    fn syscall(number: i64, ...) -> i64;
}

const CLOCK_GETTIME: i64 = if cfg!(target_arch = "x86_64") { 228 } else { 113 };
const STEADY: i32 = 1;
const NANOS: i64 = 1_000_000_000;
/// A host looks at the clock every 20 ms: if it has not for so long, it stood still.
const STILL: i64 = NANOS;

static LAST: AtomicI64 = AtomicI64::new(0);
static LEFT_OUT: AtomicI64 = AtomicI64::new(0);

/// Reads a clock.
///
/// # Safety
/// `time` has to point at a `Timespec`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: i32, time: *mut Timespec) -> i32 {
    let result = unsafe { syscall(CLOCK_GETTIME, clock, time) } as i32;
    if clock != STEADY || result != 0 {
        return result;
    }
    let time = unsafe { &mut *time };
    let now = time.seconds * NANOS + time.nanoseconds;
    let last = LAST.swap(now, Ordering::SeqCst);
    if last != 0 && now - last > STILL {
        LEFT_OUT.fetch_add(now - last, Ordering::SeqCst);
    }
    let shown = now - LEFT_OUT.load(Ordering::SeqCst);
    *time = Timespec { seconds: shown / NANOS, nanoseconds: shown % NANOS };
    0
}
