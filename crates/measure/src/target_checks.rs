use crate::{CheckOutcome, RankFigures, RunFigures, ScenarioPlan, SitePlan, WindowFigures};

/// Checks the policy targets of the design page that apply to a scenario.
///
/// The present policy must be the first run; baselines are found by name.
pub(crate) fn target_checks(
    site: &SitePlan,
    plan: &ScenarioPlan,
    runs: &[RunFigures],
    clairvoyant: &[f64],
) -> Vec<CheckOutcome> {
    let Some(present) = runs.first() else {
        return Vec::new();
    };
    let mut checks = vec![refusals(present)];
    if plan.name.starts_with("steady") {
        steady(present, runs, clairvoyant, &mut checks);
    }
    let window = |name: &str| present.windows.iter().find(|window| window.name == name);
    let (Some(before), Some(during), Some(after)) =
        (window("before"), window("during"), window("after"))
    else {
        return checks;
    };
    if plan.name.starts_with("batch") {
        batch_surge(before, during, &mut checks);
    }
    if plan.name.starts_with("urgent") {
        urgent_surge(during, &mut checks);
    }
    if plan.name == "sweep" {
        sweep(site, present, before, during, &mut checks);
    }
    if ["shift", "restart", "restart-slow"].contains(&plan.name) {
        recovery(site, plan, before, during, after, &mut checks);
    }
    checks
}

fn refusals(present: &RunFigures) -> CheckOutcome {
    let late: u64 = present
        .windows
        .iter()
        .flat_map(|window| &window.ranks)
        .map(|rank| rank.refused_late)
        .sum();
    CheckOutcome::at_most("requests refused after their deadline", to_f64(late), 0.0)
}

fn steady(
    present: &RunFigures,
    runs: &[RunFigures],
    clairvoyant: &[f64],
    checks: &mut Vec<CheckOutcome>,
) {
    let Some(window) = present.windows.first() else {
        return;
    };
    let loads = window.loads_per_thousand;
    let limit = clairvoyant.first().copied().unwrap_or(0.0);
    checks.push(CheckOutcome::at_most(
        "loads relative to clairvoyant, batch grouped",
        ratio(loads, limit),
        1.0,
    ));
    let baseline = |name: &str| {
        runs.iter()
            .find(|run| run.policy == name)
            .and_then(|run| run.windows.first())
    };
    if let Some(in_order) = baseline("in-order") {
        checks.push(CheckOutcome::at_most(
            "loads relative to clairvoyant, in order",
            ratio(in_order.loads_per_thousand, limit),
            1.2,
        ));
    }
    let (Some(least), Some(hashed)) = (baseline("least-loaded"), baseline("rendezvous")) else {
        return;
    };
    checks.push(CheckOutcome::at_most(
        "loads relative to least-loaded",
        ratio(loads, least.loads_per_thousand),
        0.5,
    ));
    checks.push(CheckOutcome::at_most(
        "loads relative to rendezvous",
        ratio(loads, hashed.loads_per_thousand),
        0.75,
    ));
    let best = stall_share(&least.ranks[0]).min(stall_share(&hashed.ranks[0]));
    checks.push(CheckOutcome::at_most(
        "urgent stalls relative to the better baseline",
        ratio(stall_share(&window.ranks[0]), best),
        1.0 / 3.0,
    ));
}

fn batch_surge(before: &WindowFigures, during: &WindowFigures, checks: &mut Vec<CheckOutcome>) {
    checks.push(CheckOutcome::at_most(
        "urgent 99th percentile wait relative to before the surge",
        ratio(during.ranks[0].wait_p99_ms, before.ranks[0].wait_p99_ms),
        1.2,
    ));
    checks.push(CheckOutcome::at_least(
        "share of standard requests served relative to before",
        ratio(
            served_share(&during.ranks[1]),
            served_share(&before.ranks[1]),
        ),
        1.0,
    ));
    checks.push(CheckOutcome::at_least(
        "batch occupancy",
        during.occupancy,
        0.95,
    ));
    checks.push(CheckOutcome::at_least(
        "goodput relative to engine capacity",
        during.goodput,
        0.95,
    ));
}

fn urgent_surge(during: &WindowFigures, checks: &mut Vec<CheckOutcome>) {
    for (index, name) in [(1, "standard"), (2, "batch")] {
        checks.push(CheckOutcome::at_least(
            &format!("share of its floor that the {name} rank keeps"),
            during.ranks[index].kept,
            0.9,
        ));
    }
    checks.push(CheckOutcome::at_least(
        "goodput relative to engine capacity",
        during.goodput,
        0.95,
    ));
}

fn sweep(
    site: &SitePlan,
    present: &RunFigures,
    before: &WindowFigures,
    during: &WindowFigures,
    checks: &mut Vec<CheckOutcome>,
) {
    let least =
        f64::from(u32::try_from(site.adapters).unwrap_or(u32::MAX)) / site.store.loads_per_second;
    checks.push(CheckOutcome::at_most(
        "sweep time relative to the load-bound minimum",
        present.sweep_seconds.unwrap_or(f64::INFINITY) / least,
        1.1,
    ));
    checks.push(CheckOutcome::at_most(
        "urgent 99th percentile wait relative to before the sweep",
        ratio(during.ranks[0].wait_p99_ms, before.ranks[0].wait_p99_ms),
        1.2,
    ));
    for (index, name) in [(0, "urgent"), (1, "standard")] {
        checks.push(CheckOutcome::at_least(
            &format!("share of {name} requests served relative to before"),
            ratio(
                served_share(&during.ranks[index]),
                served_share(&before.ranks[index]),
            ),
            1.0,
        ));
    }
}

/// Compares the time until stalls are back at the steady level with the time for the loads.
fn recovery(
    site: &SitePlan,
    plan: &ScenarioPlan,
    before: &WindowFigures,
    during: &WindowFigures,
    after: &WindowFigures,
    checks: &mut Vec<CheckOutcome>,
) {
    let speed = if plan.name == "restart-slow" {
        0.25
    } else {
        1.0
    };
    let slots = f64::from(u32::try_from(site.slots()).unwrap_or(u32::MAX));
    let lost = if plan.name == "shift" {
        slots
    } else {
        slots / 3.0
    };
    let needed = lost / (site.store.loads_per_second * speed);
    let steady = mean(&before.stall_slices);
    let slices = during.stall_slices.iter().chain(&after.stall_slices);
    let slices: Vec<f64> = slices.copied().collect();
    // Two slices in a row within a tenth above the steady level count as recovered.
    let recovered = slices
        .windows(2)
        .position(|pair| mean(pair) <= steady * 1.1);
    let seconds = recovered.map_or(f64::INFINITY, |index| {
        f64::from(u32::try_from(index).unwrap_or(u32::MAX)) * 30.0
    });
    checks.push(CheckOutcome::at_most(
        "seconds until stalls are at the steady level",
        seconds,
        (needed / 30.0).ceil() * 30.0,
    ));
}

fn stall_share(rank: &RankFigures) -> f64 {
    ratio(to_f64(rank.stalled), to_f64(rank.offered))
}

fn served_share(rank: &RankFigures) -> f64 {
    ratio(to_f64(rank.served), to_f64(rank.offered))
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len().max(1)).unwrap_or(u32::MAX);
    values.iter().sum::<f64>() / f64::from(count)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
