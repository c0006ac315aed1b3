//! Measures the decision code in virtual time and checks the targets of the design page.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use clap::{Parser, ValueEnum};

use comfreychute_measure::{
    ComparisonReport, PolicyKind, ScenarioPlan, SitePlan, report_table, scenario_catalogue,
    write_plot,
};

/// Runs scenarios in virtual time and compares the policies; the same seed gives the same figures.
#[derive(Debug, Parser)]
#[command(name = "comfreychute-measure", version)]
struct MeasureArgs {
    /// Measures only this site: lanka or brannock
    #[arg(long)]
    site: Option<String>,

    /// Measures only scenarios whose name starts with this text
    #[arg(long)]
    scenario: Option<String>,

    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// Form of the output
    #[arg(long, value_enum, default_value_t = OutputForm::Table)]
    output: OutputForm,

    /// Directory that receives one SVG plot per scenario
    #[arg(long)]
    plots: Option<PathBuf>,

    /// Runs only the present policy, without comparisons
    #[arg(long)]
    present_only: bool,

    /// Scenarios that run side by side
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum OutputForm {
    Table,
    Json,
}

fn main() -> ExitCode {
    let args = MeasureArgs::parse();
    let reports = measure(&args);
    if let Some(directory) = &args.plots {
        for report in &reports {
            if let Err(error) = write_plot(report, directory) {
                eprintln!("cannot write the plot {error}; check that the directory exists");
                return ExitCode::FAILURE;
            }
        }
    }
    match args.output {
        OutputForm::Table => {
            for report in &reports {
                print!("{}", report_table(report));
            }
        }
        OutputForm::Json => match serde_json::to_string_pretty(&reports) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("cannot write the figures as JSON: {error}");
                return ExitCode::FAILURE;
            }
        },
    }
    ExitCode::SUCCESS
}

/// Runs the chosen scenarios on a few threads and returns the reports in the order of the catalogue.
fn measure(args: &MeasureArgs) -> Vec<ComparisonReport> {
    let plans: Vec<(SitePlan, ScenarioPlan)> = [SitePlan::lanka(), SitePlan::brannock()]
        .into_iter()
        .filter(|site| args.site.as_ref().is_none_or(|name| name == site.name))
        .flat_map(|site| {
            scenario_catalogue(&site)
                .into_iter()
                .map(move |plan| (site.clone(), plan))
        })
        .filter(|(_, plan)| {
            args.scenario
                .as_ref()
                .is_none_or(|prefix| plan.name.starts_with(prefix))
        })
        .collect();
    let policies = if args.present_only {
        &PolicyKind::ALL[..1]
    } else {
        &PolicyKind::ALL[..]
    };
    let next = AtomicUsize::new(0);
    let reports = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..args.threads.clamp(1, 16) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((site, plan)) = plans.get(index) else {
                        return;
                    };
                    let report = ComparisonReport::measure(site, plan, policies, args.seed);
                    if let Ok(mut reports) = reports.lock() {
                        reports.push((index, report));
                    }
                }
            });
        }
    });
    let mut reports = reports.into_inner().unwrap_or_default();
    reports.sort_by_key(|(index, _)| *index);
    reports.into_iter().map(|(_, report)| report).collect()
}
