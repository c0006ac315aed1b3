use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::limited_workspace::LimitedWorkspace;
use super::peer_usage::PeerUsage;
use super::{AllowanceGrant, AllowanceRefusal, FleetCover};
use crate::id::InstanceId;
use crate::peer::AllowanceUsage;
use crate::policy::AllowanceSums;
use crate::telemetry::{MetricName, MetricSink};
use crate::time::ClockSource;
use crate::workspace::{AllowanceSpec, WorkspaceEntry, WorkspaceTable};

/// Decides which requests are within the allowances of their workspaces.
///
/// It has state for configured workspaces with an allowance only, whatever peers report.
pub struct AllowanceLedger {
    clock: ClockSource,
    metrics: MetricSink,
    listed_instances: Box<dyn Fn() -> usize + Send + Sync>,
    state: Mutex<LedgerState>,
}

#[derive(Debug, Default)]
struct LedgerState {
    workspaces: BTreeMap<String, LimitedWorkspace>,
    peers: BTreeMap<InstanceId, PeerUsage>,
}

impl fmt::Debug for AllowanceLedger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AllowanceLedger")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl AllowanceLedger {
    /// Creates a ledger without workspaces; `listed_instances` returns the number of instances that
    /// the platform lists, zero before the first list.
    #[must_use]
    pub fn new(
        clock: ClockSource,
        metrics: MetricSink,
        listed_instances: Box<dyn Fn() -> usize + Send + Sync>,
    ) -> Self {
        Self {
            clock,
            metrics,
            listed_instances,
            state: Mutex::default(),
        }
    }

    /// Takes over the allowances of a configuration. A workspace that was removed and is added again
    /// starts with an empty bucket.
    pub fn set_workspaces(&self, table: Option<&WorkspaceTable>) {
        let now = self.clock.now();
        let entries = table.into_iter().flat_map(WorkspaceTable::entries);
        let limits: BTreeMap<&str, AllowanceSpec> = entries
            .filter_map(|entry| Some((entry.name.as_str(), limit_of(entry)?)))
            .collect();
        let mut state = self.lock();
        state
            .workspaces
            .retain(|name, _| limits.contains_key(name.as_str()));
        for (name, limit) in limits {
            state.workspace(name, limit, now).set_limit(limit, now);
        }
        if state.workspaces.is_empty() {
            state.peers.clear();
        }
    }

    /// Decides on a request of `cost` units; returns `None` if the workspace is not limited.
    ///
    /// # Errors
    ///
    /// Fails if the request exceeds the allowance.
    pub fn admit(
        self: &Arc<Self>,
        workspace: &WorkspaceEntry,
        cost: f64,
    ) -> Result<Option<AllowanceGrant>, AllowanceRefusal> {
        let Some(limit) = limit_of(workspace) else {
            return Ok(None);
        };
        let now = self.clock.now();
        let listed = (self.listed_instances)();
        let name = workspace.name.as_str();
        let mut state = self.lock();
        let cover = state.cover(listed, now);
        let (others, count) = state.others(name, now);
        let limited = state.workspace(name, limit, now);
        limited.bucket.set_others(others, count, cover.share(), now);
        match limited.bucket.ask(cost, rand::random(), now) {
            Ok(()) => Ok(Some(AllowanceGrant::new(Arc::clone(self), name, cost))),
            Err(retry_after) => {
                limited.record_refusal(name, cost, cover, now);
                drop(state);
                self.metrics.add(MetricName::AllowanceRefusals, name, "", 1);
                Err(AllowanceRefusal { retry_after })
            }
        }
    }

    /// Returns the sums of this instance and of the peers for which `is_included` holds.
    #[must_use]
    pub fn usages(&self, is_included: impl Fn(&InstanceId) -> bool) -> Vec<AllowanceUsage> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.workspaces.is_empty() {
            return Vec::new();
        }
        let share = state.cover((self.listed_instances)(), now).share();
        let names: Vec<String> = state.workspaces.keys().cloned().collect();
        let to_usage = |name: String| {
            let (others, count) = state.others(&name, now);
            let mut sums = AllowanceSums::default();
            for (_, usage) in state.live_peers(now).filter(|(peer, _)| is_included(peer)) {
                if let Some(reported) = usage.by_workspace.get(&name) {
                    sums.add(reported);
                }
            }
            if let Some(limited) = state.workspaces.get_mut(&name) {
                limited.bucket.set_others(others, count, share, now);
                sums.add(&limited.bucket.own_sums(now));
            }
            AllowanceUsage::from_sums(name, &sums)
        };
        names.into_iter().map(to_usage).collect()
    }

    /// Records what a peer reports for `instances` instances, in place of its former report.
    pub fn record_peer(&self, peer: &InstanceId, usages: &[AllowanceUsage], instances: u32) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.workspaces.is_empty() {
            return;
        }
        let instances = instances.clamp(1, MAX_REPORTED_INSTANCES);
        let to_sums = |usage: &AllowanceUsage| {
            let limited = state.workspaces.get(&usage.workspace)?;
            let limit = limited.bucket.report_limit() * f64::from(instances);
            Some((usage.workspace.clone(), usage.to_sums().clamped(limit)))
        };
        let by_workspace = usages.iter().filter_map(to_sums).collect();
        let usage = PeerUsage {
            by_workspace,
            instances,
            received_at: now,
        };
        state.peers.retain(|_, usage| usage.is_live(now));
        state.peers.insert(peer.clone(), usage);
    }

    pub(super) fn refund(&self, workspace: &str, cost: f64) {
        let now = self.clock.now();
        if let Some(limited) = self.lock().workspaces.get_mut(workspace) {
            limited.bucket.refund(cost, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limit of the number of instances that one report covers, several times the largest fleet.
const MAX_REPORTED_INSTANCES: u32 = 10_000;

impl LedgerState {
    /// Returns the state of a workspace, which is created with `limit` if it is new. A request that began
    /// under an older configuration must not restore the limit of that.
    fn workspace(
        &mut self,
        name: &str,
        limit: AllowanceSpec,
        now: Duration,
    ) -> &mut LimitedWorkspace {
        self.workspaces
            .entry(name.to_owned())
            .or_insert_with(|| LimitedWorkspace::new(limit, now))
    }

    /// Returns the sums of all peers with a recent report, and the number of instances they cover.
    fn others(&self, name: &str, now: Duration) -> (AllowanceSums, u32) {
        let mut sums = AllowanceSums::default();
        let mut count = 0_u32;
        for (_, usage) in self.live_peers(now) {
            if let Some(reported) = usage.by_workspace.get(name) {
                sums.add(reported);
                count = count.saturating_add(usage.instances);
            }
        }
        (sums, count)
    }

    /// Returns the part of the fleet of which recent reports are known.
    fn cover(&self, listed: usize, now: Duration) -> FleetCover {
        let heard = self
            .live_peers(now)
            .fold(1_u32, |sum, (_, usage)| sum.saturating_add(usage.instances));
        FleetCover { heard, listed }
    }

    fn live_peers(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, &PeerUsage)> {
        self.peers
            .iter()
            .filter(move |(_, usage)| usage.is_live(now))
    }
}

/// Returns the allowance of a workspace; a rate of zero is no limit.
fn limit_of(workspace: &WorkspaceEntry) -> Option<AllowanceSpec> {
    workspace.allowance.filter(|limit| limit.rate > 0.0)
}
