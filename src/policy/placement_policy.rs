use std::cmp::Reverse;

use rand::Rng;

use super::{PlacementCandidate, placement_score};
use crate::id::{AdapterRef, DomainId, RequestRank, UpstreamId};

/// Chooses an upstream for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementPolicy {
    /// Load, in batches, above which a resident adapter gets one more replica.
    pub replicate_at: f64,
    /// Load of a cold adapter's first choice, relative to the mean, above which the next is taken.
    pub bound: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            replicate_at: 2.0,
            bound: 1.5,
        }
    }
}

impl PlacementPolicy {
    /// Chooses among the upstreams of a pool; none if no candidate takes work.
    ///
    /// `home` is the failure domain of the entry and breaks ties between equally loaded upstreams.
    pub fn choose<'a>(
        &self,
        adapter: Option<&AdapterRef>,
        rank: RequestRank,
        home: &DomainId,
        candidates: &'a [PlacementCandidate],
        random: &mut impl Rng,
    ) -> Option<&'a UpstreamId> {
        let usable: Vec<&PlacementCandidate> = candidates
            .iter()
            .filter(|candidate| candidate.is_healthy && candidate.is_active)
            .collect();
        let chosen = match adapter {
            None => two_choices(&usable, rank, random),
            Some(adapter) => self.place(adapter, rank, home, &usable),
        };
        chosen.map(|candidate| &candidate.upstream)
    }

    fn place<'a>(
        &self,
        adapter: &AdapterRef,
        rank: RequestRank,
        home: &DomainId,
        usable: &[&'a PlacementCandidate],
    ) -> Option<&'a PlacementCandidate> {
        let warm = usable
            .iter()
            .copied()
            .filter(|candidate| candidate.is_resident)
            .min_by(|left, right| {
                left.load(rank)
                    .total_cmp(&right.load(rank))
                    .then_with(|| (left.domain != *home).cmp(&(right.domain != *home)))
            });
        let cold = || self.cold(adapter, rank, usable);
        match warm {
            None => cold(),
            Some(warm) if warm.load(rank) <= self.replicate_at => Some(warm),
            // A replica costs a load, so it must at least halve the wait.
            Some(warm) => cold()
                .filter(|candidate| candidate.load(rank) * 2.0 < warm.load(rank))
                .or(Some(warm)),
        }
    }

    /// Takes the first choice by rendezvous hash whose load is near the mean.
    fn cold<'a>(
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
        let limit = (self.bound * sum / f64::from(count)).max(1.0);
        order
            .iter()
            .find(|(_, candidate)| candidate.load(rank) <= limit)
            .or(order.first())
            .map(|(_, candidate)| *candidate)
    }
}

/// Takes the less loaded of two random upstreams, which avoids herds when reports lag.
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
