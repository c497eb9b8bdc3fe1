//! Retry budget of a service, of which each host has a share.

use std::collections::VecDeque;
use vanetally_types::Tick;

/// Bounds on the retries of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
    /// Retries per window in addition to the ratio.
    pub slack: f64,
}

/// This host's share of the retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    hosts: usize,
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
}

/// Share of the budget that is used: clocks and windows of the hosts are not aligned.
const SAFETY_FACTOR: f64 = 0.8;

/// Hosts that may exist in addition to the known ones.
const SPARE_HOSTS: usize = 2;

impl RetryBudget {
    /// Creates a full budget for a single host.
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self { options, hosts: 1, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Sets the number of hosts that share the slack.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self, now: Tick) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget if one is left. Returns whether it did.
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
