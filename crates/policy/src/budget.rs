//! Token budgets for hedges and retries: first attempts earn tokens, extra attempts spend them.

/// A budget that limits extra attempts to a share of first attempts, with a small reserve so that an upstream with
/// little traffic can still afford one.
#[derive(Debug, Clone)]
pub struct TokenBudget {
    reserve: f64,
    tokens: f64,
}

impl TokenBudget {
    /// Creates a full budget that holds at most `reserve` tokens.
    pub fn new(reserve: f64) -> Self {
        Self { reserve, tokens: reserve }
    }

    /// Records one first attempt, which earns `share` of a token.
    pub fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.reserve);
    }

    /// Takes one token; false if there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
