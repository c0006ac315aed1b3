/// What a workspace may use across all instances: a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceSpec {
    /// Units per second by which the bucket fills.
    pub rate: f64,
    /// Units that the bucket holds.
    pub burst: f64,
    /// What is counted.
    pub unit: AllowanceUnit,
}

/// What an allowance counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowanceUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and its maximum number of output tokens.
    Tokens {
        /// The tokens as which a request without token counts counts.
        plain: u32,
    },
}

impl AllowanceSpec {
    /// Returns the units of a request; `token_counts` are its prompt tokens and its maximum number of
    /// output tokens, or `None` if it states none.
    #[must_use]
    pub fn cost(&self, token_counts: Option<(u32, u32)>) -> f64 {
        match (self.unit, token_counts) {
            (AllowanceUnit::Requests, _) => 1.0,
            (AllowanceUnit::Tokens { .. }, Some((prompt, output))) => {
                f64::from(prompt) + f64::from(output)
            }
            (AllowanceUnit::Tokens { plain }, None) => f64::from(plain),
        }
    }
}
