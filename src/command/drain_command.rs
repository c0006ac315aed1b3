use clap::{Args, Subcommand};
use serde_json::json;

use super::edit_report::report_edit;
use super::{CommandReport, PlatformArgs};
use crate::audit::AuditKind;
use crate::config::{EditOutcome, StoredTables, TableEdit, TableEditor};
use crate::error::{Error, ErrorKind, Result};
use crate::id::UpstreamId;
use crate::table::{TableSet, UpstreamState};

/// Maximum number of attempts to apply the edit while concurrent edits are accepted first.
const MAX_EDIT_ATTEMPTS: u32 = 5;

/// Takes an upstream out of service without interrupting its requests.
#[derive(Debug, Args)]
pub struct DrainCommand {
    /// The kind of object to drain.
    #[command(subcommand)]
    pub target: DrainTarget,
}

/// The objects that can be drained.
#[derive(Debug, Subcommand)]
pub enum DrainTarget {
    /// Marks an upstream as draining in the tables: it finishes its requests and gets no new ones.
    #[command(after_help = "Example:
  comfreychute drain upstream engine-7 --platform 10.0.0.2:7000
  comfreychute drain upstream engine-7 --platform 10.0.0.2:7000 --undo")]
    Upstream {
        /// The name of the upstream.
        name: String,
        /// Makes the upstream active again.
        #[arg(long)]
        undo: bool,
        /// The name that is recorded as the author of the edit.
        #[arg(
            long,
            value_name = "NAME",
            env = "USER",
            hide_env = true,
            default_value = "unknown"
        )]
        author: String,
        /// Arguments for the connection to the platform.
        #[command(flatten)]
        platform: PlatformArgs,
    },
}

impl DrainCommand {
    pub(super) async fn run(self) -> Result<CommandReport> {
        let DrainTarget::Upstream {
            name,
            undo,
            author,
            platform,
        } = self.target;
        let state = if undo {
            UpstreamState::Active
        } else {
            UpstreamState::Draining
        };
        let store = platform.to_store();
        let editor = TableEditor::new(store.clone(), 8);
        let mut attempt = 1;
        loop {
            let mut tables = StoredTables::read(&store).await?.tables;
            let before = set_state(&mut tables, &name, state)?;
            if before == state {
                return Ok(CommandReport::done(
                    format!("no change; upstream {name} is {state:?} already").to_lowercase(),
                    json!({ "outcome": "unchanged", "revision": tables.revision }),
                ));
            }
            let edit = TableEdit {
                routes: tables.routes,
                pools: tables.pools,
                author: author.clone(),
                operation: TableEdit::new_operation(),
                base: Some(tables.revision),
                above: 0,
            };
            let outcome = editor.apply(&edit).await?;
            // The edit changes a single key, so it can be repeated on top of the accepted one.
            if matches!(outcome, EditOutcome::Conflict { .. }) && attempt < MAX_EDIT_ATTEMPTS {
                attempt += 1;
                continue;
            }
            let reason = if undo { "drain ended" } else { "drain" };
            let audit = (AuditKind::Drain, name.as_str(), reason);
            return Ok(report_edit(&platform, &edit, outcome, audit).await);
        }
    }
}

/// Sets the state of an upstream and returns the former state.
fn set_state(tables: &mut TableSet, name: &str, state: UpstreamState) -> Result<UpstreamState> {
    let id = UpstreamId::from_name(name);
    let mut upstreams = tables
        .pools
        .pools
        .iter_mut()
        .flat_map(|pool| &mut pool.upstreams);
    let upstream = upstreams
        .find(|upstream| upstream.name == id)
        .ok_or_else(|| {
            Error::new(
                ErrorKind::Table,
                format!("upstream {name:?} is not in the accepted tables; see `comfreychute show`"),
            )
        })?;
    Ok(std::mem::replace(&mut upstream.state, state))
}
