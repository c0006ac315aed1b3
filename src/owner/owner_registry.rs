use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::upstream_owner::send_error;
use super::{OwnerCall, OwnerContext, OwnerPhase, UpstreamOwner};
use crate::audit::AuditKind;
use crate::error::{Error, ErrorKind};
use crate::id::{OwnerEpoch, UpstreamId};
use crate::peer::{HandoverItem, ResidencyItem};
use crate::shard::ShardedMap;
use crate::table::{PoolRow, TableSet, UpstreamRow, UpstreamState};
use crate::telemetry::LogName;

/// Number of shards, each with its own lock, of the map of owned upstreams.
const SHARD_COUNT: usize = 16;
/// Interval of time-dependent decisions, such as deadlines and load bids.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the status of each engine is polled.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between announcements of an incomplete handover; also the retry delay given to calls
/// for an upstream that this instance does not own.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(200);

/// Announces a handover to the live instances of the failure domain; resolves to whether all of
/// them acknowledged it.
pub type HandoverAnnouncer =
    Box<dyn Fn(HandoverItem) -> Pin<Box<dyn Future<Output = bool> + Send>> + Send + Sync>;

/// Acquires, drives and releases the upstreams that are assigned to this instance.
pub struct OwnerRegistry {
    context: Arc<OwnerContext>,
    owners: ShardedMap<UpstreamId, UpstreamOwner>,
    releasing: Mutex<BTreeMap<(UpstreamId, OwnerEpoch), UpstreamOwner>>,
    announce: HandoverAnnouncer,
}

impl fmt::Debug for OwnerRegistry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnerRegistry")
            .field("owners", &self.owners)
            .finish_non_exhaustive()
    }
}

impl OwnerRegistry {
    /// Creates a registry that owns nothing.
    #[must_use]
    pub fn new(context: Arc<OwnerContext>, announce: HandoverAnnouncer) -> Arc<Self> {
        Arc::new(Self {
            context,
            owners: ShardedMap::new(SHARD_COUNT),
            releasing: Mutex::default(),
            announce,
        })
    }

    /// Acquires and releases upstreams so that this instance owns exactly those of `owned`.
    ///
    /// An upstream whose address or pool row has changed is released and acquired again.
    pub fn reconcile(self: &Arc<Self>, tables: &TableSet, owned: &BTreeSet<UpstreamId>) {
        let mut current = BTreeMap::new();
        self.owners.for_each(|upstream, owner| {
            current.insert(upstream.clone(), owner.clone());
        });
        for (upstream, owner) in &current {
            let row = tables
                .pools
                .upstream(upstream)
                .filter(|_| owned.contains(upstream));
            match row {
                Some((pool, row)) if is_same_upstream(owner, pool, row) => {
                    owner.set_accepting(row.state == UpstreamState::Active);
                }
                _ => self.release(upstream),
            }
        }
        for (pool, row) in tables.pools.upstreams() {
            let has_owner = self.owners.with(&row.name, |owner| owner.is_some());
            if owned.contains(&row.name) && !has_owner {
                self.acquire(tables, pool, row);
            }
        }
    }

    fn acquire(self: &Arc<Self>, tables: &TableSet, pool: &PoolRow, row: &UpstreamRow) {
        let store = pool
            .store
            .as_deref()
            .and_then(|store| tables.pools.store(store));
        let owner = UpstreamOwner::new(&self.context, pool, store, row, OwnerEpoch::default());
        self.owners.insert(row.name.clone(), owner.clone());
        let registry = Arc::clone(self);
        tokio::spawn(async move {
            registry.run_owner(owner).await;
        });
    }

    /// Activates the owner under a new epoch, and polls the engine until the ownership ends.
    async fn run_owner(self: Arc<Self>, owner: UpstreamOwner) {
        let mut ticks = self.context.timer.subscribe(STATUS_INTERVAL);
        self.context.recorder.refresh().await;
        loop {
            let status = owner.status().await;
            if owner.phase() == OwnerPhase::Releasing {
                return;
            }
            if owner.phase() == OwnerPhase::Acquiring && self.context.lease.is_valid() {
                match &status {
                    Ok(Some(status)) => {
                        let mut seen: Vec<OwnerEpoch> = status
                            .resident
                            .iter()
                            .map(|resident| resident.name.epoch())
                            .collect();
                        seen.push(status.fencing);
                        self.activate(&owner, seen);
                    }
                    Ok(None) => self.activate(&owner, Vec::new()),
                    Err(error) => {
                        owner
                            .log(LogName::UpstreamUnreachable)
                            .with("reason", error)
                            .send();
                    }
                }
            }
            match status {
                Ok(Some(status)) => owner.observe_status(&Ok(status)),
                Ok(None) => {}
                Err(error) => owner.observe_status(&Err(error)),
            }
            ticks.next().await;
        }
    }

