use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::fair_clock::FairClock;
use super::waiting_group::WaitingGroup;
use super::{QueuedItem, WorkItem};
use crate::id::{AdapterRef, RequestId, RequestRank};

/// Queue of the requests of one rank at an upstream, grouped by adapter.
#[derive(Debug, Clone, Default)]
pub struct RankQueue {
    clock: FairClock,
    plain: WaitingGroup,
    groups: BTreeMap<AdapterRef, WaitingGroup>,
    locations: BTreeMap<RequestId, (Option<AdapterRef>, (u64, u64))>,
    deadlines: BTreeSet<(Duration, RequestId)>,
    tokens: u64,
}

impl RankQueue {
    /// Creates a queue without requests, with the fair clock at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request and returns whether it was added; a request that is already queued keeps its
    /// position.
    pub fn push(&mut self, item: WorkItem, is_resumed: bool, now: Duration) -> bool {
        if self.locations.contains_key(&item.request) {
            return false;
        }
        let tag = self
            .clock
            .assign_tag(&item.caller, item.adapter.as_ref(), item.tokens);
        self.locations
            .insert(item.request, (item.adapter.clone(), tag));
        self.deadlines.insert((item.deadline, item.request));
        self.tokens += u64::from(item.tokens);
        let group = match &item.adapter {
            None => &mut self.plain,
            Some(adapter) => self.groups.entry(adapter.clone()).or_default(),
        };
        group.insert(QueuedItem {
            item,
            queued_at: now,
            is_resumed,
            tag,
        });
        true
    }

    /// Removes a request without serving it; returns `None` if it is not queued.
    pub fn remove(&mut self, request: RequestId) -> Option<QueuedItem> {
        let (adapter, tag) = self.locations.remove(&request)?;
        let queued = match &adapter {
            None => self.plain.remove(tag)?,
            Some(adapter) => {
                let group = self.groups.get_mut(adapter)?;
                let queued = group.remove(tag)?;
                if group.is_empty() {
                    self.groups.remove(adapter);
                }
                queued
            }
        };
        self.deadlines.remove(&(queued.item.deadline, request));
        self.tokens -= u64::from(queued.item.tokens);
        if self.locations.is_empty() {
            self.clock.reset();
        }
        Some(queued)
    }

    /// Removes a request to serve it, which advances the virtual time of the fair order.
    pub fn take(&mut self, request: RequestId) -> Option<QueuedItem> {
        let queued = self.remove(request)?;
        if !self.locations.is_empty() {
            self.clock.advance_to(queued.tag);
        }
        Some(queued)
    }

    /// Returns the next request in fair order among those without an adapter or for the given
    /// adapters.
    pub fn next_among<'a>(
        &self,
        adapters: impl Iterator<Item = &'a AdapterRef>,
    ) -> Option<&QueuedItem> {
        adapters
            .filter_map(|adapter| self.groups.get(adapter))
            .chain([&self.plain])
            .filter_map(WaitingGroup::first)
            .min_by_key(|queued| queued.tag)
    }

    /// Returns the number of queued requests without an adapter or for the given adapters.
    pub fn count_among<'a>(&self, adapters: impl Iterator<Item = &'a AdapterRef>) -> usize {
        adapters
            .filter_map(|adapter| self.groups.get(adapter))
            .chain([&self.plain])
            .map(WaitingGroup::len)
            .sum()
    }

    /// Returns whether the request is queued.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.locations.contains_key(&request)
    }

    /// Returns whether requests for the adapter are queued.
    #[must_use]
    pub fn has_adapter(&self, adapter: &AdapterRef) -> bool {
        self.groups.contains_key(adapter)
    }

    /// Iterates over the queued requests for one adapter, in fair order.
    pub fn of_adapter(&self, adapter: &AdapterRef) -> impl Iterator<Item = &QueuedItem> {
        self.groups
            .get(adapter)
            .into_iter()
            .flat_map(WaitingGroup::iter)
    }

    pub(super) fn group(&self, adapter: &AdapterRef) -> Option<&WaitingGroup> {
        self.groups.get(adapter)
    }

    pub(super) fn groups(&self) -> impl Iterator<Item = (&AdapterRef, &WaitingGroup)> {
        self.groups.iter()
    }

    /// Iterates over the adapters with queued requests.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.groups.keys()
    }

    /// Returns the number of adapters with queued requests.
    #[must_use]
    pub fn adapters_len(&self) -> usize {
        self.groups.len()
    }

    /// Iterates over the queued requests by deadline, the earliest first.
    pub fn by_deadline(&self) -> impl Iterator<Item = &QueuedItem> {
        self.deadlines.iter().filter_map(|(_, request)| {
            let (adapter, tag) = self.locations.get(request)?;
            match adapter {
                None => self.plain.find(*tag),
                Some(adapter) => self.groups.get(adapter)?.find(*tag),
            }
        })
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the sum of the estimated tokens of all queued requests.
    #[must_use]
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// One queue per rank, in the order of [`RequestRank::ALL`].
pub(super) type RankQueues = [RankQueue; 3];

pub(super) const fn queue_of(queues: &mut RankQueues, rank: RequestRank) -> &mut RankQueue {
    &mut queues[rank.index()]
}
