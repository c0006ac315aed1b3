use clap::Args;
use serde_json::json;

use super::edit_report::report_edit;
use super::{CommandReport, FileArgs, PlatformArgs, revision_header};
use crate::audit::AuditKind;
use crate::config::{EditOutcome, StoredTables, TableDifference, TableEdit, TableEditor};
use crate::error::Result;
use crate::table::TableFiles;

/// Replaces the tables with the content of both files.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute show --platform 10.0.0.2:7000 --directory tables
  $EDITOR tables/pools.toml
  comfreychute apply --platform 10.0.0.2:7000 --routes tables/routes.toml --pools tables/pools.toml")]
pub struct ApplyCommand {
    #[command(flatten)]
    platform: PlatformArgs,
    #[command(flatten)]
    files: FileArgs,
    /// The revision that the edit starts from.
    #[arg(long, value_name = "REVISION")]
    base: Option<u64>,
    /// Makes the new revision higher than this one; needed after the platform lost newer tables.
    #[arg(long, value_name = "REVISION", default_value_t = 0)]
    above: u64,
    /// The id of an earlier run whose outcome is unknown.
    #[arg(long, value_name = "ID")]
    operation: Option<String>,
    /// The name that is recorded as the author of the edit.
    #[arg(
        long,
        value_name = "NAME",
        env = "USER",
        hide_env = true,
        default_value = "unknown"
    )]
    author: String,
    /// Shows what would change and changes nothing.
    #[arg(long)]
    dry_run: bool,
}

impl ApplyCommand {
    pub(super) async fn run(self) -> Result<CommandReport> {
        let (files, tables) = match self.files.read() {
            Ok(read) => read,
            Err(faults) => return Ok(CommandReport::from_faults(&faults)),
        };
        let store = self.platform.to_store();
        if self.dry_run {
            let stored = StoredTables::read(&store).await?;
            let difference = TableDifference::between(&stored.tables, &tables)?;
            return Ok(CommandReport::done(
                format!("{difference}\nnothing was changed (dry run)"),
                json!({ "outcome": "dry_run", "difference": difference }),
            ));
        }
        let edit = TableEdit {
            routes: tables.routes,
            pools: tables.pools,
            author: self.author,
            operation: self.operation.unwrap_or_else(TableEdit::new_operation),
            base: self.base.or_else(|| header_base(&files)),
            above: self.above,
        };
        let outcome = TableEditor::new(store, 8).apply(&edit).await?;
        let accepted = match &outcome {
            EditOutcome::Applied { revision, .. } | EditOutcome::Unchanged { revision } => {
                Some(*revision)
            }
            EditOutcome::Conflict { .. } => None,
        };
        let audit = (AuditKind::Edit, "tables", "apply");
        let mut report = report_edit(&self.platform, &edit, outcome, audit).await;
        if let Some(revision) = accepted {
            for path in [&self.files.routes, &self.files.pools] {
                if let Err(error) = revision_header::update_file(path, revision) {
                    let note = format!(
                        "\nnote: {path}: the revision in the comment could not be updated: {error}"
                    );
                    report.text.push_str(&note);
                }
            }
        }
        Ok(report)
    }
}

/// Returns the base revision in the comments of the files. If they differ, it is the older one, so
/// that the edit conflicts instead of reverting the newer revision.
fn header_base(files: &TableFiles) -> Option<u64> {
    [&files.routes_text, &files.pools_text]
        .into_iter()
        .filter_map(|text| revision_header::from_text(text))
        .min()
}
