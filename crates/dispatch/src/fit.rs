//! A line through observed times: a part that is always there, and one for each token.

/// Least squares over samples of which older ones count less.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinearFit {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

/// What is assumed before anything is observed: two samples of this weight each, at these tokens.
const PRIOR_WEIGHT: f64 = 2.0;
const PRIOR_TOKENS: f64 = 1_000.0;
/// What an older sample still counts when a new one comes.
const DECAY: f64 = 0.99;

impl LinearFit {
    /// A line that begins with `base_ms` and rises by `per_token_ms`.
    pub(crate) fn new(base_ms: f64, per_token_ms: f64) -> Self {
        let mut fit =
            Self { weight: 0.0, tokens: 0.0, millis: 0.0, tokens_squared: 0.0, tokens_millis: 0.0 };
        fit.add(PRIOR_WEIGHT, 0.0, base_ms);
        fit.add(PRIOR_WEIGHT, PRIOR_TOKENS, base_ms + PRIOR_TOKENS * per_token_ms);
        fit
    }

    /// A prompt of `tokens` took `millis`.
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

    /// Milliseconds of the part that is always there, and of one token; neither is negative.
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