    fn activate(&self, owner: &UpstreamOwner, mut seen: Vec<OwnerEpoch>) {
        seen.extend(self.context.recorder.epoch(owner.upstream()));
        let epoch = OwnerEpoch::after(&seen, &self.context.process);
        owner.activate(epoch);
        self.context
            .recorder
            .record(owner.upstream(), &self.context.instance, epoch);
        let (former, current) = (
            seen.iter().max().map(ToString::to_string),
            epoch.to_string(),
        );
        self.context.audit.record(
            AuditKind::OwnerChange,
            owner.upstream().as_str(),
            (former.as_deref().unwrap_or_default(), &current),
            "the membership of the failure domain or the tables changed",
            0,
        );
        owner
            .log(LogName::OwnershipTaken)
            .with("epoch", epoch)
            .send();
    }

    /// Releases an upstream: queued calls are refused with run state "not run", dispatched ones
    /// finish.
    pub fn release(self: &Arc<Self>, upstream: &UpstreamId) {
        let Some(owner) = self.owners.remove(upstream) else {
            return;
        };
        owner.release();
        let key = (upstream.clone(), owner.epoch());
        self.releasing().insert(key.clone(), owner.clone());
        let registry = Arc::clone(self);
        tokio::spawn(async move {
            registry.run_release(&owner).await;
            registry.releasing().remove(&key);
        });
    }

    /// Announces the handover until every live instance of the failure domain has acknowledged that
    /// no requests are left.
    ///
    /// The first announcement waits for the engine's answers to all pending orders.
    async fn run_release(&self, owner: &UpstreamOwner) {
        let mut ticks = self.context.timer.subscribe(HANDOVER_INTERVAL);
        while !owner.has_no_pending_orders() {
            ticks.next().await;
        }
        loop {
            let is_released = owner.running() == 0;
            self.context
                .ledger
                .record(owner.upstream(), owner.epoch(), is_released);
            let item = HandoverItem {
                upstream: owner.upstream().as_str().to_owned(),
                epoch: owner.epoch().to_u64(),
                is_released,
            };
            let is_confirmed = (self.announce)(item).await;
            if is_released && is_confirmed {
                let released = owner.log(LogName::OwnershipReleased);
                released.with("epoch", owner.epoch()).send();
                return;
            }
            ticks.next().await;
        }
    }

    /// Releases all upstreams, before a shutdown or after a pause longer than the lease.
    pub fn release_all(self: &Arc<Self>) {
        let mut current = Vec::new();
        self.owners
            .for_each(|upstream, _| current.push(upstream.clone()));
        for upstream in current {
            self.release(&upstream);
        }
    }

    /// Returns whether no upstream is owned and every handover has completed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.owners.is_empty() && self.releasing().is_empty()
    }

    /// Queues a call at the owner of its upstream, or refuses it if this instance is not the owner.
    pub fn submit(&self, call: OwnerCall) {
        let upstream = UpstreamId::from_name(&call.open.upstream);
        if let Some(owner) = self
            .owners
            .with(&upstream, |owner| owner.map(|owner| owner.clone()))
        {
            owner.submit(call);
            return;
        }
        let error = Error::new(
            ErrorKind::Unavailable,
            format!("this instance does not own upstream {upstream}"),
        )
        .with_retry_after(HANDOVER_INTERVAL);
        send_error(&Arc::new(call), &error);
    }

    /// Returns the state of each owned upstream in the form that is sent to other instances.
    #[must_use]
    pub fn residency(&self) -> Vec<ResidencyItem> {
        let mut items = Vec::new();
        self.owners
            .for_each(|_, owner| items.push(owner.residency()));
        items
    }

    /// Ticks all owners periodically until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = self.context.timer.subscribe(TICK_INTERVAL);
        loop {
            ticks.next().await;
            let mut owners = Vec::new();
            self.owners.for_each(|_, owner| owners.push(owner.clone()));
            for owner in owners {
                owner.tick();
            }
        }
    }

    fn releasing(
        &self,
    ) -> std::sync::MutexGuard<'_, BTreeMap<(UpstreamId, OwnerEpoch), UpstreamOwner>> {
        self.releasing
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether an owner remains valid after a change of the tables: its address and its pool,
/// apart from the pool's list of upstreams, are unchanged.
fn is_same_upstream(owner: &UpstreamOwner, pool: &PoolRow, row: &UpstreamRow) -> bool {
    let strip = |pool: &PoolRow| PoolRow {
        upstreams: Vec::new(),
        ..pool.clone()
    };
    strip(owner.pool()) == strip(pool) && owner.address() == row.address
}
