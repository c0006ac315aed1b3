use clap::Args;
use serde_json::json;

use super::CommandReport;
use crate::error::{InputFault, InputPlace};
use crate::settings::{NodeSettings, SettingSources};
use crate::table::TableFiles;

/// Checks tables, settings or both, and reports all faults.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute check --routes routes.toml --pools pools.toml --settings node.toml")]
pub struct CheckCommand {
    /// The file with the routes; needs --pools.
    #[arg(
        long,
        value_name = "FILE",
        requires = "pools",
        required_unless_present = "settings"
    )]
    pub routes: Option<String>,
    /// The file with the pools and the weight stores; needs --routes.
    #[arg(long, value_name = "FILE", requires = "routes")]
    pub pools: Option<String>,
    /// The settings file; environment variables and --set apply as for a node.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<String>,
    /// Overrides a setting; may be repeated.
    #[arg(long, value_name = "SECTION.KEY=VALUE", requires = "settings")]
    pub set: Vec<String>,
}

impl CheckCommand {
    pub(super) fn run(&self) -> CommandReport {
        let mut faults = Vec::new();
        let mut checked = Vec::new();
        if let (Some(routes), Some(pools)) = (&self.routes, &self.pools) {
            let tables = TableFiles::from_paths(routes, pools).and_then(|files| files.parse());
            faults.extend(tables.err().unwrap_or_default());
            checked.extend([routes.as_str(), pools.as_str()]);
        }
        let mut is_secret_missing = false;
        if let Some(path) = &self.settings {
            let settings = SettingSources::from_path(path, &self.set)
                .map_err(|fault| vec![fault])
                .and_then(|sources| NodeSettings::from_sources(&sources));
            match settings {
                Ok(settings) => is_secret_missing = settings.peer.secret.is_none(),
                Err(found) => faults.extend(found),
            }
            checked.push(path);
        }
        if !faults.is_empty() {
            return report_faults(faults);
        }
        let mut text = format!("no faults in {}", checked.join(", "));
        if is_secret_missing {
            text.push_str(
                "\nnote: peer.secret is not set, so any process that reaches the peer port can join",
            );
        }
        CommandReport::done(text, json!({ "faults": [], "checked": checked }))
    }
}

fn report_faults(mut faults: Vec<InputFault>) -> CommandReport {
    faults.sort_by(|left, right| {
        // Faults in variables and flags come after those in the files that they override.
        let is_file = |fault: &InputFault| matches!(fault.place, InputPlace::Line { .. });
        is_file(right)
            .cmp(&is_file(left))
            .then_with(|| left.cmp(right))
    });
    CommandReport::from_faults(&faults)
}
