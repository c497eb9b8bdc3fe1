//! Limits log lines whose number depends on what others write.

use crate::clock::Clock;
use std::{cell::RefCell, collections::HashMap};
use vanetally_types::Tick;

/// Log lines of one kind in one [`WINDOW_MS`].
const MAX_LINES: u32 = 16;
const WINDOW_MS: u64 = 60_000;

/// Limits the log lines of each kind.
pub(crate) struct LogLimit {
    clock: Clock,
    windows: RefCell<HashMap<&'static str, Window>>,
}

/// The lines of one kind since `began`.
struct Window {
    began: Tick,
    lines: u32,
    /// Events without a line.
    passed_over: u64,
}

impl LogLimit {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, windows: RefCell::default() }
    }

    /// Returns the number of earlier events of this kind without a line, if this one may have a line.
    pub(crate) fn admit(&self, kind: &'static str) -> Option<u64> {
        let now = self.clock.now();
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(kind).or_insert(Window { began: now, lines: 0, passed_over: 0 });
        if now.since(window.began) >= WINDOW_MS {
            (window.began, window.lines) = (now, 0);
        }
        if window.lines >= MAX_LINES {
            window.passed_over += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.passed_over))
    }
}
