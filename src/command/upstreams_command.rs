use std::collections::BTreeMap;

use clap::Args;
use serde_json::json;

use super::state_fetch::fetch_states;
use super::text_table::text_table;
use super::{AdminArgs, CommandReport, UpstreamLoad};
use crate::error::Result;

/// Shows the upstreams with owner, load and resident adapters.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute upstreams --admin 10.0.1.1:9090 --pool engines")]
pub struct UpstreamsCommand {
    #[command(flatten)]
    admin: AdminArgs,
    /// Shows only the upstreams of this pool.
    #[arg(long, value_name = "NAME")]
    pool: Option<String>,
}

impl UpstreamsCommand {
    pub(super) async fn run(self) -> Result<CommandReport> {
        let states = fetch_states(self.admin.to_clients().await?).await;
        let mut upstreams: BTreeMap<String, UpstreamLoad> = BTreeMap::new();
        let mut failure = None;
        for (_, state) in states {
            match state {
                Ok(state) => {
                    for upstream in state.upstreams {
                        let is_owner = upstream.owner.as_ref() == Some(&state.instance);
                        if is_owner || !upstreams.contains_key(&upstream.name) {
                            upstreams.insert(upstream.name.clone(), upstream);
                        }
                    }
                }
                Err(error) => failure = Some(error),
            }
        }
        if upstreams.is_empty()
            && let Some(error) = failure
        {
            return Err(error);
        }
        upstreams
            .retain(|_, upstream| self.pool.as_ref().is_none_or(|pool| *pool == upstream.pool));
        let mut rows = vec![
            [
                "UPSTREAM",
                "POOL",
                "OWNER",
                "HEALTH",
                "RUNNING",
                "QUEUED U/S/B",
                "RESIDENT",
            ]
            .map(str::to_owned)
            .to_vec(),
        ];
        rows.extend(upstreams.values().map(to_row));
        let upstreams: Vec<&UpstreamLoad> = upstreams.values().collect();
        Ok(CommandReport::done(
            text_table(&rows),
            json!({ "upstreams": upstreams }),
        ))
    }
}

fn to_row(upstream: &UpstreamLoad) -> Vec<String> {
    let queued = |rank: &str| upstream.queued.get(rank).copied().unwrap_or(0);
    vec![
        upstream.name.clone(),
        upstream.pool.clone(),
        upstream.owner.clone().unwrap_or_else(|| "none".to_owned()),
        if upstream.is_healthy { "up" } else { "down" }.to_owned(),
        upstream.running.to_string(),
        format!(
            "{}/{}/{}",
            queued("urgent"),
            queued("standard"),
            queued("batch")
        ),
        upstream.resident.join(" "),
    ]
}
