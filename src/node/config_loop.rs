use std::sync::Arc;
use std::time::Duration;

use super::node_parts::NodeParts;
use crate::config::{AdoptOutcome, ConfigWatcher};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::peer::{ConfigPull, PeerRequest, ask, reply};
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Interval of comparisons with the revisions that peers told.
const PULL_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the tables at the platform while this instance is a relay.
pub(super) async fn watch_tables(parts: Arc<NodeParts>) {
    let watcher = ConfigWatcher::new(parts.store.clone(), parts.config.clone());
    watcher.run(parts.relay.subscribe()).await;
}

/// Pulls newer tables from peers.
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
    // A second request, for the complete set, follows if the change does not fit.
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
