//! What a run of the soak brought.

use crate::invariants::Violation;
use std::fmt;

/// Result of a run.
pub struct Report {
    pub seed: u64,
    pub hosts: usize,
    pub requests: usize,
    pub served: usize,
    /// Streams that callers took up, and those of them that went on.
    pub taken_up: (usize, usize),
    /// Stated limit of the rate-limited runner.
    pub rate: f64,
    /// Maximum number of requests in a window that counted against the limit.
    pub max_in_window: usize,
    /// Number of runner crashes caused by the crash body.
    pub crashes: usize,
    pub violations: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, hosts, requests, served, taken_up, rate, max_in_window, .. } = self;
        let Self { crashes, violations, .. } = self;
        write!(f, "seed={seed} hosts={hosts} requests={requests} served={served}")?;
        write!(f, " taken_up={} went_on={}", taken_up.0, taken_up.1)?;
        write!(f, " limit={rate} max_in_window={max_in_window} crashes={crashes}")?;
        write!(f, " violations={}", violations.len())?;
        violations.iter().try_for_each(|violation| write!(f, "\n    {violation}"))
    }
}
