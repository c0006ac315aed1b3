use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::{ClientConfig, ClientHooks, LoadPermit};
use crate::error::{Error, ErrorKind, Result};
use crate::id::{AdapterRef, UpstreamId};
use crate::peer::{PermitBid, PermitRelease};
use crate::time::ClockSource;

/// Acquires load permits from the current holder, which may be any instance.
#[derive(Debug, Clone)]
pub struct PermitClient {
    config: ClientConfig,
    hooks: ClientHooks,
    clock: ClockSource,
    bid_slots: Arc<Semaphore>,
}

impl PermitClient {
    /// Creates a client; `clock` measures the validity of its permits.
    #[must_use]
    pub fn new(config: ClientConfig, hooks: ClientHooks, clock: ClockSource) -> Self {
        let bid_slots = Arc::new(Semaphore::new(config.max_concurrent_bids));
        Self {
            config,
            hooks,
            clock,
            bid_slots,
        }
    }

    /// Bids once for a permit; returns `None` if none was granted in time.
    ///
    /// A bid that was not granted has to be repeated with a recomputed value. A grant that may have
    /// expired in transit is released unused.
    ///
    /// # Errors
    ///
    /// Fails if no holder is known, if it does not answer or refuses the bid, or if too many bids
    /// are in progress.
    pub async fn acquire(
        &self,
        store: &str,
        upstream: &UpstreamId,
        adapter: &AdapterRef,
        value: f64,
    ) -> Result<Option<LoadPermit>> {
        let _slot = self.bid_slots.try_acquire().map_err(|_full| {
            Error::new(
                ErrorKind::Overloaded,
                format!(
                    "{} bids for load permits are under way",
                    self.config.max_concurrent_bids
                ),
            )
        })?;
        let holder = self.hooks.find_holder().ok_or_else(|| {
            Error::new(
                ErrorKind::Unavailable,
                "no live instance holds the load permits",
            )
        })?;
        let bid = PermitBid {
            store: store.to_owned(),
            upstream: upstream.as_str().to_owned(),
            adapter: adapter.to_string(),
            value,
        };
        let sent_at = self.clock.now();
        let grant = timeout(self.config.bid_timeout, self.hooks.send_bid(&holder, bid))
            .await
            .map_err(|_elapsed| {
                Error::new(
                    ErrorKind::Peer,
                    format!("permit holder {holder} did not answer a bid"),
                )
            })??;
        if grant.permit == 0 {
            return Ok(None);
        }
        let permit = LoadPermit {
            store: store.to_owned(),
            number: grant.permit,
            holder,
            // A lower bound: the permit was granted at some time after the bid was sent.
            valid_until: sent_at + Duration::from_millis(grant.valid_ms),
        };
        if permit.is_valid(self.clock.now()) {
            return Ok(Some(permit));
        }
        self.release(permit, false).await;
        Ok(None)
    }

    /// Releases a permit after its load has ended, or unused if no load was started.
    ///
    /// Retries a failed release; after the last attempt the permit is left to expire at the holder.
    pub async fn release(&self, permit: LoadPermit, is_used: bool) {
        for _ in 0..self.config.release_attempts {
            let release = PermitRelease {
                store: permit.store.clone(),
                permit: permit.number,
                is_used,
            };
            let sent = timeout(
                self.config.bid_timeout,
                self.hooks.send_release(&permit.holder, release),
            );
            if matches!(sent.await, Ok(Ok(()))) {
                return;
            }
        }
        log::warn!(
            "failed to release permit {} at {}; it expires after the longest possible load",
            permit.number,
            permit.holder
        );
    }
}
