use std::fmt::Write as _;

use comfreychute::id::RequestRank;

use crate::{ComparisonReport, RunFigures, WindowFigures};

/// Formats a report as text tables.
#[must_use]
pub fn report_table(report: &ComparisonReport) -> String {
    let mut text = format!(
        "\n{} / {}: {} (seed {})\n",
        report.site, report.scenario, report.title, report.seed
    );
    text.push_str(
        "policy        window  rank      offered   served  refused  late  stall%   p50 ms    p99 ms  \
         kept  loads/1000  clairv.  occup.  goodput\n",
    );
    for run in &report.runs {
        for (index, window) in run.windows.iter().enumerate() {
            let limit = report.clairvoyant.get(index).copied().unwrap_or(0.0);
            push_window(&mut text, run, window, limit);
        }
    }
    for run in &report.runs {
        push_notes(&mut text, run);
    }
    for check in &report.checks {
        let mark = if check.is_met { "met    " } else { "NOT MET" };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "  {mark} {}: {:.3} (limit {:.3})",
            check.target, check.figure, check.limit
        );
    }
    text
}

fn push_window(text: &mut String, run: &RunFigures, window: &WindowFigures, limit: f64) {
    for rank in RequestRank::ALL {
        let figures = &window.ranks[rank.index()];
        if figures.offered == 0 {
            continue;
        }
        let stalled = 100.0 * ratio(figures.stalled, figures.offered);
        let _ = write!(
            text,
            "{:<13} {:<7} {:<9} {:>7} {:>8} {:>8} {:>5} {:>7.1} {:>8.1} {:>9.1} {:>5.2}",
            run.policy,
            window.name,
            rank.as_str(),
            figures.offered,
            figures.served,
            figures.refused,
            figures.late,
            stalled,
            figures.wait_p50_ms,
            figures.wait_p99_ms,
            figures.kept,
        );
        if rank == RequestRank::Urgent {
            let _ = write!(
                text,
                "  {:>10.1}  {:>7.1}  {:>6.3}  {:>5.3}",
                window.loads_per_thousand, limit, window.occupancy, window.goodput
            );
        }
        text.push('\n');
    }
}

fn push_notes(text: &mut String, run: &RunFigures) {
    let _ = write!(
        text,
        "  {}: at most {} loads in 10 s",
        run.policy, run.most_loads_in_ten_seconds
    );
    if let Some(seconds) = run.sweep_seconds {
        let _ = write!(text, ", sweep {seconds:.0} s");
    }
    if run.unfinished > 0 {
        let _ = write!(text, ", {} requests unfinished", run.unfinished);
    }
    text.push('\n');
}

fn ratio(part: u64, whole: u64) -> f64 {
    let to_f64 = |count| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    to_f64(part) / to_f64(whole.max(1))
}
