use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use super::PermitHolder;
use super::permit_wait::PermitWait;
use crate::error::Result;
use crate::id::{AdapterRef, UpstreamId};
use crate::peer::{PermitBid, PermitDone, PermitGrant};
use crate::time::ClockSource;

/// Store, upstream and adapter of a bid.
pub(super) type WaitKey = (String, UpstreamId, AdapterRef);

/// The asynchronous side of a [`PermitHolder`]: bids wait here until they are granted.
///
/// It exists on every instance and refuses bids while another instance is the holder.
#[derive(Debug, Clone)]
pub struct PermitEndpoint {
    state: Arc<Mutex<EndpointState>>,
    change: Arc<Notify>,
    clock: ClockSource,
    wait_time: Duration,
}

#[derive(Debug)]
struct EndpointState {
    holder: PermitHolder,
    waits: BTreeMap<WaitKey, (u64, oneshot::Sender<PermitGrant>)>,
    next_serial: u64,
}

impl PermitEndpoint {
    /// Creates an endpoint that lets a bid wait for `wait_time`.
    ///
    /// The wait has to be shorter than the validity of a grant, which its receiver counts from the
    /// moment of the bid.
    #[must_use]
    pub fn new(holder: PermitHolder, clock: ClockSource, wait_time: Duration) -> Self {
        Self {
            state: Arc::new(Mutex::new(EndpointState {
                holder,
                waits: BTreeMap::new(),
                next_serial: 0,
            })),
            change: Arc::new(Notify::new()),
            clock,
            wait_time,
        }
    }

    /// Grants at the right times until the runtime ends.
    ///
    /// It calls the holder at least six times per lease, so that the holder notices pauses only
    /// when there were some.
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
            // The result does not matter: both a change and the end of the pause lead to a tick.
            drop(timeout(pause, self.change.notified()).await);
            self.tick();
        }
    }

    /// Passes grants to the bids that wait for them.
    pub fn tick(&self) {
        let mut state = self.lock();
        state.grant(self.clock.now());
    }

    /// Changes the holder's stores, reach or role.
    pub fn update(&self, change: impl FnOnce(&mut PermitHolder, Duration)) {
        let mut state = self.lock();
        let now = self.clock.now();
        change(&mut state.holder, now);
        state.grant(now);
        self.change.notify_one();
    }

    /// Lets a bid wait; the grant has number zero if none was possible in time.
    ///
    /// A second bid for the same upstream and adapter replaces the first.
    ///
    /// # Errors
    ///
    /// Refuses malformed bids, and bids that the holder refuses.
    pub async fn bid(&self, bid: &PermitBid) -> Result<PermitGrant> {
        let upstream = UpstreamId::from_name(&bid.upstream);
        let adapter = bid.adapter.parse::<AdapterRef>()?;
        let mut wait = {
            let mut state = self.lock();
            let now = self.clock.now();
            state
                .holder
                .bid(&bid.store, &upstream, &adapter, bid.value, now)?;
            let (sender, receiver) = oneshot::channel();
            let serial = state.next_serial;
            state.next_serial += 1;
            let key = (bid.store.clone(), upstream, adapter);
            state.waits.insert(key.clone(), (serial, sender));
            state.grant(now);
            PermitWait {
                endpoint: self,
                key,
                serial,
                receiver,
            }
        };
        self.change.notify_one();
        let granted = timeout(self.wait_time, wait.granted()).await;
        Ok(granted.ok().flatten().unwrap_or_default())
    }

    /// Frees a permit.
    pub fn release(&self, done: &PermitDone) {
        self.free(&done.store, done.permit);
        self.change.notify_one();
    }

    pub(super) fn free(&self, store: &str, permit: u64) {
        let now = self.clock.now();
        self.lock().holder.release(store, permit, now);
    }

    /// Withdraws a bid unless a later one has replaced it.
    pub(super) fn withdraw(&self, key: &WaitKey, serial: u64) {
        let mut state = self.lock();
        if state.waits.get(key).is_some_and(|wait| wait.0 == serial) {
            state.waits.remove(key);
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
            let is_taken = self
                .waits
                .remove(&key)
                .is_some_and(|(_, sender)| sender.send(message).is_ok());
            if !is_taken {
                self.holder.release(&key.0, grant.permit, now);
            }
        }
    }
}
