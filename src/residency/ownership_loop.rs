use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::fleet_view::FleetView;
use super::{LeaseStep, LeaseWrite, LoadOwner, ReachTracker, ResidencyDirectory, StorePort};
use crate::allowance::AllowanceLedger;
use crate::error::{Error, ErrorKind, Result};
use crate::forward::{FleetState, InFlightTracker, PartGuard};
use crate::id::{DomainId, InstanceId};
use crate::member::rendezvous_score;
use crate::peer::PeerMesh;
use crate::platform_client::ListedInstance;
use crate::relay::ChangeRelay;
use crate::telemetry::{LogEvent, LogName};
use crate::time::{ClockSource, TimerService};

/// Acquires and renews the leases of failure domains and exchanges gossip messages with the peers.
pub struct OwnershipLoop {
    /// The id of this instance.
    pub instance: InstanceId,
    /// The failure domain of this instance.
    pub domain: DomainId,
    /// Supplies the current time, from which all timeouts are computed.
    pub clock: ClockSource,
    /// The known upstreams, routes and store revisions.
    pub fleet: Arc<FleetState>,
    /// Holds the leases and sends orders to the upstreams of held domains.
    pub owner: Arc<LoadOwner>,
    /// Counts the requests in flight of this instance and its peers.
    pub tracker: Arc<InFlightTracker>,
    /// What workspaces use of their allowances.
    pub allowances: Arc<AllowanceLedger>,
    /// Stores the owner and the resident adapters of each upstream.
    pub directory: Arc<ResidencyDirectory>,
    /// Parts of prompts, and whole requests, that crash upstreams.
    pub part_guard: Arc<PartGuard>,
    /// The links to the other instances.
    pub mesh: PeerMesh,
    /// Relays changes of the store to the peers.
    pub relay: Arc<ChangeRelay>,
    /// Reads and writes lease records and removes dead instances.
    pub store: StorePort,
    /// The instances that are registered in the store.
    pub instances: Arc<Mutex<Vec<ListedInstance>>>,
}

impl fmt::Debug for OwnershipLoop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnershipLoop")
            .field("instance", &self.instance)
            .finish_non_exhaustive()
    }
}

/// Interval between checks of the leases.
const LEASE_PERIOD: Duration = Duration::from_millis(100);

/// Pause before the next call for a failure domain after a call to the store failed, so that an
/// overloaded store does not receive ten calls a second from each instance. It leaves time for a
/// second attempt to renew a lease, since the first is due half a second before the lease expires.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Maximum gap between two checks; a longer one means that this process was paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(700);

/// Interval at which the instances are passed to the links again although none has changed.
const SYNC_PERIOD: Duration = Duration::from_millis(500);

impl OwnershipLoop {
    /// Checks the leases until the process ends.
    pub async fn run(self: Arc<Self>, timers: TimerService) {
        let mut ticks = timers.subscribe(LEASE_PERIOD);
        let mut last = self.clock.now();
        let mut view = FleetView::default();
        let mut reach = ReachTracker::new();
        let mut paused_until: BTreeMap<DomainId, Duration> = BTreeMap::new();
        loop {
            ticks.next().await;
            let now = self.clock.now();
            // Without the acknowledgement of an unregistered instance, a holder may still send
            // orders, so such an instance must not take over until it has been registered for the
            // takeover timeout.
            let was_paused = now.saturating_sub(last) > PAUSE_LIMIT;
            let must_wait = was_paused || !self.is_listed();
            last = now;
            if was_paused {
                reach.resume_after_pause();
            }
            if self.refresh(&mut view, now) {
                self.remove_dead_instance(&mut reach, now).await;
            }
            // Peers can't be trusted with the era: a later one would void all records.
            let era = (self.store.era)();
            for (domain, rank) in &view.ranks {
                let (domain, rank) = (domain.clone(), *rank);
                if let Some(era) = era {
                    self.owner
                        .with_lease(&domain, rank, |lease, _| lease.observe_era(era, now));
                }
                if must_wait {
                    self.owner
                        .with_lease(&domain, rank, |lease, _| lease.resume_after_pause(now));
                }
                if paused_until.get(&domain).is_some_and(|until| now < *until) {
                    continue;
                }
                if self.advance(&domain, rank).await.is_err() {
                    paused_until.insert(domain, self.clock.now() + STORE_RETRY_PAUSE);
                }
            }
            self.owner.sync_loaders();
        }
    }

    /// Executes the next step of a lease; fails if a call to the store fails.
    async fn advance(&self, domain: &DomainId, rank: u32) -> Result<()> {
        let now = self.clock.now();
        let step = self.owner.with_lease(domain, rank, |lease, acked_at| {
            lease.next_step(now, acked_at)
        });
        let step = match step {
            LeaseStep::Read { may_be_stale } => match (self.store.read)(domain, may_be_stale).await
            {
                Ok(found) => {
                    let now = self.clock.now();
                    let (was_held, step, is_held) =
                        self.owner.with_lease(domain, rank, |lease, _| {
                            let was_held = lease.epoch().is_some();
                            let step = lease.read_completed(found, now);
                            (was_held, step, lease.epoch().is_some())
                        });
                    if was_held && !is_held {
                        LogEvent::new(LogName::OwnershipReleased)
                            .with("domain", domain)
                            .with("reason", "the lease record was changed by another instance")
                            .send();
                    }
                    step
                }
                Err(error) => {
                    log::debug!("reading the lease record of {domain} failed: {error}");
                    return Err(error);
                }
            },
            step => step,
        };
        let LeaseStep::Write(record, expected) = step else {
            return Ok(());
        };
        let epoch = record.epoch;
        let (was_held, reason) = self.owner.with_lease(domain, rank, |lease, _| {
            (lease.epoch(), lease.takeover_reason())
        });
        if was_held.is_none() {
            self.check_entry(domain, rank).await?;
        }
        let sent_at = self.clock.now();
        match (self.store.write)(record.clone(), expected).await {
            Ok(LeaseWrite::Written(revision)) => {
                self.owner.with_lease(domain, rank, |lease, _| {
                    lease.write_completed(record, revision, sent_at);
                });
                if was_held.is_none() {
                    LogEvent::new(LogName::OwnershipTaken)
                        .with("domain", domain)
                        .with("reason", reason)
                        .with_count("epoch", epoch)
                        .send();
                }
            }
            Ok(LeaseWrite::Conflict) => {
                let now = self.clock.now();
                self.owner
                    .with_lease(domain, rank, |lease, _| lease.write_conflicted(now));
            }
            Err(error) => {
                self.owner
                    .with_lease(domain, rank, |lease, _| lease.write_lost());
                log::debug!("writing the lease record of {domain} failed: {error}");
                return Err(error);
            }
        }
        Ok(())
    }

