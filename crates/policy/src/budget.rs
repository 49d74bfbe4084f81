//! Budgets of tokens earned by work done and spent on extra work.

/// Extra attempts as a share of first attempts, with a small reserve so that a quiet
/// upstream can still afford one.
#[derive(Debug, Clone)]
pub struct TokenBudget {
    reserve: f64,
    tokens: f64,
}

impl TokenBudget {
    /// A full budget that holds at most `reserve` tokens.
    pub fn new(reserve: f64) -> Self {
        Self { reserve, tokens: reserve }
    }

    /// Notes one first attempt, which earns `share` of a token.
    pub fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.reserve);
    }

    /// Takes one token if there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
