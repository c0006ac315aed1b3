use serde::Serialize;

/// A target of the design page and whether a run met it.
#[derive(Debug, Clone, Serialize)]
pub struct CheckOutcome {
    /// The target.
    pub target: String,
    /// The limit.
    pub limit: f64,
    /// The measured figure.
    pub figure: f64,
    /// Whether the figure keeps the limit.
    pub is_met: bool,
}

impl CheckOutcome {
    /// Checks a figure that must not exceed a limit.
    #[must_use]
    pub fn at_most(target: &str, figure: f64, limit: f64) -> Self {
        Self {
            target: target.to_owned(),
            limit,
            figure,
            is_met: figure <= limit,
        }
    }

    /// Checks a figure that must reach a limit.
    #[must_use]
    pub fn at_least(target: &str, figure: f64, limit: f64) -> Self {
        Self {
            target: target.to_owned(),
            limit,
            figure,
            is_met: figure >= limit,
        }
    }
}
