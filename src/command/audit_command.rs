use std::collections::BTreeSet;
use std::time::Duration;

use clap::Args;
use serde_json::json;

use super::command_report::print_line;
use super::{CommandReport, OutputFormat, PlatformArgs};
use crate::audit::{AuditObject, AuditReader, AuditRecord, now_ms};
use crate::error::Result;

/// Interval at which `--follow` polls the audit objects, with one list call per hour read.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(2);

/// Shows who changed what and why.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute audit --platform 10.0.0.2:7000 --hours 6 --subject tables
  comfreychute audit --platform 10.0.0.2:7000 --follow --output json")]
pub struct AuditCommand {
    #[command(flatten)]
    platform: PlatformArgs,
    /// Hours to look back, including the current one.
    #[arg(long, value_name = "COUNT", default_value_t = 1,
          value_parser = clap::value_parser!(u64).range(1..=AuditObject::RETENTION_HOURS))]
    hours: u64,
    /// Shows only records whose subject contains this text.
    #[arg(long, value_name = "TEXT")]
    subject: Option<String>,
    /// Keeps showing new records until interrupted, one per line.
    #[arg(long)]
    follow: bool,
}

impl AuditCommand {
    pub(super) async fn run(self, format: OutputFormat) -> Result<CommandReport> {
        let reader = AuditReader::new(self.platform.to_store());
        let hour = now_ms() / 3_600_000;
        let mut records = Vec::new();
        for hour in hour.saturating_sub(self.hours - 1)..=hour {
            records.extend(self.read(&reader, hour).await?);
        }
        if self.follow {
            return self.run_following(&reader, records, format).await;
        }
        let lines: Vec<String> = records.iter().map(AuditRecord::to_string).collect();
        let text = if lines.is_empty() {
            "no records".to_owned()
        } else {
            lines.join("\n")
        };
        Ok(CommandReport::done(text, json!({ "records": records })))
    }

    async fn run_following(
        &self,
        reader: &AuditReader,
        first: Vec<AuditRecord>,
        format: OutputFormat,
    ) -> Result<CommandReport> {
        let mut shown = BTreeSet::new();
        let mut records = first;
        loop {
            // Records of an hour are written up to one flush interval after its end, so each poll
            // reads two hours.
            let mut current = BTreeSet::new();
            for record in &records {
                let key = json!(record).to_string();
                if !shown.contains(&key) {
                    let line = match format {
                        OutputFormat::Json => key.clone(),
                        OutputFormat::Text => record.to_string(),
                    };
                    if print_line(&mut std::io::stdout(), &line).is_err() {
                        return Ok(CommandReport::done("", json!(null)));
                    }
                }
                current.insert(key);
            }
            shown = current;
            tokio::time::sleep(FOLLOW_INTERVAL).await;
            let hour = now_ms() / 3_600_000;
            records = self.read(reader, hour.saturating_sub(1)).await?;
            records.extend(self.read(reader, hour).await?);
        }
    }

    async fn read(&self, reader: &AuditReader, hour: u64) -> Result<Vec<AuditRecord>> {
        let mut records = reader.read_hour(hour).await?;
        if let Some(subject) = &self.subject {
            records.retain(|record| record.subject.contains(subject.as_str()));
        }
        Ok(records)
    }
}
