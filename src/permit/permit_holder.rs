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
/// Every method takes the time. The holder notices a pause by the distance of two calls, so it
/// must be called several times per lease even if nobody bids.
#[derive(Debug, Clone)]
pub struct PermitHolder {
    config: HolderConfig,
    salt: u64,
    restarts: u64,
    is_holding: bool,
    seen_at: Duration,
    domain_share: (u32, u32),
    stores: BTreeMap<String, StoreBucket>,
}

impl PermitHolder {
    /// Creates a holder that does not hold yet; `salt` is a random number.
    #[must_use]
    pub const fn new(config: HolderConfig, salt: u64, now: Duration) -> Self {
        Self {
            config,
            salt,
            restarts: 0,
            is_holding: false,
            seen_at: now,
            domain_share: (1, 1),
            stores: BTreeMap::new(),
        }
    }

    /// Borrows the limits.
    #[must_use]
    pub const fn config(&self) -> &HolderConfig {
        &self.config
    }

    /// Takes over the rows of the weight stores.
    ///
    /// A changed row starts with an empty bucket, because permits of the former limits are out.
    pub fn set_stores(&mut self, rows: &[StoreRow], now: Duration) {
        self.wake(now);
        self.stores
            .retain(|name, _| rows.iter().any(|row| row.name == *name));
        for row in rows {
            let is_same = self
                .stores
                .get(&row.name)
                .is_some_and(|store| store.row() == row);
            if !is_same {
                let store = self.new_store(row, now);
                self.stores.insert(row.name.clone(), store);
            }
        }
    }

    /// Sets whether this instance is the holder; a new holder starts empty.
    pub fn set_holding(&mut self, is_holding: bool, now: Duration) {
        self.wake(now);
        if is_holding != self.is_holding {
            self.is_holding = is_holding;
            self.restart(now);
        }
    }

    /// Sets how many of all failure domains get their permits here.
    ///
    /// A holder that reaches only some domains grants only their share.
    pub fn set_domain_share(&mut self, reachable: u32, total: u32, now: Duration) {
        self.wake(now);
        self.domain_share = (reachable, total);
        for store in self.stores.values_mut() {
            store.set_domain_share(reachable, total, now);
        }
    }

    /// Adds or renews a bid; the most valuable is granted first.
    ///
    /// # Errors
    ///
    /// Refuses a bid while another instance is the holder, for an unknown store, with a value that
    /// is not finite, and if more valuable bids fill the queue.
    pub fn bid(
        &mut self,
        store: &str,
        upstream: &UpstreamId,
        adapter: &AdapterRef,
        value: f64,
        now: Duration,
    ) -> Result<()> {
        self.wake(now);
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
        let (until, limit) = (now + self.config.bid_ttl, self.config.bid_limit);
        let bucket = self.stores.get_mut(store).ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                format!("weight store {store:?} is not in the pool table"),
            )
        })?;
        if bucket.bid(upstream, adapter, value, until, limit) {
            Ok(())
        } else {
            Err(Error::new(
                ErrorKind::Overloaded,
                format!("{limit} more valuable bids wait for store {store:?}"),
            ))
        }
    }

    /// Withdraws a bid.
    pub fn withdraw(&mut self, store: &str, upstream: &UpstreamId, adapter: &AdapterRef) {
        if let Some(bucket) = self.stores.get_mut(store) {
            bucket.withdraw(upstream, adapter);
        }
    }

    /// Grants what the limits allow now.
    pub fn grants(&mut self, now: Duration) -> Vec<HolderGrant> {
        self.wake(now);
        if !self.is_holding {
            return Vec::new();
        }
        self.stores
            .values_mut()
            .flat_map(|store| store.grants(now))
            .collect()
    }

    /// Frees a permit whose load has ended or was not started.
    pub fn release(&mut self, store: &str, permit: u64, now: Duration) {
        self.wake(now);
        if let Some(bucket) = self.stores.get_mut(store) {
            bucket.release(permit);
        }
    }

    /// Returns when the next bid can be granted, if one waits.
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

    /// Returns the number of bids that wait for a store.
    #[must_use]
    pub fn waiting(&self, store: &str) -> usize {
        self.stores.get(store).map_or(0, StoreBucket::waiting)
    }

    /// Starts over after a pause in which another instance may have taken over.
    fn wake(&mut self, now: Duration) {
        if now.saturating_sub(self.seen_at) > self.config.lease {
            self.restart(now);
        }
        self.seen_at = self.seen_at.max(now);
    }

    fn restart(&mut self, now: Duration) {
        self.restarts += 1;
        let rows = self
            .stores
            .values()
            .map(|store| store.row().clone())
            .collect::<Vec<_>>();
        self.stores = rows
            .iter()
            .map(|row| (row.name.clone(), self.new_store(row, now)))
            .collect();
    }

    fn new_store(&self, row: &StoreRow, now: Duration) -> StoreBucket {
        let term = xxh3_64_with_seed(&self.restarts.to_be_bytes(), self.salt);
        let mut store = StoreBucket::new(row, &self.config, term, now);
        store.set_domain_share(self.domain_share.0, self.domain_share.1, now);
        store
    }
}
