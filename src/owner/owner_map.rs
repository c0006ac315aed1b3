use std::collections::{BTreeMap, BTreeSet};

use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::member::rendezvous_pick;
use crate::table::{PoolTable, UpstreamRow};

/// The assignment of upstreams to owners.
///
/// The owner is the candidate of the upstream's failure domain with the highest rendezvous score.
/// If that domain has no candidate, a domain that has candidates is used in its place, also chosen
/// by rendezvous score, so that the upstreams do not stay idle.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OwnerMap {
    owners: BTreeMap<UpstreamId, InstanceId>,
}

impl OwnerMap {
    /// Assigns each upstream of the table to one of `candidates`, the instances that may take
    /// ownership, grouped by failure domain.
    #[must_use]
    pub fn assign(
        pools: &PoolTable,
        candidates: &BTreeMap<DomainId, BTreeSet<InstanceId>>,
    ) -> Self {
        let owners = pools
            .upstreams()
            .filter_map(|(_, upstream)| {
                let owner = owner(upstream, candidates)?;
                Some((upstream.name.clone(), owner.clone()))
            })
            .collect();
        Self { owners }
    }

    /// Returns the owner of an upstream, or `None` if the table does not list the upstream or there
    /// was no candidate.
    #[must_use]
    pub fn owner(&self, upstream: &UpstreamId) -> Option<&InstanceId> {
        self.owners.get(upstream)
    }

    /// Iterates over the upstreams that an instance owns.
    pub fn owned_by<'a>(
        &'a self,
        instance: &'a InstanceId,
    ) -> impl Iterator<Item = &'a UpstreamId> {
        self.owners
            .iter()
            .filter(move |(_, owner)| *owner == instance)
            .map(|(upstream, _)| upstream)
    }

    /// Iterates over all upstreams with their owners.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &InstanceId)> {
        self.owners.iter()
    }
}

fn owner<'a>(
    upstream: &UpstreamRow,
    candidates: &'a BTreeMap<DomainId, BTreeSet<InstanceId>>,
) -> Option<&'a InstanceId> {
    let instances = candidates
        .get(&upstream.domain)
        .filter(|instances| !instances.is_empty())
        .or_else(|| {
            // Keyed by upstream, so that the upstreams of a lost domain spread over all others.
            let domains = candidates
                .iter()
                .filter(|(_, instances)| !instances.is_empty())
                .map(|(domain, _)| domain);
            let domain = rendezvous_pick(upstream.name.as_str(), domains, DomainId::as_str)?;
            candidates.get(domain)
        })?;
    rendezvous_pick(upstream.name.as_str(), instances, InstanceId::as_str)
}
