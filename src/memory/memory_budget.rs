use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use tokio::sync::Notify;

use super::memory_limits::CONNECTION_BYTES;
use super::{HeldState, MemoryGrant, MemoryLimits};
use crate::policy::{choose_connection_shed, choose_memory_shed};
use crate::telemetry::{LogEvent, LogName, MetricName, MetricSink};
use crate::time::ClockSource;

/// Returns the number of bytes that the process has allocated, for callers and for everything else.
pub type AllocatedBytes = Box<dyn Fn() -> usize + Send + Sync>;

/// The memory and the connections that the callers of a process may take together.
pub struct MemoryBudget {
    limits: MemoryLimits,
    allocated: AllocatedBytes,
    clock: ClockSource,
    metrics: MetricSink,
    state: Mutex<BudgetState>,
    /// Wakes the listener after a connection has ended.
    pub(super) ended: Notify,
}

#[derive(Debug, Default)]
pub(super) struct BudgetState {
    /// Sum of all charges, also of complete bodies.
    pub(super) used: usize,
    pub(super) holders: BTreeMap<u64, HeldState>,
    next_id: u64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(
        limits: MemoryLimits,
        allocated: AllocatedBytes,
        clock: ClockSource,
        metrics: MetricSink,
    ) -> Arc<Self> {
        Arc::new(Self {
            limits,
            allocated,
            clock,
            metrics,
            state: Mutex::default(),
            ended: Notify::new(),
        })
    }

    /// Returns the bytes that are charged at present.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.lock().used
    }

    /// Returns the bytes that the process has allocated.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        (self.allocated)()
    }

    /// Admits a new connection. If too many are open, one that isn't being served is closed first, and
    /// `None` is returned if there is none.
    pub async fn admit(self: &Arc<Self>) -> Option<MemoryGrant> {
        loop {
            let ended = self.ended.notified();
            if !self.has_room()? {
                ended.await;
                continue;
            }
            let mut state = self.lock();
            let id = state.next_id;
            state.next_id += 1;
            let held = HeldState::new(self.clock.now());
            let grant = MemoryGrant::new(Arc::clone(self), id, &held);
            state.holders.insert(id, held);
            return Some(grant);
        }
    }

    /// Returns whether a connection can be admitted, `false` if one is being closed for it, or `None` if
    /// none can be closed.
    fn has_room(&self) -> Option<bool> {
        let state = self.lock();
        if state.holders.len() < self.limits.connections {
            return Some(true);
        }
        if state.holders.values().any(|held| held.close.is_cancelled()) {
            return Some(false);
        }
        let holders = state.holders.iter().map(|(id, held)| (*id, held.holder()));
        let chosen = choose_connection_shed(holders, self.clock.now());
        let Some(held) = chosen.and_then(|id| state.holders.get(&id)) else {
            drop(state);
            self.report("connection refused");
            return None;
        };
        held.close.cancel();
        drop(state);
        self.report("connection closed");
        Some(false)
    }

    /// Makes room for further `bytes` of the holder `id` by shedding others, and charges them. Returns
    /// whether they were charged.
    ///
    /// A single body of the largest size is let in whatever the limit, because a request inside the limits
    /// has to be served in calm.
    pub(super) fn charge(&self, state: &mut BudgetState, id: u64, bytes: usize) -> bool {
        while !self.covers(state, id, bytes) {
            // What was shed before needs a moment to end.
            let holders = state.holders.iter().filter(|(_, held)| !held.is_ended());
            let holders = holders.map(|(id, held)| (*id, held.holder()));
            match choose_memory_shed(holders, self.clock.now()) {
                Some(chosen) if chosen != id => {
                    drop(state.shed(chosen));
                    self.report("memory");
                }
                _ => return false,
            }
        }
        state.used += bytes;
        true
    }

    /// Returns whether further `bytes` of the holder `id` are within the limits.
    fn covers(&self, state: &BudgetState, id: u64, bytes: usize) -> bool {
        let own = state.holders.get(&id).map_or(0, HeldState::bytes);
        let wanted = own.saturating_add(bytes);
        let is_covered = |returning: usize| {
            let others = state.used.saturating_sub(own + returning);
            let allocated = self.allocated_bytes().saturating_sub(returning);
            let is_within = others.saturating_add(wanted) <= self.limits.bytes;
            let is_small = wanted <= CONNECTION_BYTES;
            let is_allocatable =
                is_small || allocated.saturating_add(bytes) <= self.limits.process_bytes;
            others == 0 || is_within && is_allocatable
        };
        // The memory of closed connections is free as soon as their tasks have run.
        is_covered(0) || is_covered(state.returning_bytes(id))
    }

    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Counts and logs that something was taken from a caller.
    pub(super) fn report(&self, reason: &'static str) {
        self.metrics.add(MetricName::CallersShed, "", reason, 1);
        LogEvent::new(LogName::CallerShed)
            .with("reason", reason)
            .send();
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryBudget")
            .field("limits", &self.limits)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl BudgetState {
    /// Returns the charges of the connections that are being closed, other than `id`.
    fn returning_bytes(&self, id: u64) -> usize {
        let others = self.holders.iter().filter(|(known, _)| **known != id);
        let closing = others.filter(|(_, held)| held.close.is_cancelled());
        closing.map(|(_, held)| held.bytes()).sum()
    }

    /// Takes the unfinished body of a connection, or closes the connection if it has none.
    pub(super) fn shed(&mut self, id: u64) -> BytesMut {
        let Some(held) = self.holders.get_mut(&id) else {
            return BytesMut::new();
        };
        let body = std::mem::take(&mut held.body);
        self.used -= body.capacity();
        if body.capacity() == 0 {
            held.close.cancel();
        }
        held.is_shed = true;
        held.shed.cancel();
        body
    }
}
