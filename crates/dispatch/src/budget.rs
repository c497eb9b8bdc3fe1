//! The budget for repeated sendings, of which each host holds a share.

use std::collections::VecDeque;
use vanetally_types::Tick;

/// What all hosts together may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Repeats for each request.
    pub ratio: f64,
    /// The sliding window, in milliseconds.
    pub window_ms: u64,
    /// Repeats beyond the ratio in one window.
    pub slack: f64,
}

/// This host's share of the budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    hosts: usize,
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
}

/// Share of the bound that is used: clocks and windows of hosts don't line up.
const SAFETY_FACTOR: f64 = 0.8;

/// Hosts that may live beside those that are known.
const SPARE_HOSTS: usize = 2;

impl RetryBudget {
    /// An untouched budget.
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self { options, hosts: 1, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// The slack is shared by `hosts` that may live.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// A request arrived.
    pub fn record_request(&mut self, now: Tick) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Whether a repeat is allowed now; takes it from the budget.
    pub fn try_spend(&mut self, now: Tick) -> bool {
        self.forget(now);
        let slack = self.options.slack / (self.hosts + SPARE_HOSTS) as f64;
        let allowed = SAFETY_FACTOR * (self.options.ratio * self.requests.len() as f64 + slack);
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn forget(&mut self, now: Tick) {
        let window = self.options.window_ms;
        let is_expired = |at: &Tick| now.since(*at) > window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
