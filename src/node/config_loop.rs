use std::sync::Arc;
use std::time::Duration;

use super::node_parts::NodeParts;
use crate::config::{AdoptOutcome, ConfigWatcher};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::peer::{ConfigPull, PeerRequest, ask, reply};
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Interval at which the local table revision is compared with those in the heartbeats of peers.
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the tables in the object store while this instance is a watch relay.
pub(super) async fn watch_tables(parts: Arc<NodeParts>) {
    let watcher = ConfigWatcher::new(parts.store.clone(), parts.config.clone());
    watcher.run(parts.relay.subscribe()).await;
}

/// Pulls the tables from a live peer whenever its revision is newer, and publishes the local
/// revision as a metric.
pub(super) async fn pull_tables(parts: Arc<NodeParts>) {
    let mut ticks = parts.timer.subscribe(PULL_INTERVAL);
    let mut is_failing = false;
    loop {
        ticks.next().await;
        let revision = parts.config.revision();
        parts
            .metrics
            .set(MetricName::ConfigRevision, "", "", revision);
        let now = parts.timer.clock().now();
        let peer = {
            let members = parts.view.members();
            parts
                .view
                .peer_with_newer_tables(revision, |peer| members.is_live(peer, now))
        };
        let Some(peer) = peer else { continue };
        let pulled = pull_from(&parts, &peer).await;
        let was_failing = std::mem::replace(&mut is_failing, pulled.is_err());
        if let Err(error) = pulled
            && !was_failing
        {
            LogEvent::new(LogName::ConfigWatchFailed)
                .with("peer", &peer)
                .with("reason", &error)
                .send();
        }
    }
}

async fn pull_from(parts: &NodeParts, peer: &InstanceId) -> Result<()> {
    let Some(mesh) = parts.mesh() else {
        return Ok(());
    };
    let mut pull_request = parts.config.to_pull();
    // If the delta does not apply to the tables in force, a second request fetches the complete
    // set.
    for _ in 0..2 {
        let reply = mesh
            .request(
                peer,
                PeerRequest {
                    body: Some(ask::Body::Pull(pull_request)),
                },
            )
            .await?;
        let delta = match reply.body {
            Some(reply::Body::Delta(delta)) => delta,
            Some(reply::Body::Refused(refusal)) => return Err(refusal.to_error()),
            _ => {
                return Err(Error::new(
                    ErrorKind::Protocol,
                    "the reply to a pull has no tables",
                ));
            }
        };
        match parts.config.offer_delta(delta)? {
            AdoptOutcome::PullAgain(base) => pull_request = ConfigPull { base },
            AdoptOutcome::Adopted | AdoptOutcome::Stale => return Ok(()),
        }
    }
    Ok(())
}
