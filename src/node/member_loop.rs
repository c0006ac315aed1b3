use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::node_parts::NodeParts;
use super::permit_wiring::update_permit_holder;
use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::owner::OwnerMap;
use crate::platform_client::ListedInstance;
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Heartbeats that a peer may miss before placement avoids the upstreams that it owns.
const MAX_MISSED_HEARTBEATS: u32 = 2;
/// Interval at which membership and ownership are evaluated.
const MEMBER_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which changes of the ownership record are written and the metrics are flushed.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The input of an assignment of upstreams: the table revision and the candidates of each failure
/// domain.
type AssignmentInput = (u64, BTreeMap<DomainId, BTreeSet<InstanceId>>);

/// Polls the platform's instance list and dials all listed instances.
pub(super) async fn poll_instance_list(parts: Arc<NodeParts>) {
    let mut is_failing = false;
    let mut ticks = parts.timer.subscribe(parts.settings.platform.list_interval);
    loop {
        let now = parts.timer.clock().now();
        match parts.instance_list.read().await {
            Ok(list) => {
                is_failing = false;
                parts.view.members().apply_list(&list, now);
            }
            Err(error) if !std::mem::replace(&mut is_failing, true) => {
                LogEvent::new(LogName::PlatformUnreachable)
                    .with("key", "instances")
                    .with("reason", &error)
                    .send();
            }
            Err(_) => {}
        }
        dial_all(&parts);
        ticks.next().await;
    }
}

/// Dials the listed instances and the configured seeds that are not in the list.
fn dial_all(parts: &NodeParts) {
    let mut peers = parts.view.members().listed();
    for seed in &parts.settings.peer.seeds {
        if peers.iter().all(|peer| peer.id != seed.name) {
            peers.push(ListedInstance {
                id: seed.name.clone(),
                domain: seed.domain.clone(),
                peer_address: seed.address,
                is_leaving: false,
            });
        }
    }
    if let Some(mesh) = parts.mesh() {
        mesh.dial(&peers);
    }
}

/// Evaluates the membership at each tick: renews the lease, assigns upstreams and elects the watch
/// relays.
pub(super) async fn run_membership(parts: Arc<NodeParts>) {
    let mut ticks = parts.timer.subscribe(MEMBER_INTERVAL);
    let clock = parts.timer.clock().clone();
    let mut last_tick = clock.now();
    // After a start or a pause, the membership is incomplete until each peer has had time to send a
    // heartbeat.
    let mut warm_up_until = last_tick + parts.settings.peer.peer_timeout;
    let mut has_never_lapsed = true;
    let mut assigned = None;
    loop {
        ticks.next().await;
        let now = clock.now();
        if now.saturating_sub(last_tick) >= parts.settings.peer.lease {
            LogEvent::new(LogName::LeaseLapsed)
                .with_count(
                    "paused_ms",
                    u64::try_from(now.saturating_sub(last_tick).as_millis()).unwrap_or(u64::MAX),
                )
                .send();
            if let Some(registry) = parts.registry() {
                registry.release_all();
            }
            warm_up_until = now + parts.settings.peer.peer_timeout;
            has_never_lapsed = false;
            assigned = None;
        }
        last_tick = now;
        update_peers(&parts, now);
        if now < warm_up_until && !(has_never_lapsed && has_all_links(&parts)) {
            continue;
        }
        parts.lease.renew();
        update_assignment(&parts, now, &mut assigned);
    }
}

fn update_peers(parts: &NodeParts, now: Duration) {
    let Some(mesh) = parts.mesh() else { return };
    let peers = mesh.live_peers();
    {
        let mut members = parts.view.members();
        members.set_draining(parts.request_tracker.is_draining());
        members.apply_peers(&peers, now);
    };
    let limit = parts.settings.peer.heartbeat_interval * MAX_MISSED_HEARTBEATS;
    let unresponsive = peers.iter().filter(|peer| peer.silent_for > limit);
    parts
        .view
        .set_unresponsive_peers(unresponsive.map(|peer| peer.id.clone()).collect());
    let live: BTreeSet<_> = peers.into_iter().map(|peer| peer.id).collect();
    parts.view.retain(|peer| live.contains(peer));
}

/// Returns whether links to all listed instances are open, so that the warm-up can end early.
fn has_all_links(parts: &NodeParts) -> bool {
    let Some(mesh) = parts.mesh() else {
        return false;
    };
    let linked: BTreeSet<_> = mesh
        .live_peers()
        .into_iter()
        .filter(|peer| peer.is_linked)
        .map(|peer| peer.id)
        .collect();
    let listed = parts.view.members().listed();
    !listed.is_empty() && listed.iter().all(|peer| linked.contains(&peer.id))
}

/// Elects the watch relays, updates the permit holder and, if the tables or the candidates have
/// changed, reassigns the upstreams.
///
/// The assignment visits every upstream of the tables. At 4,100 upstreams, running it at each tick
/// would exceed the CPU budget of a node.
fn update_assignment(parts: &NodeParts, now: Duration, assigned: &mut Option<AssignmentInput>) {
    let tables = parts.config.current();
    let (candidates, watchers) = {
        let members = parts.view.members();
        (
            members.candidates(now),
            members.watchers(&parts.domain, parts.settings.platform.watch_relays, now),
        )
    };
    parts.relay.send_if_modified(|is_relay| {
        let is_chosen = watchers.contains(&parts.instance);
        std::mem::replace(is_relay, is_chosen) != is_chosen
    });
    update_permit_holder(parts, &tables, now);
    let Some(registry) = parts.registry() else {
        return;
    };
    let input = (tables.revision, candidates);
    if assigned.as_ref() != Some(&input) {
        let owners = OwnerMap::assign(&tables.pools, &input.1);
        let owned: BTreeSet<_> = owners.owned_by(&parts.instance).cloned().collect();
        parts.view.set_owners(owners);
        registry.reconcile(&tables, &owned);
        if assigned.is_none() && tables.revision > 0 {
            LogEvent::new(LogName::NodeReady)
                .with("instance", &parts.instance)
                .with_count("revision", tables.revision)
                .send();
        }
        *assigned = Some(input);
    }
    parts.view.set_own_residency(registry.residency());
}

/// Writes changes of the ownership record, updates the gauges and flushes the metrics.
pub(super) async fn flush_records(parts: Arc<NodeParts>) {
    let mut ticks = parts.timer.subscribe(RECORD_INTERVAL);
    loop {
        ticks.next().await;
        parts.recorder.flush().await;
        record_metrics(&parts);
        parts.metrics.flush();
    }
}

fn record_metrics(parts: &NodeParts) {
    let metrics = &parts.metrics;
    metrics.set(MetricName::PlatformCalls, "", "", parts.store.call_count());
    if let Some(mesh) = parts.mesh() {
        metrics.set(MetricName::ControlBytes, "", "", mesh.heartbeat_bytes());
    }
    let tables = parts.config.current();
    let items = parts.registry().map(|registry| registry.residency());
    for item in items.unwrap_or_default() {
        let upstream = UpstreamId::from_name(&item.upstream);
        if let Some((pool, _)) = tables.pools.upstream(&upstream) {
            let percent = item.running * 100 / pool.max_running.max(1);
            metrics.set(
                MetricName::BatchOccupancy,
                &pool.name,
                "",
                u64::from(percent),
            );
        }
    }
}
