use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{HolderConfig, HolderGrant};
use crate::id::{AdapterRef, UpstreamId};
use crate::policy::{PermitBucket, PermitConfig};
use crate::table::StoreRow;

/// The bits of a permit number that hold the sequence number of the permit; the other bits
/// distinguish stores, holders and their resets.
const SEQUENCE_MASK: u64 = 0xffff_ffff;

/// The token bucket of one weight store and the bids queued for it.
///
/// Extends [`PermitBucket`] by the expiry of bids and by permit numbers that are unique across
/// holders.
#[derive(Debug, Clone)]
pub(super) struct StoreBucket {
    row: StoreRow,
    bucket: PermitBucket,
    prefix: u64,
    bids: BTreeMap<(UpstreamId, AdapterRef), QueuedBid>,
}

#[derive(Debug, Clone, Copy)]
struct QueuedBid {
    value: f64,
    expires_at: Duration,
}

impl StoreBucket {
    /// Creates an empty bucket; `term` is a number that no other holder or reset uses.
    pub(super) fn new(row: &StoreRow, config: &HolderConfig, term: u64, now: Duration) -> Self {
        let mut limits = PermitConfig::from_row(row);
        // A predecessor keeps granting until it detects the change of holder: at most one lease,
        // plus a quarter of it for the heartbeat that carries the change. Its last permit may be
        // used until the end of its validity, and the load may then take the longest possible time.
        limits.longest_load += config.lease * 5 / 4 + config.grant_validity;
        Self {
            row: row.clone(),
            bucket: PermitBucket::new(limits, now),
            prefix: xxh3_64_with_seed(row.name.as_bytes(), term) & !SEQUENCE_MASK,
            bids: BTreeMap::new(),
        }
    }

    pub(super) const fn row(&self) -> &StoreRow {
        &self.row
    }

    pub(super) fn set_domain_share(&mut self, reachable: u32, total: u32, now: Duration) {
        self.bucket.set_domain_share(reachable, total, now);
    }

    /// Adds or renews a bid; returns false if the queue is full of more valuable bids.
    pub(super) fn bid(
        &mut self,
        upstream: &UpstreamId,
        adapter: &AdapterRef,
        value: f64,
        expires_at: Duration,
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
        self.bids.insert(key, QueuedBid { value, expires_at });
        true
    }

    pub(super) fn withdraw(&mut self, upstream: &UpstreamId, adapter: &AdapterRef) {
        self.bucket.withdraw(upstream, adapter);
        self.bids.remove(&(upstream.clone(), adapter.clone()));
    }

    /// Removes expired bids, then issues the grants that the limits allow.
    pub(super) fn grants(&mut self, now: Duration) -> Vec<HolderGrant> {
        let expired = self
            .bids
            .iter()
            .filter(|(_, bid)| bid.expires_at <= now)
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
                    permit: self.prefix | (grant.permit & SEQUENCE_MASK),
                    upstream: grant.upstream,
                    adapter: grant.adapter,
                }
            })
            .collect()
    }

    /// Releases a permit; ignores numbers of other holders and of earlier terms.
    pub(super) fn release(&mut self, permit: u64) {
        if permit & !SEQUENCE_MASK == self.prefix {
            self.bucket.release(permit & SEQUENCE_MASK);
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
