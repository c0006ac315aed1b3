use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::store_bucket::StoreBucket;
use super::{HolderConfig, HolderGrant};
use crate::error::{Error, ErrorKind, Result};
use crate::id::{AdapterRef, UpstreamId};
use crate::table::StoreRow;

/// Grants load permits for all weight stores while this instance is the holder.
///
/// The methods take the current time. The holder detects a pause of the process by the time between
/// two calls, so it must be called several times per lease even without bids.
#[derive(Debug, Clone)]
pub struct PermitHolder {
    config: HolderConfig,
    salt: u64,
    reset_count: u64,
    is_holding: bool,
    last_call_at: Duration,
    /// The number of failure domains that this holder serves, and the number of all.
    domain_share: (u32, u32),
    stores: BTreeMap<String, StoreBucket>,
}

impl PermitHolder {
    /// Creates a holder that has no stores and grants nothing until [`PermitHolder::set_holding`].
    ///
    /// `salt` is a random number that makes permit numbers unique across processes.
    #[must_use]
    pub const fn new(config: HolderConfig, salt: u64, now: Duration) -> Self {
        Self {
            config,
            salt,
            reset_count: 0,
            is_holding: false,
            last_call_at: now,
            domain_share: (1, 1),
            stores: BTreeMap::new(),
        }
    }

    /// Borrows the configuration given at creation.
    #[must_use]
    pub const fn config(&self) -> &HolderConfig {
        &self.config
    }

    /// Updates the weight stores from the rows of the pool table.
    ///
    /// A changed row starts with an empty bucket, because permits granted under the former limits
    /// may still be in use.
    pub fn set_stores(&mut self, rows: &[StoreRow], now: Duration) {
        self.detect_pause(now);
        self.stores
            .retain(|name, _| rows.iter().any(|row| row.name == *name));
        for row in rows {
            let is_same = self
                .stores
                .get(&row.name)
                .is_some_and(|store| store.row() == row);
            if !is_same {
                let store = self.new_bucket(row, now);
                self.stores.insert(row.name.clone(), store);
            }
        }
    }

    /// Sets whether this instance is the holder; a change resets all buckets.
    pub fn set_holding(&mut self, is_holding: bool, now: Duration) {
        self.detect_pause(now);
        if is_holding != self.is_holding {
            self.is_holding = is_holding;
            self.reset(now);
        }
    }

    /// Sets how many of the `total` failure domains get their permits from this holder.
    ///
    /// A holder that reaches only some domains grants only their share of the limits.
    pub fn set_domain_share(&mut self, reachable: u32, total: u32, now: Duration) {
        self.detect_pause(now);
        self.domain_share = (reachable, total);
        for store in self.stores.values_mut() {
            store.set_domain_share(reachable, total, now);
        }
    }

    /// Adds or renews a bid; the most valuable bid is granted first.
    ///
    /// # Errors
    ///
    /// Fails if another instance is the holder, the store is unknown, the value is not finite, or
    /// the queue is full of more valuable bids.
    pub fn bid(
        &mut self,
        store: &str,
        upstream: &UpstreamId,
        adapter: &AdapterRef,
        value: f64,
        now: Duration,
    ) -> Result<()> {
        self.detect_pause(now);
        if !self.is_holding {
            return Err(Error::new(
                ErrorKind::Unavailable,
                "this instance does not hold the load permits; ask the present holder",
            ));
        }
        if !value.is_finite() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!("bid value {value} is not a number that can be ordered"),
            ));
        }
        let (expires_at, limit) = (now + self.config.bid_ttl, self.config.bid_limit);
        let bucket = self.stores.get_mut(store).ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                format!("weight store {store:?} is not in the pool table"),
            )
        })?;
        if bucket.bid(upstream, adapter, value, expires_at, limit) {
            Ok(())
        } else {
            Err(Error::new(
                ErrorKind::Overloaded,
                format!("{limit} more valuable bids wait for store {store:?}"),
            ))
        }
    }

    /// Withdraws a bid, if it is still queued.
    pub fn withdraw(&mut self, store: &str, upstream: &UpstreamId, adapter: &AdapterRef) {
        if let Some(bucket) = self.stores.get_mut(store) {
            bucket.withdraw(upstream, adapter);
        }
    }

    /// Issues the grants that the limits allow now; none while another instance is the holder.
    pub fn grants(&mut self, now: Duration) -> Vec<HolderGrant> {
        self.detect_pause(now);
        if !self.is_holding {
            return Vec::new();
        }
        self.stores
            .values_mut()
            .flat_map(|store| store.grants(now))
            .collect()
    }

    /// Releases a permit whose load has ended or was not started.
    pub fn release(&mut self, store: &str, permit: u64, now: Duration) {
        self.detect_pause(now);
        if let Some(bucket) = self.stores.get_mut(store) {
            bucket.release(permit);
        }
    }

    /// Returns when the next queued bid can be granted, or `None` if no bid is queued or another
    /// instance is the holder.
    #[must_use]
    pub fn next_grant_at(&self, now: Duration) -> Option<Duration> {
        if !self.is_holding {
            return None;
        }
        self.stores
            .values()
            .filter_map(|store| store.next_grant_at(now))
            .min()
    }

    /// Returns whether this instance is the holder.
    #[must_use]
    pub const fn is_holding(&self) -> bool {
        self.is_holding
    }

    /// Returns the number of permits of a store whose loads have not ended.
    #[must_use]
    pub fn in_flight(&self, store: &str) -> usize {
        self.stores.get(store).map_or(0, StoreBucket::in_flight)
    }

    /// Returns the number of queued bids for a store.
    #[must_use]
    pub fn waiting(&self, store: &str) -> usize {
        self.stores.get(store).map_or(0, StoreBucket::waiting)
    }

    /// Resets the holder after a pause during which another instance may have become the holder.
    fn detect_pause(&mut self, now: Duration) {
        if now.saturating_sub(self.last_call_at) > self.config.lease {
            self.reset(now);
        }
        self.last_call_at = self.last_call_at.max(now);
    }

    fn reset(&mut self, now: Duration) {
        self.reset_count += 1;
        let rows = self
            .stores
            .values()
            .map(|store| store.row().clone())
            .collect::<Vec<_>>();
        self.stores = rows
            .iter()
            .map(|row| (row.name.clone(), self.new_bucket(row, now)))
            .collect();
    }

    fn new_bucket(&self, row: &StoreRow, now: Duration) -> StoreBucket {
        let term = xxh3_64_with_seed(&self.reset_count.to_be_bytes(), self.salt);
        let mut store = StoreBucket::new(row, &self.config, term, now);
        store.set_domain_share(self.domain_share.0, self.domain_share.1, now);
        store
    }
}
