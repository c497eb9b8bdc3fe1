//! The retry budget, which limits retries to a small share of requests.

/// A token bucket that requests fill and retries drain.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

/// Retries earned by each request.
const RETRY_SHARE: f64 = 0.05;

/// Maximum number of retries in the bucket.
const MAX_TOKENS: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the share of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; returns whether it was allowed.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
