use clap::Args;
use serde_json::{Value, json};

use super::state_fetch::fetch_states;
use super::text_table::text_table;
use super::{AdminArgs, CommandExit, CommandReport};
use crate::error::Result;

/// Shows which revision of the tables is in force on each instance.
#[derive(Debug, Args)]
#[command(after_help = "Example:
  comfreychute where --admin 10.0.1.1:9090,10.0.2.1:9090
  comfreychute where --platform 10.0.0.2:7000 --admin-port 9090")]
pub struct WhereCommand {
    #[command(flatten)]
    admin: AdminArgs,
}

impl WhereCommand {
    pub(super) async fn run(self) -> Result<CommandReport> {
        let states = fetch_states(self.admin.to_clients().await?).await;
        let mut rows = vec![
            ["INSTANCE", "DOMAIN", "REVISION", "STATE", "ADMIN"]
                .map(str::to_owned)
                .to_vec(),
        ];
        let mut items: Vec<Value> = Vec::new();
        let mut exit = CommandExit::Done;
        for (client, state) in &states {
            let address = client.address().to_string();
            match state {
                Ok(state) => {
                    let readiness = match (state.is_draining, state.is_ready) {
                        (true, _) => "draining",
                        (false, true) => "ready",
                        (false, false) => "not ready",
                    };
                    rows.push(vec![
                        state.instance.clone(),
                        state.domain.clone(),
                        state.revision.to_string(),
                        readiness.to_owned(),
                        address.clone(),
                    ]);
                    items.push(json!({
                        "instance": state.instance,
                        "domain": state.domain,
                        "incarnation": state.incarnation,
                        "revision": state.revision,
                        "is_ready": state.is_ready,
                        "is_draining": state.is_draining,
                        "admin": address,
                    }));
                }
                Err(error) => {
                    exit = CommandExit::from_kind(error.kind());
                    let detail = format!("error: {}", error.detail());
                    rows.push(vec![
                        "?".to_owned(),
                        "?".to_owned(),
                        "?".to_owned(),
                        detail,
                        address.clone(),
                    ]);
                    items.push(json!({ "admin": address, "error": error.to_string() }));
                }
            }
        }
        Ok(CommandReport::new(
            exit,
            text_table(&rows),
            json!({ "instances": items }),
        ))
    }
}
