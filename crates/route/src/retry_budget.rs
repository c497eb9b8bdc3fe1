//! The retry budget: retries may be only a small share of requests.

/// A bucket that requests fill and retries empty.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
}

/// Retries allowed for each request.
const SHARE: f64 = 0.05;

/// Most retries saved up.
const MOST: f64 = 10.0;

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MOST }
    }
}

impl RetryBudget {
    /// A request arrived.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + SHARE).min(MOST);
    }

    /// Whether a retry is allowed; takes it from the budget.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
