use serde::Serialize;

use crate::RankFigures;

/// Figures of one window.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WindowFigures {
    /// The name of the window.
    pub name: String,
    /// Length in seconds.
    pub seconds: f64,
    /// Loads started in the window.
    pub loads: u64,
    /// Loads per 1,000 requests that were dispatched in the window.
    pub loads_per_thousand: f64,
    /// Share of the places that could have been filled that were filled.
    pub occupancy: f64,
    /// Share of all places that were filled.
    pub utilisation: f64,
    /// Tokens of answers that met their deadline, relative to what the engines can produce.
    pub goodput: f64,
    /// Share of requests dispatched in the window that were stalled, by slices of 30 s.
    pub stall_slices: Vec<f64>,
    /// Figures by rank, the most urgent first.
    pub ranks: [RankFigures; 3],
}
