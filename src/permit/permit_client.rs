use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::{ClientConfig, ClientHooks, LoadPermit};
use crate::error::{Error, ErrorKind, Result};
use crate::id::{AdapterRef, UpstreamId};
use crate::peer::{PermitBid, PermitDone};
use crate::time::ClockSource;

/// Asks the holder for load permits, wherever it is.
#[derive(Debug, Clone)]
pub struct PermitClient {
    config: ClientConfig,
    hooks: ClientHooks,
    clock: ClockSource,
    asks: Arc<Semaphore>,
}

impl PermitClient {
    /// Creates a client.
    #[must_use]
    pub fn new(config: ClientConfig, hooks: ClientHooks, clock: ClockSource) -> Self {
        let asks = Arc::new(Semaphore::new(config.max_concurrent_bids));
        Self {
            config,
            hooks,
            clock,
            asks,
        }
    }

    /// Bids once for a permit; `None` if none was granted within the holder's waiting time.
    ///
    /// The caller bids again with a fresh value. A grant whose validity may have passed on the way
    /// is returned unused.
    ///
    /// # Errors
    ///
    /// Fails if no holder is known, it does not answer or refuses, or too many bids are under way.
    pub async fn acquire(
        &self,
        store: &str,
        upstream: &UpstreamId,
        adapter: &AdapterRef,
        value: f64,
    ) -> Result<Option<LoadPermit>> {
        let _ask = self.asks.try_acquire().map_err(|_full| {
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
        let asked_at = self.clock.now();
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
            permit: grant.permit,
            holder,
            // The permit was granted after the bid was sent; nothing closer is known.
            valid_until: asked_at + Duration::from_millis(grant.valid_ms),
        };
        if permit.is_valid(self.clock.now()) {
            return Ok(Some(permit));
        }
        self.release(permit, false).await;
        Ok(None)
    }

    /// Returns a permit after its load has ended, or unused.
    pub async fn release(&self, permit: LoadPermit, is_used: bool) {
        for _ in 0..self.config.release_attempts {
            let done = PermitDone {
                store: permit.store.clone(),
                permit: permit.permit,
                is_used,
            };
            let sent = timeout(
                self.config.bid_timeout,
                self.hooks.send_done(&permit.holder, done),
            );
            if matches!(sent.await, Ok(Ok(()))) {
                return;
            }
        }
        log::warn!(
            "permit {} could not be returned to {}; it is freed after the longest possible load",
            permit.permit,
            permit.holder
        );
    }
}
