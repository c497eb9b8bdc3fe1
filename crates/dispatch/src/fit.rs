//! Linear fit of observed times: a constant part, and a part per token.

/// Least squares with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinearFit {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

/// Weight and tokens of the two samples that represent the initial assumption.
const PRIOR_WEIGHT: f64 = 2.0;
const PRIOR_TOKENS: f64 = 1_000.0;
/// Factor by which the weight of older samples decays with each new one.
const DECAY: f64 = 0.99;

impl LinearFit {
    /// Creates a fit that starts at `base_ms` with a slope of `per_token_ms`.
    pub(crate) fn new(base_ms: f64, per_token_ms: f64) -> Self {
        let mut fit =
            Self { weight: 0.0, tokens: 0.0, millis: 0.0, tokens_squared: 0.0, tokens_millis: 0.0 };
        fit.add(PRIOR_WEIGHT, 0.0, base_ms);
        fit.add(PRIOR_WEIGHT, PRIOR_TOKENS, base_ms + PRIOR_TOKENS * per_token_ms);
        fit
    }

    /// Adds the time that a prompt of `tokens` took.
    pub(crate) fn observe(&mut self, tokens: f64, millis: f64) {
        self.weight *= DECAY;
        self.tokens *= DECAY;
        self.millis *= DECAY;
        self.tokens_squared *= DECAY;
        self.tokens_millis *= DECAY;
        self.add(1.0, tokens, millis);
    }

    fn add(&mut self, weight: f64, tokens: f64, millis: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.millis += weight * millis;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_millis += weight * tokens * millis;
    }

    /// Returns the constant part and the part per token, in milliseconds; neither is negative.
    pub(crate) fn base_and_slope(&self) -> (f64, f64) {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let mean_ms = self.millis / self.weight;
        if spread <= f64::EPSILON {
            return (mean_ms, 0.0);
        }
        let slope = (self.weight * self.tokens_millis - self.tokens * self.millis) / spread;
        let slope = slope.max(0.0);
        let base_ms = (mean_ms - slope * self.tokens / self.weight).max(0.0);
        (base_ms, slope)
    }
}
