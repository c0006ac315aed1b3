use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use super::PermitHolder;
use super::pending_bid::PendingBid;
use crate::error::Result;
use crate::id::{AdapterRef, UpstreamId};
use crate::peer::{PermitBid, PermitGrant, PermitRelease};
use crate::time::ClockSource;

/// Identifies a bid by its store, upstream and adapter.
pub(super) type BidKey = (String, UpstreamId, AdapterRef);

/// The asynchronous interface of a [`PermitHolder`], where bids wait until they are granted.
///
/// Every instance has one; it refuses bids while another instance is the holder.
#[derive(Debug, Clone)]
pub struct PermitEndpoint {
    state: Arc<Mutex<EndpointState>>,
    changed: Arc<Notify>,
    clock: ClockSource,
    max_wait: Duration,
}

#[derive(Debug)]
struct EndpointState {
    holder: PermitHolder,
    /// The waiting bids, each with the serial number of its call to [`PermitEndpoint::bid`].
    pending: BTreeMap<BidKey, (u64, oneshot::Sender<PermitGrant>)>,
    next_serial: u64,
}

impl PermitEndpoint {
    /// Creates an endpoint that lets a bid wait for up to `max_wait`.
    ///
    /// The wait has to be shorter than the validity of a grant, because the receiver measures the
    /// validity from the time at which it sent the bid.
    #[must_use]
    pub fn new(holder: PermitHolder, clock: ClockSource, max_wait: Duration) -> Self {
        Self {
            state: Arc::new(Mutex::new(EndpointState {
                holder,
                pending: BTreeMap::new(),
                next_serial: 0,
            })),
            changed: Arc::new(Notify::new()),
            clock,
            max_wait,
        }
    }

    /// Issues grants as the limits allow, until the runtime shuts down.
    ///
    /// Calls the holder at least six times per lease, so that the holder does not mistake a time
    /// without bids for a pause of the process.
    pub async fn run(self) {
        loop {
            let pause = {
                let state = self.lock();
                let now = self.clock.now();
                let longest = state.holder.config().lease / 6;
                let next = state
                    .holder
                    .next_grant_at(now)
                    .map(|at| at.saturating_sub(now));
                next.unwrap_or(longest)
                    .clamp(Duration::from_millis(1), longest)
            };
            // The result is ignored: a change and the end of the pause both lead to a tick.
            drop(timeout(pause, self.changed.notified()).await);
            self.tick();
        }
    }

    /// Issues the grants that the limits allow now and sends them to the waiting bids.
    pub fn tick(&self) {
        let mut state = self.lock();
        state.grant(self.clock.now());
    }

    /// Updates the holder's stores, domain share or role, then issues grants.
    pub fn update(&self, change: impl FnOnce(&mut PermitHolder, Duration)) {
        let mut state = self.lock();
        let now = self.clock.now();
        change(&mut state.holder, now);
        state.grant(now);
        self.changed.notify_one();
    }

    /// Submits a bid and waits for its grant, whose permit number is zero if none was issued in
    /// time.
    ///
    /// A second bid for the same store, upstream and adapter replaces the first.
    ///
    /// # Errors
    ///
    /// Fails if the bid is malformed or the holder refuses it.
    pub async fn bid(&self, bid: &PermitBid) -> Result<PermitGrant> {
        let upstream = UpstreamId::from_name(&bid.upstream);
        let adapter = bid.adapter.parse::<AdapterRef>()?;
        let mut pending = {
            let mut state = self.lock();
            let now = self.clock.now();
            state
                .holder
                .bid(&bid.store, &upstream, &adapter, bid.value, now)?;
            let (sender, receiver) = oneshot::channel();
            let serial = state.next_serial;
            state.next_serial += 1;
            let key = (bid.store.clone(), upstream, adapter);
            state.pending.insert(key.clone(), (serial, sender));
            state.grant(now);
            PendingBid {
                endpoint: self,
                key,
                serial,
                receiver,
            }
        };
        self.changed.notify_one();
        let granted = timeout(self.max_wait, pending.granted()).await;
        Ok(granted.ok().flatten().unwrap_or_default())
    }

    /// Releases a permit whose load has ended or was not started.
    pub fn release(&self, release: &PermitRelease) {
        self.release_permit(&release.store, release.permit);
        self.changed.notify_one();
    }

    pub(super) fn release_permit(&self, store: &str, permit: u64) {
        let now = self.clock.now();
        self.lock().holder.release(store, permit, now);
    }

    /// Withdraws a bid unless a later one has replaced it.
    pub(super) fn withdraw(&self, key: &BidKey, serial: u64) {
        let mut state = self.lock();
        if state.pending.get(key).is_some_and(|bid| bid.0 == serial) {
            state.pending.remove(key);
            state.holder.withdraw(&key.0, &key.1, &key.2);
        }
    }

    fn lock(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointState {
    fn grant(&mut self, now: Duration) {
        let valid_ms = self.holder.config().grant_validity.as_millis();
        for grant in self.holder.grants(now) {
            let message = PermitGrant {
                permit: grant.permit,
                valid_ms: u64::try_from(valid_ms).unwrap_or(u64::MAX),
            };
            let key = (grant.store, grant.upstream, grant.adapter);
            let is_received = self
                .pending
                .remove(&key)
                .is_some_and(|(_, sender)| sender.send(message).is_ok());
            if !is_received {
                self.holder.release(&key.0, grant.permit, now);
            }
        }
    }
}
