//! A budget of tokens earned by work done and spent on extra work.

/// Extra attempts (hedges or retries) as a share of first attempts, with a small reserve
/// so that a quiet node can still afford one.
#[derive(Debug, Clone)]
pub struct TokenBudget {
    share: f64,
    reserve: f64,
    tokens: f64,
}

impl TokenBudget {
    /// A full budget that earns `share` of a token for each first attempt, and holds at
    /// most `reserve` tokens.
    pub fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, tokens: reserve }
    }

    /// Notes `count` first attempts.
    pub fn earn(&mut self, count: u32) {
        self.tokens = (self.tokens + self.share * f64::from(count)).min(self.reserve);
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
