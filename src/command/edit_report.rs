use serde_json::json;

use super::{CommandExit, CommandReport, PlatformArgs};
use crate::audit::{AuditKind, AuditRecord};
use crate::config::{EditOutcome, TableDifference, TableEdit};
use crate::telemetry::timestamp;

/// Reports the outcome of an edit and records an accepted one in the audit trail.
///
/// `audit` holds the kind, the subject and the reason of the audit record.
pub(super) async fn report_edit(
    platform: &PlatformArgs,
    edit: &TableEdit,
    outcome: EditOutcome,
    audit: (AuditKind, &str, &str),
) -> CommandReport {
    match outcome {
        EditOutcome::Applied {
            revision,
            difference,
        } => {
            let note = record_edit(platform, edit, revision, &difference, audit).await;
            let applied = format!("applied as revision {revision}{note}");
            let text = if difference.is_empty() {
                applied
            } else {
                format!("{difference}\n{applied}")
            };
            CommandReport::done(
                text,
                json!({
                    "outcome": "applied",
                    "revision": revision,
                    "operation": edit.operation,
                    "difference": difference,
                }),
            )
        }
        EditOutcome::Unchanged { revision } => CommandReport::done(
            format!("no change; revision {revision} is the same"),
            json!({ "outcome": "unchanged", "revision": revision }),
        ),
        EditOutcome::Conflict {
            accepted,
            difference,
        } => {
            let edited_at = timestamp(accepted.edited_at_ms / 1_000, 0);
            let text = format!(
                "error: nothing was changed: revision {} by {} ({edited_at}) was accepted first\n\
                 this edit would change it as follows:\n{difference}\n\
                 review the difference, then make the edit on top of revision {} (apply: --base)",
                accepted.revision, accepted.author, accepted.revision
            );
            CommandReport::new(
                CommandExit::Conflict,
                text,
                json!({
                    "outcome": "conflict",
                    "revision": accepted.revision,
                    "author": accepted.author,
                    "difference": difference,
                }),
            )
        }
    }
}

/// Writes an audit record and returns a note if that fails. The edit remains valid without it,
/// since the tables contain their author.
async fn record_edit(
    platform: &PlatformArgs,
    edit: &TableEdit,
    revision: u64,
    difference: &TableDifference,
    (kind, subject, reason): (AuditKind, &str, &str),
) -> &'static str {
    let trail = platform.to_audit_trail();
    trail.push(AuditRecord {
        at_ms: crate::audit::now_ms(),
        who: edit.author.clone(),
        kind,
        subject: subject.to_owned(),
        from: edit.base.map_or_else(String::new, |base| base.to_string()),
        to: revision.to_string(),
        reason: format!(
            "{reason}, operation {}, {} differences",
            edit.operation,
            difference.lines().len()
        ),
        revision,
        count: 1,
    });
    if trail.flush_all(5).await == 0 {
        ""
    } else {
        " (the audit record could not be written)"
    }
}
