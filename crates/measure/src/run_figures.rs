use serde::Serialize;

use crate::WindowFigures;

/// Figures of one run of one scenario under one policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunFigures {
    /// The policy.
    pub policy: String,
    /// Figures by window.
    pub windows: Vec<WindowFigures>,
    /// Seconds from the start of a sweep to the last answer to it, if all of it was answered.
    pub sweep_seconds: Option<f64>,
    /// Most loads started in any ten seconds.
    pub most_loads_in_ten_seconds: u64,
    /// Requests that ended neither dispatched nor refused by the end of the run.
    pub unfinished: u64,
    /// Dispatches per second by slices of 10 s and rank, for plots.
    #[serde(skip)]
    pub served_slices: Vec<[f64; 3]>,
    /// Stalled requests per second by slices of 10 s, for plots.
    #[serde(skip)]
    pub stalled_slices: Vec<f64>,
}
