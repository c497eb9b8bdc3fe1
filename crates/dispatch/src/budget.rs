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
    repeats: VecDeque<Tick>,
}

/// Share of the bound that is used: clocks and windows of hosts don't line up.
const SAFETY: f64 = 0.8;

/// Hosts that may live beside those that are known.
const UNKNOWN_HOSTS: usize = 2;

impl RetryBudget {
    /// An untouched budget.
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self { options, hosts: 1, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// The slack is shared by `hosts` that may live.
    pub fn share_among(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// A request arrived.
    pub fn earn(&mut self, now: Tick) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Whether a repeat is allowed now; takes it from the budget.
    pub fn try_spend(&mut self, now: Tick) -> bool {
        self.forget(now);
        let slack = self.options.slack / (self.hosts + UNKNOWN_HOSTS) as f64;
        let most = SAFETY * (self.options.ratio * self.requests.len() as f64 + slack);
        if (self.repeats.len() + 1) as f64 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Tick) {
        let window = self.options.window_ms;
        let is_old = |at: &Tick| now.since(*at) > window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}
