use clap::Args;

use super::CommandReport;
use crate::error::Result;
use crate::settings::{NodeSettings, SettingSources};
use crate::telemetry::{JsonLogger, LogEvent, LogName};

/// Runs a node until SIGTERM or SIGINT.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute node --settings node.toml --set telemetry.log_level=debug")]
pub struct NodeCommand {
    /// The settings file.
    #[arg(
        long,
        value_name = "FILE",
        env = "COMFREYCHUTE_SETTINGS",
        hide_env_values = true
    )]
    pub settings: String,
    /// Overrides a setting; may be repeated.
    #[arg(long, value_name = "SECTION.KEY=VALUE")]
    pub set: Vec<String>,
}

impl NodeCommand {
    pub(super) async fn run(self) -> Result<CommandReport> {
        let settings = SettingSources::from_path(&self.settings, &self.set)
            .map_err(|fault| vec![fault])
            .and_then(|sources| NodeSettings::from_sources(&sources));
        let settings = match settings {
            Ok(settings) => settings,
            Err(faults) => return Ok(CommandReport::from_faults(&faults)),
        };
        let level = settings.telemetry.log_level.to_filter();
        JsonLogger::new(level, std::io::stderr()).install(level)?;
        match crate::node::run(settings).await {
            Ok(()) => Ok(CommandReport::done("", serde_json::Value::Null)),
            Err(error) => {
                LogEvent::new(LogName::StartFailed)
                    .with("reason", &error)
                    .send();
                // The error is already logged; a text report would break the JSON lines on standard
                // error.
                let report = CommandReport::from_error(&error);
                Ok(CommandReport::new(report.exit, "", report.json))
            }
        }
    }
}
