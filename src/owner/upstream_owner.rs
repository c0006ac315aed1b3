use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::owner_state::OwnerState;
use super::tracked_call::TrackedCall;
use super::upstream_client::UpstreamClient;
use super::{OwnerCall, OwnerContext, OwnerPhase};
use crate::error::{Error, ErrorKind, RunState};
use crate::id::{OwnerEpoch, RequestId, UpstreamId};
use crate::peer::{CallChunk, ResidencyItem};
use crate::policy::{PermitConfig, SchedulerConfig, UpstreamScheduler};
use crate::table::{PoolKind, PoolRow, StoreRow, UpstreamRow, UpstreamState};
use crate::telemetry::{LogEvent, LogName};
use crate::upstream::{EngineClient, PlainClient};

/// Timeout of orders and status requests to an engine; loads have a timeout of their own.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of calls to a plain service; usually the call's deadline expires first.
const PLAIN_TIMEOUT: Duration = Duration::from_mins(10);

/// Drives the scheduler of one owned upstream.
///
/// Clones share the state.
#[derive(Debug, Clone)]
pub struct UpstreamOwner {
    inner: Arc<OwnerInner>,
}

#[derive(Debug)]
pub(super) struct OwnerInner {
    pub context: Arc<OwnerContext>,
    pub row: UpstreamRow,
    pub pool: PoolRow,
    pub client: UpstreamClient,
    state: Mutex<OwnerState>,
}

impl UpstreamOwner {
    /// Creates an owner that only queues calls until [`UpstreamOwner::activate`].
    #[must_use]
    pub fn new(
        context: &Arc<OwnerContext>,
        pool: &PoolRow,
        store: Option<&StoreRow>,
        row: &UpstreamRow,
        epoch: OwnerEpoch,
    ) -> Self {
        let client = match pool.kind {
            PoolKind::Model => UpstreamClient::Engine {
                orders: EngineClient::new(row.address, ORDER_TIMEOUT),
                loads: EngineClient::new(row.address, longest_load(store)),
            },
            PoolKind::Plain => UpstreamClient::Plain(PlainClient::new(row.address, PLAIN_TIMEOUT)),
        };
        let now = context.timer.clock().now();
        let config = SchedulerConfig {
            queue_limit: context.max_queued,
            ..SchedulerConfig::from_rows(pool, store)
        };
        let state = OwnerState {
            phase: OwnerPhase::Acquiring,
            epoch,
            scheduler: UpstreamScheduler::new(config, now),
            calls: BTreeMap::new(),
            engine_names: BTreeMap::new(),
            permits: BTreeMap::new(),
            pending_bids: BTreeSet::new(),
            pending_orders: 0,
            untracked: BTreeSet::new(),
            evicting: BTreeSet::new(),
            duplicate_evictions: BTreeSet::new(),
            pinned: BTreeSet::new(),
            incarnation: None,
            is_healthy: false,
            is_accepting: row.state == UpstreamState::Active,
        };
        Self {
            inner: Arc::new(OwnerInner {
                context: Arc::clone(context),
                row: row.clone(),
                pool: pool.clone(),
                client,
                state: Mutex::new(state),
            }),
        }
    }

    /// Borrows the name of the upstream.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.inner.row.name
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.row.address
    }

    /// Borrows the pool's row in the tables as it was when the ownership began.
    #[must_use]
    pub fn pool(&self) -> &PoolRow {
        &self.inner.pool
    }

    /// Returns the epoch of the ownership; before activation, the one given at creation.
    #[must_use]
    pub fn epoch(&self) -> OwnerEpoch {
        self.state().epoch
    }

    /// Returns the phase of the ownership's lifecycle.
    #[must_use]
    pub fn phase(&self) -> OwnerPhase {
        self.state().phase
    }

    /// Returns the number of dispatched calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state().running()
    }

    /// Returns whether all load and eviction orders have completed.
    #[must_use]
    pub fn has_no_pending_orders(&self) -> bool {
        self.state().pending_orders == 0
    }

    /// Returns the state in the form that is sent to other instances.
    #[must_use]
    pub fn residency(&self) -> ResidencyItem {
        let state = self.state();
        ResidencyItem {
            upstream: self.upstream().as_str().to_owned(),
            epoch: state.epoch.to_u64(),
            running: state.running(),
            queued: state.queued(),
            added: state.engine_names.keys().map(ToString::to_string).collect(),
            removed: Vec::new(),
            is_full: true,
            is_healthy: state.is_healthy && state.phase != OwnerPhase::Releasing,
            number: 0,
            is_dropped: false,
        }
    }

    /// Sets the epoch and starts sending orders and dispatching calls.
    pub fn activate(&self, epoch: OwnerEpoch) {
        {
            let mut state = self.state();
            state.epoch = epoch;
            state.phase = OwnerPhase::Active;
            if matches!(self.inner.client, UpstreamClient::Plain(_)) {
                state.is_healthy = true;
            }
        }
        self.tick();
    }

    /// Sets whether the pool table allows new work on the upstream.
    pub fn set_accepting(&self, is_accepting: bool) {
        let was_accepting = std::mem::replace(&mut self.state().is_accepting, is_accepting);
        if was_accepting && !is_accepting {
            self.log(LogName::UpstreamDraining).send();
        }
    }

    pub(super) fn unavailable(&self, reason: &str) -> Error {
        Error::new(
            ErrorKind::Unavailable,
            format!("upstream {}: {reason}", self.upstream()),
        )
        .with_retry_after(Duration::from_millis(200))
    }

    /// Stops accepting and dispatching calls and refuses the queued ones.
    pub fn release(&self) {
        let queued: Vec<TrackedCall> = {
            let mut state = self.state();
            state.phase = OwnerPhase::Releasing;
            let requests: Vec<RequestId> = state
                .calls
                .iter()
                .filter(|(_, tracked)| !tracked.is_dispatched)
                .map(|(request, _)| *request)
                .collect();
            requests
                .iter()
                .filter_map(|request| state.calls.remove(request))
                .collect()
        };
        for tracked in queued {
            send_error(&tracked.call, &self.unavailable("its owner is changing"));
        }
    }

    /// Creates a log event about the upstream.
    ///
    /// Acquires no lock, so that it may be called with the state lock held.
    pub(super) fn log(&self, event: LogName) -> LogEvent {
        LogEvent::new(event).with("upstream", self.upstream())
    }

    pub(super) fn inner(&self) -> &OwnerInner {
        &self.inner
    }

    pub(super) fn now(&self) -> Duration {
        self.inner.context.timer.clock().now()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, OwnerState> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time after which the permit holder treats a load as ended.
fn longest_load(store: Option<&StoreRow>) -> Duration {
    store.map_or(ORDER_TIMEOUT, |store| {
        PermitConfig::from_row(store).longest_load
    })
}

/// Sends an error to the entry instance, as the end of the answer.
///
/// Spawns a task for it, since the call's chunk queue may be full.
pub(super) fn send_error(call: &Arc<OwnerCall>, error: &Error) {
    let chunk = CallChunk::from_error(error);
    debug_assert!(
        error.run_state() != RunState::Ran || error.kind() != ErrorKind::Overloaded,
        "a refused call never ran"
    );
    let call = Arc::clone(call);
    tokio::spawn(async move {
        // A closed queue means that the entry instance has abandoned the call.
        drop(call.sink.send(chunk).await);
    });
}
