//! Measures what nodes cost by fleet size; `docs/CAPACITY.md` scales the figures.

mod capacity_figures;
mod capacity_fleet;
mod capacity_run;
mod capacity_settings;
mod phase_figures;
mod process_usage;

pub use capacity_figures::CapacityFigures;
pub use capacity_fleet::CapacityFleet;
pub use capacity_run::CapacityRun;
pub use capacity_settings::CapacitySettings;
pub use phase_figures::PhaseFigures;
pub use process_usage::ProcessUsage;
