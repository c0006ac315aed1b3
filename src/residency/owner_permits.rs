use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::fetch_permits::PermitStep;
use super::{LoadOwner, ResidencyLedger};
use crate::forward::UpstreamEntry;
use crate::id::{DomainId, InstanceId};
use crate::peer::{PeerRequest, PermitBid, PermitGrant, PermitRelease, ask, reply};

/// Maximum number of concurrent loads from the weight store per 100 engines. Beyond the store's own
/// limit all loads slow down; known deployments allow between 0.53 and 1.07 loads per engine.
const FETCHES_PER_100_ENGINES: usize = 67;

/// Placeholder for a permit from the quota of the owned domains, used while no pool is reachable.
const DOMAIN_QUOTA_PERMIT: u64 = u64::MAX;

/// The permit number in the reply to a bid that expired at the pool.
const EXPIRED_BID: u64 = 0;

/// Time to wait for the reply to a bid; bids expire at the pool before that.
const BID_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause before the quota of the owned domains is used, since the pool may just be moving to
/// another instance.
const QUOTA_PAUSE: Duration = Duration::from_millis(100);

/// Permits for loads from the weight store: granted as the pool holder, requested as an owner.
impl LoadOwner {
    /// Returns whether this instance holds the pool that grants the permits of all domains.
    pub(super) fn is_pool_holder(&self, now: Duration) -> bool {
        self.lock().pool_holder(now).as_ref() == Some(&self.instance)
    }

    /// Waits until a permit can be granted to an instance; returns zero if its bid expires first.
    pub async fn grant_permit(&self, instance: &InstanceId, value: f64) -> u64 {
        let answer = {
            let mut state = self.lock();
            let now = self.clock.now();
            let answer = state.pool.bid(instance, value, now);
            state.pool.grant(self.fetch_limit(None), now);
            answer
        };
        answer.await.unwrap_or(EXPIRED_BID)
    }

    /// Releases a permit of an instance and grants the free permits to waiting bids.
    pub fn return_permit(&self, instance: &InstanceId, permit: u64) {
        let limit = self.fetch_limit(None);
        let mut state = self.lock();
        state.pool.release(instance, permit);
        state.pool.grant(limit, self.clock.now());
    }

    /// Returns the maximum number of concurrent loads, for one domain or for all domains if
    /// `domain` is `None`.
    pub(super) fn fetch_limit(&self, domain: Option<&DomainId>) -> usize {
        let Some(routes) = self.fleet.routes() else {
            return 1;
        };
        let is_engine = |entry: &&Arc<UpstreamEntry>| {
            domain.is_none_or(|domain| entry.domain == *domain)
                && routes
                    .service(&entry.service)
                    .is_some_and(|service| service.engine.is_some())
        };
        let engines = self.fleet.upstreams().values().filter(is_engine).count();
        (engines * FETCHES_PER_100_ENGINES / 100).max(1)
    }

    /// Sends the bids and returned permits of a step to the pool.
    pub(super) fn send_permits(self: &Arc<Self>, step: PermitStep, value: f64) {
        if step.bids == 0 && step.returns.is_empty() {
            return;
        }
        let now = self.clock.now();
        let holder = self.lock().pool_holder(now);
        for permit in step.returns {
            if permit == DOMAIN_QUOTA_PERMIT {
                continue;
            }
            match &holder {
                Some(holder) if *holder != self.instance => {
                    let (this, holder) = (Arc::clone(self), holder.clone());
                    tokio::spawn(async move { this.send_permit_return(&holder, permit).await });
                }
                _ => self.return_permit(&self.instance, permit),
            }
        }
        for _ in 0..step.bids {
            let (this, holder) = (Arc::clone(self), holder.clone());
            tokio::spawn(async move {
                let permit = this.request_permit(holder, value).await;
                let mut state = this.lock();
                state.permits.bid_answered(permit);
                for loader in state.loaders.values() {
                    loader.wake.notify_one();
                }
            });
        }
    }

    /// Requests a permit; if no pool is reachable, falls back to the quota of the owned domains.
    pub(super) async fn request_permit(
        &self,
        holder: Option<InstanceId>,
        value: f64,
    ) -> Option<u64> {
        let requested = async {
            let holder = holder?;
            if holder == self.instance {
                return Some(self.grant_permit(&holder, value).await);
            }
            let bid = PermitBid {
                store: String::new(),
                upstream: String::new(),
                adapter: String::new(),
                value,
            };
            let body = Some(ask::Body::Bid(bid));
            match self
                .mesh
                .get()?
                .request(&holder, PeerRequest { body })
                .await
            {
                Ok(answer) => match answer.body {
                    Some(reply::Body::Grant(PermitGrant { permit, .. })) => Some(permit),
                    _ => None,
                },
                Err(error) => {
                    log::debug!("permit bid to {holder} failed: {error}");
                    None
                }
            }
        };
        match timeout(BID_TIMEOUT, requested).await {
            Ok(Some(permit)) if permit != EXPIRED_BID => Some(permit),
            Ok(None) => {
                sleep(QUOTA_PAUSE).await;
                self.has_free_quota().then_some(DOMAIN_QUOTA_PERMIT)
            }
            Ok(Some(_)) | Err(_) => None,
        }
    }

    /// Returns whether the quotas of the owned domains allow one more load.
    pub(super) fn has_free_quota(&self) -> bool {
        let state = self.lock();
        let ledgers = state.loaders.values().map(|loader| &loader.ledger);
        let fetches: usize = ledgers.map(ResidencyLedger::fetches).sum();
        let held = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.epoch().is_some());
        let quota: usize = held.map(|(domain, _)| self.fetch_limit(Some(domain))).sum();
        fetches + state.unanswered_fetches + state.permits.free_count() < quota
    }

    pub(super) async fn send_permit_return(&self, holder: &InstanceId, permit: u64) {
        let release = PermitRelease {
            store: String::new(),
            permit,
            is_used: true,
        };
        let Some(mesh) = self.mesh.get() else {
            return;
        };
        let body = Some(ask::Body::Done(release));
        if let Err(error) = mesh.request(holder, PeerRequest { body }).await {
            log::debug!("returning a permit to {holder} failed; it will expire there: {error}");
        }
    }
}
