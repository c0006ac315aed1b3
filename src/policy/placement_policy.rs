use std::cmp::Reverse;

use rand::Rng;

use super::{PlacementCandidate, placement_score};
use crate::id::{AdapterRef, DomainId, RequestRank, UpstreamId};

/// Places requests on upstreams by load and adapter residency.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPolicy {
    /// Load, relative to `max_running`, above which a resident adapter may get another replica.
    pub replication_threshold: f64,
    /// Load, relative to the mean load, above which a candidate that would have to load the adapter
    /// is skipped, as in consistent hashing with bounded loads.
    pub load_bound: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            replication_threshold: 2.0,
            load_bound: 1.5,
        }
    }
}

impl PlacementPolicy {
    /// Chooses among the upstreams of a pool; returns `None` if no candidate is healthy and active.
    ///
    /// `local` is the failure domain of the entry; among equally loaded upstreams on which the
    /// adapter is resident, those in it are preferred.
    pub fn choose<'a>(
        &self,
        adapter: Option<&AdapterRef>,
        rank: RequestRank,
        local: &DomainId,
        candidates: &'a [PlacementCandidate],
        random: &mut impl Rng,
    ) -> Option<&'a UpstreamId> {
        let usable: Vec<&PlacementCandidate> = candidates
            .iter()
            .filter(|candidate| candidate.is_healthy && candidate.is_active)
            .collect();
        let chosen = match adapter {
            None => two_choices(&usable, rank, random),
            Some(adapter) => self.place(adapter, rank, local, &usable),
        };
        chosen.map(|candidate| &candidate.upstream)
    }

    fn place<'a>(
        &self,
        adapter: &AdapterRef,
        rank: RequestRank,
        local: &DomainId,
        usable: &[&'a PlacementCandidate],
    ) -> Option<&'a PlacementCandidate> {
        let warm = usable
            .iter()
            .copied()
            .filter(|candidate| candidate.is_resident)
            .min_by(|left, right| {
                left.load(rank)
                    .total_cmp(&right.load(rank))
                    .then_with(|| (left.domain != *local).cmp(&(right.domain != *local)))
            });
        let cold = || self.place_cold(adapter, rank, usable);
        match warm {
            None => cold(),
            Some(warm) if warm.load(rank) <= self.replication_threshold => Some(warm),
            // Another replica costs a load, so it must at least halve the wait.
            Some(warm) => cold()
                .filter(|candidate| candidate.load(rank) * 2.0 < warm.load(rank))
                .or(Some(warm)),
        }
    }

    /// Chooses, among the upstreams without the adapter, the first in rendezvous order whose load
    /// does not exceed the bound.
    fn place_cold<'a>(
        &self,
        adapter: &AdapterRef,
        rank: RequestRank,
        usable: &[&'a PlacementCandidate],
    ) -> Option<&'a PlacementCandidate> {
        let key = adapter.to_string();
        let mut order: Vec<(u64, &PlacementCandidate)> = usable
            .iter()
            .filter(|candidate| !candidate.is_resident)
            .map(|candidate| {
                let score = placement_score(&key, candidate.upstream.as_str());
                (score, *candidate)
            })
            .collect();
        order.sort_by_key(|(score, _)| Reverse(*score));
        let count = u32::try_from(order.len().max(1)).unwrap_or(u32::MAX);
        let sum: f64 = order
            .iter()
            .map(|(_, candidate)| candidate.load(rank))
            .sum();
        let limit = (self.load_bound * sum / f64::from(count)).max(1.0);
        order
            .iter()
            .find(|(_, candidate)| candidate.load(rank) <= limit)
            .or(order.first())
            .map(|(_, candidate)| *candidate)
    }
}

/// Chooses the less loaded of two random upstreams, which avoids a thundering herd on one upstream
/// when load reports lag.
fn two_choices<'a>(
    usable: &[&'a PlacementCandidate],
    rank: RequestRank,
    random: &mut impl Rng,
) -> Option<&'a PlacementCandidate> {
    let first = *pick(usable, random)?;
    let second = *pick(usable, random)?;
    Some(if second.load(rank) < first.load(rank) {
        second
    } else {
        first
    })
}

fn pick<'a, T>(items: &'a [T], random: &mut impl Rng) -> Option<&'a T> {
    let count = u64::try_from(items.len()).ok().filter(|count| *count > 0)?;
    let index = usize::try_from(random.next_u64() % count).ok()?;
    items.get(index)
}
