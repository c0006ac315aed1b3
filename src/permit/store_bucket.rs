use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{HolderConfig, HolderGrant};
use crate::id::{AdapterRef, UpstreamId};
use crate::policy::{PermitBucket, PermitConfig};
use crate::table::StoreRow;

/// The part of a permit's number that counts permits; the rest tells holders and restarts apart.
const COUNT_MASK: u64 = 0xffff_ffff;

/// The bucket of one weight store with the bids that wait for it.
///
/// This is the only use of [`PermitBucket`] by the holder.
#[derive(Debug, Clone)]
pub(super) struct StoreBucket {
    row: StoreRow,
    bucket: PermitBucket,
    prefix: u64,
    bids: BTreeMap<(UpstreamId, AdapterRef), StandingBid>,
}

#[derive(Debug, Clone, Copy)]
struct StandingBid {
    value: f64,
    until: Duration,
}

impl StoreBucket {
    /// Creates an empty bucket; `term` is a number that no other holder or restart uses.
    pub(super) fn new(row: &StoreRow, config: &HolderConfig, term: u64, now: Duration) -> Self {
        let mut limits = PermitConfig::from_row(row);
        // A predecessor goes on granting until it learns of the change: at most one lease, and a
        // quarter more for the heartbeat that tells it. The last permit may be used until the end
        // of its validity, and its load takes as long as a load may take.
        limits.longest_load += config.lease * 5 / 4 + config.grant_validity;
        Self {
            row: row.clone(),
            bucket: PermitBucket::new(limits, now),
            prefix: xxh3_64_with_seed(row.name.as_bytes(), term) & !COUNT_MASK,
            bids: BTreeMap::new(),
        }
    }

    pub(super) const fn row(&self) -> &StoreRow {
        &self.row
    }

    pub(super) fn set_domain_share(&mut self, reachable: u32, total: u32, now: Duration) {
        self.bucket.set_domain_share(reachable, total, now);
    }

    /// Adds or renews a bid; returns false if more valuable bids fill the queue.
    pub(super) fn bid(
        &mut self,
        upstream: &UpstreamId,
        adapter: &AdapterRef,
        value: f64,
        until: Duration,
        limit: usize,
    ) -> bool {
        let key = (upstream.clone(), adapter.clone());
        if self.bids.len() >= limit && !self.bids.contains_key(&key) {
            let least = self
                .bids
                .iter()
                .min_by(|left, right| left.1.value.total_cmp(&right.1.value))
                .map(|(key, bid)| (key.clone(), bid.value));
            match least {
                Some((least, lowest)) if lowest < value => self.withdraw(&least.0, &least.1),
                _ => return false,
            }
        }
        self.bucket.bid(upstream, adapter, value);
        self.bids.insert(key, StandingBid { value, until });
        true
    }

    pub(super) fn withdraw(&mut self, upstream: &UpstreamId, adapter: &AdapterRef) {
        self.bucket.withdraw(upstream, adapter);
        self.bids.remove(&(upstream.clone(), adapter.clone()));
    }

    /// Grants what the limits allow, after dropping expired bids.
    pub(super) fn grants(&mut self, now: Duration) -> Vec<HolderGrant> {
        let expired = self
            .bids
            .iter()
            .filter(|(_, bid)| bid.until <= now)
            .map(|(key, _)| key.clone())
            .collect::<Vec<_>>();
        for (upstream, adapter) in expired {
            self.withdraw(&upstream, &adapter);
        }
        let granted = self.bucket.grants(now);
        granted
            .into_iter()
            .map(|grant| {
                self.bids
                    .remove(&(grant.upstream.clone(), grant.adapter.clone()));
                HolderGrant {
                    store: self.row.name.clone(),
                    permit: self.prefix | (grant.permit & COUNT_MASK),
                    upstream: grant.upstream,
                    adapter: grant.adapter,
                }
            })
            .collect()
    }

    /// Frees a permit; numbers of other holders and of earlier terms are ignored.
    pub(super) fn release(&mut self, permit: u64) {
        if permit & !COUNT_MASK == self.prefix {
            self.bucket.release(permit & COUNT_MASK);
        }
    }

    pub(super) fn next_grant_at(&self, now: Duration) -> Option<Duration> {
        self.bucket.next_grant_at(now)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.bucket.in_flight()
    }

    pub(super) fn waiting(&self) -> usize {
        self.bids.len()
    }
}
