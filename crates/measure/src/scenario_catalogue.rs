use std::time::Duration;

use comfreychute::id::RequestRank;

use crate::site_plan::RANK_SHARES;
use crate::{FaultKind, ScenarioPlan, SitePlan, TrafficPhase, WindowSpan};

/// Time after which caches and estimates have settled.
const WARM: Duration = Duration::from_mins(20);

/// Start of the disturbance.
const ONSET: Duration = Duration::from_mins(30);

/// End of the disturbance.
const RELIEF: Duration = Duration::from_mins(40);

/// End of arrivals in scenarios with a disturbance.
const END: Duration = Duration::from_mins(55);

/// Lists all scenarios for a site.
#[must_use]
pub fn scenario_catalogue(site: &SitePlan) -> Vec<ScenarioPlan> {
    let base = RANK_SHARES.map(|share| share * site.rate);
    let batch = surge(site, RequestRank::Batch, 10.0);
    let urgent = surge(site, RequestRank::Urgent, 3.0);
    let quarter = [
        (ONSET, FaultKind::StoreSpeed(0.25)),
        (RELIEF, FaultKind::StoreSpeed(1.0)),
    ];
    let cut = [
        (ONSET, FaultKind::DomainCut),
        (RELIEF, FaultKind::DomainHealed),
    ];
    let restart = [(ONSET, FaultKind::RestartThird)];
    let shift = [(ONSET, FaultKind::PopularityShift)];
    vec![
        steady("steady-0.9", "steady traffic, exponent 0.9", 0.9, base),
        steady("steady-1.1", "steady traffic, exponent 1.1", 1.1, base),
        steady("steady-1.3", "steady traffic, exponent 1.3", 1.3, base),
        disturbed("shift", "popularity shift", base, base, &shift),
        disturbed(
            "batch-surge",
            "batch surge at 10 times capacity",
            base,
            batch,
            &[],
        ),
        disturbed(
            "urgent-surge",
            "urgent surge at 3 times capacity",
            base,
            urgent,
            &[],
        ),
        disturbed(
            "restart",
            "restart of a third of the workers",
            base,
            base,
            &restart,
        ),
        disturbed(
            "slow-store",
            "weight store at a quarter speed",
            base,
            base,
            &quarter,
        ),
        disturbed("cut", "one failure domain cut off", base, base, &cut),
        disturbed(
            "batch-shift",
            "batch surge and popularity shift",
            base,
            batch,
            &shift,
        ),
        disturbed(
            "restart-slow",
            "restart of a third and slow weight store",
            base,
            base,
            &[restart[0], quarter[0], quarter[1]],
        ),
        disturbed(
            "urgent-cut",
            "urgent surge and domain cut",
            base,
            urgent,
            &cut,
        ),
        sweep(base),
    ]
}

/// Adds arrivals of one rank, in multiples of what the engines can run of it.
fn surge(site: &SitePlan, rank: RequestRank, factor: f64) -> [f64; 3] {
    let mut rates = RANK_SHARES.map(|share| share * site.rate);
    rates[rank.index()] += factor * site.engine_rate_of(rank);
    rates
}

fn steady(name: &'static str, title: &'static str, exponent: f64, rates: [f64; 3]) -> ScenarioPlan {
    let end = Duration::from_hours(2);
    ScenarioPlan {
        name,
        title,
        exponent,
        phases: vec![phase(Duration::ZERO, rates)],
        faults: Vec::new(),
        windows: vec![window("steady", Duration::from_mins(40), end)],
        end,
    }
}

fn disturbed(
    name: &'static str,
    title: &'static str,
    base: [f64; 3],
    during: [f64; 3],
    faults: &[(Duration, FaultKind)],
) -> ScenarioPlan {
    ScenarioPlan {
        name,
        title,
        exponent: 1.1,
        phases: vec![
            phase(Duration::ZERO, base),
            phase(ONSET, during),
            phase(RELIEF, base),
        ],
        faults: faults.to_vec(),
        windows: vec![
            window("before", WARM, ONSET),
            window("during", ONSET, RELIEF),
            window("after", RELIEF, END),
        ],
        end: END,
    }
}

/// Builds the overnight run: counter traffic goes on while the batch rank carries only the sweep.
fn sweep(base: [f64; 3]) -> ScenarioPlan {
    let counter = [base[0], base[1], 0.0];
    ScenarioPlan {
        name: "sweep",
        title: "sweep over all adapters beside counter traffic",
        exponent: 1.1,
        phases: vec![phase(Duration::ZERO, counter)],
        faults: vec![(ONSET, FaultKind::Sweep)],
        windows: vec![
            window("before", WARM, ONSET),
            window("during", ONSET, RELIEF),
            window("after", RELIEF, Duration::from_mins(65)),
        ],
        end: Duration::from_mins(65),
    }
}

const fn phase(from: Duration, rates: [f64; 3]) -> TrafficPhase {
    TrafficPhase { from, rates }
}

const fn window(name: &'static str, from: Duration, to: Duration) -> WindowSpan {
    WindowSpan { name, from, to }
}
