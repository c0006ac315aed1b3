use serde::Serialize;

use crate::request_state::RequestState;
use crate::site_plan::as_f64;
use crate::target_checks::target_checks;
use crate::traffic_source::TrafficSource;
use crate::{
    CheckOutcome, FleetRun, PolicyKind, RunFigures, ScenarioPlan, SitePlan, clairvoyant_loads,
};

/// One scenario under all policies, with the clairvoyant limit and the targets.
#[derive(Debug, Clone, Serialize)]
pub struct ComparisonReport {
    /// The site.
    pub site: String,
    /// The scenario.
    pub scenario: String,
    /// What happens in it.
    pub title: String,
    /// The seed.
    pub seed: u64,
    /// Loads per 1,000 requests of the clairvoyant cache, by window.
    pub clairvoyant: Vec<f64>,
    /// Figures by policy, the present one first.
    pub runs: Vec<RunFigures>,
    /// The targets that apply.
    pub checks: Vec<CheckOutcome>,
}

impl ComparisonReport {
    /// Runs a scenario under the given policies.
    #[must_use]
    pub fn measure(
        site: &SitePlan,
        plan: &ScenarioPlan,
        policies: &[PolicyKind],
        seed: u64,
    ) -> Self {
        let runs: Vec<RunFigures> = policies
            .iter()
            // Only the steady targets speak of work in order.
            .filter(|policy| **policy != PolicyKind::InOrder || plan.name.starts_with("steady"))
            .map(|policy| FleetRun::new(site, plan, *policy, seed).run())
            .collect();
        let clairvoyant = clairvoyant_by_window(site, plan, seed);
        let checks = target_checks(site, plan, &runs, &clairvoyant);
        Self {
            site: site.name.to_owned(),
            scenario: plan.name.to_owned(),
            title: plan.title.to_owned(),
            seed,
            clairvoyant,
            runs,
            checks,
        }
    }
}

/// Counts clairvoyant loads per 1,000 arrivals of each window, over the same arrivals.
fn clairvoyant_by_window(site: &SitePlan, plan: &ScenarioPlan, seed: u64) -> Vec<f64> {
    let requests: Vec<RequestState> = TrafficSource::new(plan, site, seed).collect();
    plan.windows
        .iter()
        .map(|window| {
            let to = requests.partition_point(|request| request.arrived_at < window.to);
            let from = requests.partition_point(|request| request.arrived_at < window.from);
            let adapters: Vec<usize> = requests[..to]
                .iter()
                .map(|request| request.adapter)
                .collect();
            let loads = clairvoyant_loads(&adapters, site.slots(), from);
            1_000.0 * as_f64(loads) / as_f64((to - from).max(1))
        })
        .collect()
}