    /// Gives up a takeover unless the store has the entry of this instance: the list may be old, and a
    /// holder does not ask an instance whose entry was removed.
    async fn check_entry(&self, domain: &DomainId, rank: u32) -> Result<()> {
        let found = (self.store.has_instance)(&self.instance).await;
        self.owner.with_lease(domain, rank, |lease, _| match found {
            Ok(true) => Ok(()),
            Ok(false) => {
                lease.release(self.clock.now());
                let detail = "this instance has no entry in the store; wait for it";
                Err(Error::new(ErrorKind::Platform, detail))
            }
            Err(error) => {
                // Nothing was written, so that the takeover stays due.
                lease.write_lost();
                Err(error)
            }
        })
    }

    /// Lists the domains with this instance's rank among the candidates for each.
    ///
    /// Instances in the domain rank first, since they stay connected to its upstreams during a
    /// network partition between domains.
    fn candidate_ranks(&self) -> Vec<(DomainId, u32)> {
        let upstreams = self.fleet.upstreams();
        let domains: BTreeSet<&DomainId> = upstreams.values().map(|entry| &entry.domain).collect();
        let instances = self
            .instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let rank_in = |domain: &DomainId| {
            let key = |id: &InstanceId, other_domain: &DomainId| {
                let score = rendezvous_score(domain.as_str(), id.as_str());
                (other_domain == domain, score)
            };
            let own = key(&self.instance, &self.domain);
            let ahead = instances
                .iter()
                .filter(|other| other.id != self.instance)
                .filter(|other| key(&other.id, &other.domain) > own)
                .count();
            u32::try_from(ahead).unwrap_or(u32::MAX)
        };
        domains
            .into_iter()
            .map(|domain| (domain.clone(), rank_in(domain)))
            .collect()
    }

    /// Removes the store entry of an instance that counts as dead.
    ///
    /// To send orders, an owner needs the acknowledgement of every registered instance or a renewal
    /// in the store. Without the removal, owners would depend on the store alone after an instance
    /// is replaced for good. Only the pool holder removes entries. An instance that was merely
    /// partitioned registers again.
    async fn remove_dead_instance(&self, reach: &mut ReachTracker, now: Duration) {
        let live = self.mesh.live_peers().into_iter().map(|peer| peer.id);
        let live: BTreeSet<InstanceId> = live.collect();
        let listed: BTreeSet<InstanceId> = lock(&self.instances)
            .iter()
            .map(|instance| instance.id.clone())
            .filter(|id| *id != self.instance)
            .collect();
        let dead = reach.observe(&listed, &live, now);
        // An instance without any live peer is more likely to be partitioned itself.
        let is_connected = !live.is_empty() || listed.len() <= 1;
        if let Some(dead) = dead.filter(|_| is_connected && self.owner.is_pool_holder(now)) {
            match (self.store.remove_instance)(&dead).await {
                Ok(()) => LogEvent::new(LogName::PeerDead)
                    .with("peer", &dead)
                    .with("reason", "unreachable; its store entry was removed")
                    .send(),
                Err(error) => log::debug!("removing the entry of {dead} failed: {error}"),
            }
        }
    }

    fn is_listed(&self) -> bool {
        let listed = lock(&self.instances);
        listed.iter().any(|listed| listed.id == self.instance)
    }

    /// Updates a view if the fleet has changed or the view is old; returns whether it did.
    fn refresh(&self, view: &mut FleetView, now: Duration) -> bool {
        let upstreams = self.fleet.upstreams();
        let is_fresh = view.synced_at.is_some_and(|at| now < at + SYNC_PERIOD)
            && Arc::ptr_eq(&view.upstreams, &upstreams)
            && view.instances == *lock(&self.instances);
        if is_fresh {
            return false;
        }
        view.synced_at = Some(now);
        view.upstreams = upstreams;
        view.instances.clone_from(&lock(&self.instances));
        self.sync_instances(&view.instances);
        view.ranks = self.candidate_ranks();
        let is_known = |domain: &DomainId| view.ranks.iter().any(|(known, _)| known == domain);
        self.owner.forget_idle_domains(is_known);
        true
    }

    fn sync_instances(&self, instances: &[ListedInstance]) {
        let others: BTreeSet<InstanceId> = instances
            .iter()
            .filter(|other| other.id != self.instance)
            .map(|other| other.id.clone())
            .collect();
        self.owner.set_others(others);
        self.mesh.dial(instances);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
