use std::path::PathBuf;

use clap::Args;
use serde::Serialize;
use serde_json::json;

use super::{CommandReport, PlatformArgs, revision_header};
use crate::config::StoredTables;
use crate::error::{Error, ErrorKind, Result};
use crate::telemetry::timestamp;

/// Shows the accepted tables, or writes them to files for editing.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute show --platform 10.0.0.2:7000 --directory tables")]
pub struct ShowCommand {
    #[command(flatten)]
    platform: PlatformArgs,
    /// Writes routes.toml and pools.toml into this directory.
    #[arg(long, value_name = "DIRECTORY")]
    directory: Option<PathBuf>,
}

impl ShowCommand {
    pub(super) async fn run(self) -> Result<CommandReport> {
        let stored = StoredTables::read(&self.platform.to_store()).await?;
        let tables = stored.tables;
        let header = revision_header::to_header(tables.revision);
        let routes = to_toml("routes", &tables.routes)?;
        let pools = to_toml("pools", &tables.pools)?;
        let json = json!({ "tables": tables });
        let Some(directory) = &self.directory else {
            let edited_at = timestamp(tables.edited_at_ms / 1_000, 0);
            return Ok(CommandReport::done(
                format!(
                    "{header}# edited by {} at {edited_at}, operation {}\n\n{routes}\n{pools}",
                    tables.author, tables.operation
                ),
                json,
            ));
        };
        for (name, text) in [("routes.toml", &routes), ("pools.toml", &pools)] {
            let path = directory.join(name);
            std::fs::create_dir_all(directory)
                .and_then(|()| std::fs::write(&path, format!("{header}{text}")))
                .map_err(|error| {
                    Error::new(ErrorKind::Settings, format!("{}: {error}", path.display()))
                })?;
        }
        Ok(CommandReport::done(
            format!(
                "wrote revision {} to {}",
                tables.revision,
                directory.display()
            ),
            json,
        ))
    }
}

fn to_toml(name: &str, table: &impl Serialize) -> Result<String> {
    toml::to_string_pretty(table)
        .map_err(|error| Error::new(ErrorKind::Internal, format!("{name}: {error}")))
}
