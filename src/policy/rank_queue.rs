use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::fair_clock::FairClock;
use super::{QueuedItem, WorkItem};
use crate::id::{AdapterRef, RequestId, RequestRank};

/// The requests of one rank that wait at an upstream, grouped by adapter.
#[derive(Debug, Clone, Default)]
pub struct RankQueue {
    clock: FairClock,
    groups: BTreeMap<Option<AdapterRef>, BTreeMap<(u64, u64), QueuedItem>>,
    places: BTreeMap<RequestId, (Option<AdapterRef>, (u64, u64))>,
    deadlines: BTreeSet<(Duration, RequestId)>,
    tokens: u64,
}

impl RankQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request; a request that is already waiting keeps its place.
    ///
    /// Returns whether it was added.
    pub fn push(&mut self, item: WorkItem, is_resumed: bool, now: Duration) -> bool {
        if self.places.contains_key(&item.request) {
            return false;
        }
        let tag = self
            .clock
            .tag(&item.caller, item.adapter.as_ref(), item.tokens);
        self.places
            .insert(item.request, (item.adapter.clone(), tag));
        self.deadlines.insert((item.deadline, item.request));
        self.tokens += u64::from(item.tokens);
        let group = self.groups.entry(item.adapter.clone()).or_default();
        let queued = QueuedItem {
            item,
            queued_at: now,
            is_resumed,
            tag,
        };
        group.insert(tag, queued);
        true
    }

    /// Removes a request.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedItem> {
        let (adapter, tag) = self.places.remove(&request)?;
        let group = self.groups.get_mut(&adapter)?;
        let queued = group.remove(&tag)?;
        if group.is_empty() {
            self.groups.remove(&adapter);
        }
        self.deadlines.remove(&(queued.item.deadline, request));
        self.tokens -= u64::from(queued.item.tokens);
        if self.places.is_empty() {
            self.clock.reset();
        }
        Some(queued)
    }

    /// Removes a request to serve it, which moves the fair order on.
    pub fn take(&mut self, request: RequestId) -> Option<QueuedItem> {
        let queued = self.remove(request)?;
        if !self.places.is_empty() {
            self.clock.serve(queued.tag);
        }
        Some(queued)
    }

    /// Borrows the next request in fair order among those whose adapter passes `is_ready`.
    pub fn next(&self, is_ready: impl Fn(Option<&AdapterRef>) -> bool) -> Option<&QueuedItem> {
        self.groups
            .iter()
            .filter(|(adapter, _)| is_ready(adapter.as_ref()))
            .filter_map(|(_, group)| group.values().next())
            .min_by_key(|queued| queued.tag)
    }

    /// Counts the requests whose adapter passes `is_ready`.
    pub fn count_ready(&self, is_ready: impl Fn(Option<&AdapterRef>) -> bool) -> usize {
        self.groups
            .iter()
            .filter(|(adapter, _)| is_ready(adapter.as_ref()))
            .map(|(_, group)| group.len())
            .sum()
    }

    /// Returns whether the request waits.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.places.contains_key(&request)
    }

    /// Returns whether requests wait for the adapter.
    #[must_use]
    pub fn has_adapter(&self, adapter: &AdapterRef) -> bool {
        self.groups.contains_key(&Some(adapter.clone()))
    }

    /// Iterates over the waiting requests of one adapter.
    pub fn of_adapter(&self, adapter: &AdapterRef) -> impl Iterator<Item = &QueuedItem> {
        self.groups
            .get(&Some(adapter.clone()))
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Iterates over the adapters with waiting requests.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.groups.keys().flatten()
    }

    /// Iterates over the waiting requests by deadline, the earliest first.
    pub fn by_deadline(&self) -> impl Iterator<Item = &QueuedItem> {
        self.deadlines.iter().filter_map(|(_, request)| {
            let (adapter, tag) = self.places.get(request)?;
            self.groups.get(adapter)?.get(tag)
        })
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the estimated tokens of all waiting requests.
    #[must_use]
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// One queue per rank, in the order of [`RequestRank::ALL`].
pub(super) type RankQueues = [RankQueue; 3];

/// Borrows the queue of a rank.
pub(super) const fn queue_of(queues: &mut RankQueues, rank: RequestRank) -> &mut RankQueue {
    &mut queues[rank.index()]
}
