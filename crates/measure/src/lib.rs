//! Runs the decision code of comfreychute in virtual time and compares it with simpler policies.
//!
//! [`FleetRun`] replays one [`ScenarioPlan`] against small fakes of engines, weight store and
//! network. [`ComparisonReport`] runs a scenario under every [`PolicyKind`], adds the clairvoyant
//! number of loads and checks the targets of the design page.

mod baseline_placement;
mod check_outcome;
mod clairvoyant_count;
mod comparison_report;
mod event_queue;
mod fault_kind;
mod fleet_event;
mod fleet_holders;
mod fleet_run;
mod fleet_view;
mod fleet_worker;
mod plot_chart;
mod policy_kind;
mod rank_figures;
mod report_table;
mod request_state;
mod run_figures;
mod run_record;
mod scenario_catalogue;
mod scenario_plan;
mod site_plan;
mod store_fake;
mod target_checks;
mod traffic_source;
mod window_figures;
mod zipf_table;

pub use check_outcome::CheckOutcome;
pub use clairvoyant_count::clairvoyant_loads;
pub use comparison_report::ComparisonReport;
pub use fault_kind::FaultKind;
pub use fleet_run::FleetRun;
pub use plot_chart::write_plot;
pub use policy_kind::PolicyKind;
pub use rank_figures::RankFigures;
pub use report_table::report_table;
pub use run_figures::RunFigures;
pub use scenario_catalogue::scenario_catalogue;
pub use scenario_plan::{ScenarioPlan, TrafficPhase, WindowSpan};
pub use site_plan::SitePlan;
pub use window_figures::WindowFigures;
