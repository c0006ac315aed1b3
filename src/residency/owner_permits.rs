use std::sync::Arc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::fetch_permits::PermitStep;
use super::{LoadOwner, ResidencyLedger};
use crate::forward::UpstreamEntry;
use crate::id::{DomainId, InstanceId};
use crate::peer::{PeerAsk, PermitBid, PermitDone, PermitGrant, ask, reply};

/// Engines of a failure domain for which loads may be on their way from the weight store at a time,
/// in hundredths. Beyond the store's own limit all loads slow down; the deployments known so far
/// allow between 0.53 and 1.07 loads for each engine.
const FETCHES_PER_100_ENGINES: usize = 67;

/// Stands for a permit of the domain's own share, which is used when no pool is in reach.
const DOMAIN_QUOTA_PERMIT: u64 = u64::MAX;

/// Replied to a bid that lapsed at the pool.
const EXPIRED_BID: u64 = 0;

/// Time that an answer to a bid is waited for; bids lapse at the pool before that.
const BID_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause before the own share is used; the pool may only be changing its place.
const QUOTA_PAUSE: Duration = Duration::from_millis(100);

/// The permits for loads from the weight store: granted as the pool, asked for as an owner.
impl LoadOwner {
    /// Returns whether this instance grants the permits of all domains.
    pub(super) fn is_pool_holder(&self, now: Duration) -> bool {
        self.lock().pool_holder(now).as_ref() == Some(&self.instance)
    }

    /// Grants a permit for a load to an instance when one is free.
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

    /// Takes a permit back and grants it to the next bid.
    pub fn return_permit(&self, instance: &InstanceId, permit: u64) {
        let limit = self.fetch_limit(None);
        let mut state = self.lock();
        state.pool.release(instance, permit);
        state.pool.grant(limit, self.clock.now());
    }

    /// Returns how many loads may be on their way, over all domains or for one of them.
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

    /// Sends bids and returned permits to the pool.
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

    /// Asks for a permit; without a pool in reach, the domain's own share applies.
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
            match self.mesh.get()?.ask(&holder, PeerAsk { body }).await {
                Ok(answer) => match answer.body {
                    Some(reply::Body::Grant(PermitGrant { permit, .. })) => Some(permit),
                    _ => None,
                },
                Err(error) => {
                    log::debug!("no permit from {holder}: {error}");
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

    /// Returns whether the shares of the owned domains leave room for one more load.
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
        let done = PermitDone {
            store: String::new(),
            permit,
            is_used: true,
        };
        let Some(mesh) = self.mesh.get() else {
            return;
        };
        let body = Some(ask::Body::Done(done));
        if let Err(error) = mesh.ask(holder, PeerAsk { body }).await {
            log::debug!("a permit was not returned to {holder} and expires there: {error}");
        }
    }
}
