use std::path::Path;

use plotters::prelude::*;

use comfreychute::id::RequestRank;

use crate::ComparisonReport;

/// Length of a slice in seconds.
const SLICE: f64 = 10.0;

/// Writes the curves of a report as `<site>-<scenario>.svg`.
///
/// The upper half shows dispatches per second by rank under the present policy, the lower half
/// stalled requests per second under every policy.
///
/// # Errors
///
/// Returns the description of a failed write.
pub fn write_plot(report: &ComparisonReport, directory: &Path) -> Result<(), String> {
    let path = directory.join(format!("{}-{}.svg", report.site, report.scenario));
    draw(report, &path).map_err(|error| format!("{}: {error}", path.display()))
}

fn draw(report: &ComparisonReport, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(320);
    let Some(present) = report.runs.first() else {
        return Ok(());
    };
    let served = RequestRank::ALL.map(|rank| {
        let curve = present
            .served_slices
            .iter()
            .map(|slice| slice[rank.index()])
            .collect();
        (rank.as_str().to_owned(), curve)
    });
    let title = format!("{} {}: dispatches per second", report.site, report.scenario);
    draw_curves(&upper, &title, &served)?;
    let stalled: Vec<(String, Vec<f64>)> = report
        .runs
        .iter()
        .map(|run| (run.policy.clone(), run.stalled_slices.clone()))
        .collect();
    draw_curves(&lower, "requests stalled by a load, per second", &stalled)?;
    root.present()?;
    Ok(())
}

fn draw_curves(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    curves: &[(String, Vec<f64>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let longest = curves
        .iter()
        .map(|(_, curve)| curve.len())
        .max()
        .unwrap_or(0);
    let highest = curves
        .iter()
        .flat_map(|(_, curve)| curve)
        .fold(1.0, |highest, value| f64::max(highest, *value));
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds(longest), 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("time in seconds")
        .light_line_style(WHITE)
        .draw()?;
    for (index, (name, curve)) in curves.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = curve
            .iter()
            .enumerate()
            .map(|(slice, value)| (seconds(slice), *value));
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

fn seconds(slices: usize) -> f64 {
    f64::from(u32::try_from(slices).unwrap_or(u32::MAX)) * SLICE
}
