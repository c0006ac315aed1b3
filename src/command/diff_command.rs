use clap::Args;
use serde_json::json;

use super::{CommandReport, FileArgs, PlatformArgs};
use crate::config::{StoredTables, TableDifference};
use crate::error::Result;

/// Shows what an apply of both files would change.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute diff --platform 10.0.0.2:7000 --routes routes.toml --pools pools.toml")]
pub struct DiffCommand {
    #[command(flatten)]
    platform: PlatformArgs,
    #[command(flatten)]
    files: FileArgs,
}

impl DiffCommand {
    pub(super) async fn run(self) -> Result<CommandReport> {
        let tables = match self.files.read() {
            Ok((_, tables)) => tables,
            Err(faults) => return Ok(CommandReport::from_faults(&faults)),
        };
        let stored = StoredTables::read(&self.platform.to_store()).await?;
        let difference = TableDifference::between(&stored.tables, &tables)?;
        let revision = stored.tables.revision;
        let text = if difference.is_empty() {
            format!("the files are the same as revision {revision}")
        } else {
            difference.to_string()
        };
        Ok(CommandReport::done(
            text,
            json!({ "revision": revision, "difference": difference }),
        ))
    }
}
