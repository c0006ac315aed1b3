use std::time::Duration;

use super::LeaseRecord;
use super::lease_eras::KnownEra;
use crate::id::{DomainId, InstanceId};
use crate::relay::revision_era;

/// Decides whether this instance may send orders to the upstreams of a failure domain.
///
/// The holder may send orders if, within the last [`VALIDITY`](Self::VALIDITY), either every other
/// listed or linked instance acknowledged a gossip message with its claim, or its record in the
/// store was renewed. An acknowledgement is kept in the memory of the instance that gave it. After a restart, the
/// instance acknowledges only claims of a holder that knows what the instance has forgotten.
///
/// Another instance takes over once, for [`TAKEOVER_TIMEOUT`](Self::TAKEOVER_TIMEOUT), it has
/// acknowledged no claim, the record has not changed, and it was not paused itself. Orders of two
/// holders are therefore at least [`QUIET_TIME`](Self::QUIET_TIME) apart, although a holder that
/// all peers acknowledge does not call the store.
#[derive(Debug)]
pub struct DomainLease {
    pub(super) domain: DomainId,
    pub(super) instance: InstanceId,
    pub(super) held: Option<HeldLease>,
    pub(super) seen: Option<SeenRecord>,
    /// The time at which this instance last acknowledged a claim of another one; also set at the
    /// start, after a pause, after a write conflict and when the lease is given up.
    pub(super) holder_seen_at: Duration,
    pub(super) rank: u32,
    /// The latest takeover of this process that may take effect, unless it has acknowledged a claim
    /// since.
    pub(super) takeover: Option<PendingTakeover>,
    /// The highest epoch that this process has held, acknowledged or read, without those that the
    /// store has refuted.
    pub(super) known_epoch: u64,
    /// The highest epoch that this process has written to the store or read there.
    pub(super) stored_epoch: u64,
    /// The highest revision of the record that an acknowledged claim has stated.
    pub(super) claimed_revision: u64,
    /// Whether a claim was contested because of an epoch that only claims have told of.
    pub(super) is_disputed: bool,
    /// The time of the last completed read.
    read_at: Duration,
    /// Whether `known_epoch` is not below any epoch that earlier processes of this instance have held.
    pub(super) covers_earlier_processes: bool,
    /// The highest epoch of an unverified claim.
    pub(super) unverified_epoch: u64,
    /// Whether the record has been read since the start of the process.
    pub(super) has_read: bool,
    /// The era of the store, or `None` before it is known.
    pub(super) era: Option<KnownEra>,
}

#[derive(Debug)]
pub(super) struct HeldLease {
    pub(super) record: LeaseRecord,
    pub(super) revision: u64,
    /// The time at which the last successful write was sent.
    pub(super) renewed_at: Duration,
    /// Whether the record has another revision in the store, so that it has to be read.
    pub(super) is_outdated: bool,
}

/// A write of a new epoch.
#[derive(Debug)]
pub(super) struct PendingTakeover {
    pub(super) epoch: u64,
    /// Whether the reply is still awaited.
    pub(super) is_in_flight: bool,
}

/// The record in the store as last read.
#[derive(Debug)]
pub(super) struct SeenRecord {
    pub(super) record: LeaseRecord,
    pub(super) revision: u64,
    /// The time at which this revision was first read, or the end of a later pause.
    pub(super) unchanged_since: Duration,
}

/// The action that the ownership loop has to take for a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing is due.
    Idle,
    /// Read the record from the store.
    Read {
        /// Whether the record may be some seconds old: each write is conditional on the revision
        /// that was read, and the first read of all instances of a large fleet is a burst of calls.
        may_be_stale: bool,
    },
    /// Write the record if its revision in the store is still the given one, or create it if the
    /// revision is `None`.
    Write(LeaseRecord, Option<u64>),
}

impl DomainLease {
    /// Time after a renewal or acknowledgement during which the holder may send orders.
    pub const VALIDITY: Duration = Duration::from_secs(1);

    /// Minimum time between the last order of one holder and the first order of the next. Engines
    /// that do not check the fencing token could otherwise carry out both.
    pub const QUIET_TIME: Duration = Duration::from_secs(3);

    /// Time between writing an order to its connection and its arrival that the takeover timeout allows for.
    /// The connection of an order must discard bytes that are not acknowledged in this time.
    pub const MAX_ORDER_TIME: Duration = Duration::from_millis(700);

    /// Time without a claim or renewal of the holder after which another instance takes over: the
    /// sum of the validity, the transit time of the last order, the quiet time, and a margin for
    /// timers.
    pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(4900);

    /// Age of an instance's acknowledgement, when its present process is linked, up to which the
    /// holder vouches that the instance has not taken over. It is below the takeover timeout, since
    /// clocks differ in speed.
    pub(super) const VOUCH_LIMIT: Duration = Duration::from_millis(4500);

    /// Age of the last acknowledgement or renewal at which the holder renews its record.
    const RENEW_AFTER: Duration = Duration::from_millis(450);

    /// Time after its expiry within which a lease is normally regained: two renewals of the record
    /// fit. A request that waits longer than this misses its latency target.
    pub const REGAIN_TIME: Duration = Duration::from_millis(600);

    /// Additional delay per rank, so that candidates do not write the record at the same time.
    const RANK_STEP: Duration = Duration::from_millis(600);

    /// Additional takeover delay per rank. It gives the claim of a successor, sent within a gossip
    /// period, time to arrive before most candidates write the record.
    const TAKEOVER_STEP: Duration = Duration::from_millis(100);

    /// Rank from which the additional takeover delay stays the same, so that a domain is not left
    /// without an owner for seconds when all of its own instances have failed.
    const MAX_DELAYED_RANK: u32 = 10;

    /// Delay before the record is read again, counted from `holder_seen_at`; the claim of a live
    /// holder arrives within it.
    const READ_DELAY: Duration = Duration::from_millis(700);

    /// Minimum time between the reads that check a disputed epoch, so that a faulty peer, which may
    /// claim the domain at any rate, does not determine the number of calls to the store.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);

    /// Creates a lease that is not held; `rank` is this instance's position among the candidates,
    /// starting at zero.
    #[must_use]
    pub const fn new(domain: DomainId, instance: InstanceId, rank: u32, now: Duration) -> Self {
        Self {
            domain,
            instance,
            held: None,
            seen: None,
            holder_seen_at: now,
            rank,
            takeover: None,
            known_epoch: 0,
            stored_epoch: 0,
            claimed_revision: 0,
            is_disputed: false,
            read_at: now,
            covers_earlier_processes: false,
            unverified_epoch: 0,
            has_read: false,
            era: None,
        }
    }

    /// Changes this instance's position among the candidates.
    pub const fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Records that another instance claimed the domain, which restarts the takeover timeout.
    pub const fn observe_holder(&mut self, now: Duration) {
        self.holder_seen_at = now;
    }

    /// Restarts all timeouts, because this process was paused and may have missed claims.
    pub fn resume_after_pause(&mut self, now: Duration) {
        self.holder_seen_at = now;
        if let Some(seen) = &mut self.seen {
            seen.unchanged_since = now;
        }
    }

    /// Returns the next action; `acked_at` is the result of
    /// [`AckQuorum::acked_at`](super::AckQuorum::acked_at).
    #[must_use]
    pub fn next_step(&mut self, now: Duration, acked_at: Option<Duration>) -> LeaseStep {
        let wait = Self::READ_DELAY + Self::RANK_STEP * self.rank;
        if let Some(held) = &self.held {
            if held.is_outdated {
                return LeaseStep::Read {
                    may_be_stale: false,
                };
            }
            let confirmed_at = held.renewed_at.max(acked_at.unwrap_or_default());
            let is_fresh = now.saturating_sub(confirmed_at) < Self::RENEW_AFTER;
            // The first renewal proves to later processes that this one knew of its takeover.
            if is_fresh && held.record.renewals > 0 {
                return LeaseStep::Idle;
            }
            let mut record = held.record.clone();
            record.renewals += 1;
            return LeaseStep::Write(record, Some(held.revision));
        }
        if self.is_disputed && now.saturating_sub(self.read_at) >= Self::CHECK_INTERVAL {
            return LeaseStep::Read { may_be_stale: true };
        }
        let Some(seen) = &self.seen else {
            // The first read needs no delay: if the record names this instance, its process was
            // restarted and it reacquires the lease at once.
            let is_due = !self.has_read || now.saturating_sub(self.holder_seen_at) >= wait;
            return if is_due {
                LeaseStep::Read {
                    may_be_stale: !self.has_read,
                }
            } else {
                LeaseStep::Idle
            };
        };
        let is_own =
            seen.record.holder == self.instance && self.allows_immediate_retake(&seen.record);
        let timeout =
            Self::TAKEOVER_TIMEOUT + Self::TAKEOVER_STEP * self.rank.min(Self::MAX_DELAYED_RANK);
        let is_stale = now.saturating_sub(seen.unchanged_since) >= timeout
            && now.saturating_sub(self.holder_seen_at) >= timeout;
        if is_own || is_stale {
            // A record of another writer may have the highest number.
            let (recorded, revision) = (seen.record.epoch, seen.revision);
            return self.take_over(recorded, Some(revision));
        }
        // No further reads are needed: the conditional write fails if the record has changed.
        LeaseStep::Idle
    }

    /// Handles a completed read; `found` is `None` if the store has no record of the domain.
    #[must_use]
    pub fn read_completed(
        &mut self,
        found: Option<(LeaseRecord, u64)>,
        now: Duration,
    ) -> LeaseStep {
        self.has_read = true;
        self.is_disputed = false;
        self.read_at = now;
        if let Some((record, revision)) = &found {
            self.observe_stored(record.epoch, *revision);
        }
        if let Some(step) = self.restore_record(found.as_ref()) {
            return step;
        }
        if self.is_renewed_by(found.as_ref()) {
            return LeaseStep::Idle;
        }
        if self.held.is_some() {
            self.release(now);
        }
        let Some((record, revision)) = found else {
            // A claim told of a record while the read was in progress.
            if self.seen.is_some() {
                return LeaseStep::Idle;
            }
            if now.saturating_sub(self.holder_seen_at) < Self::RANK_STEP * self.rank {
                return LeaseStep::Idle;
            }
            return self.take_over(0, None);
        };
        let is_known = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.revision >= revision);
        if !is_known {
            self.seen = Some(SeenRecord {
                record,
                revision,
                unchanged_since: now,
            });
        }
        LeaseStep::Idle
    }

    /// Handles a successful write. The lease is valid from `sent_at`, the time of the request.
    ///
    /// Does nothing if the lease was given up in the meantime.
    pub fn write_completed(&mut self, record: LeaseRecord, revision: u64, sent_at: Duration) {
        if self.held.is_none() && self.takeover.is_none() {
            return;
        }
        self.takeover = None;
        self.observe_stored(record.epoch, revision);
        self.covers_earlier_processes = true;
        // The store may have come back from an older copy while the call was in progress.
        let is_outdated = self.is_of_earlier_era(&record);
        self.held = Some(HeldLease {
            record,
            revision,
            renewed_at: sent_at,
            is_outdated,
        });
        self.seen = None;
    }

    /// Handles a write that failed because the record had changed in the store, by a write of
    /// another instance or by an earlier one of this instance whose reply was lost.
    ///
    /// A held lease is kept until the record is read. It needs the acknowledgements of all others
    /// meanwhile, which an instance that has taken over does not give.
    pub fn write_conflicted(&mut self, now: Duration) {
        self.end_takeover_call();
        if let Some(held) = &mut self.held {
            held.is_outdated = true;
            return;
        }
        self.seen = None;
        self.holder_seen_at = now;
    }

    /// Handles a write without a reply; it may have taken effect or may still do so later.
    pub fn write_lost(&mut self) {
        self.end_takeover_call();
        self.seen = None;
    }

    /// Returns whether this instance holds the lease and may send an order now.
    #[must_use]
    pub fn may_order(&self, now: Duration, acked_at: Option<Duration>) -> bool {
        self.order_deadline(now, acked_at).is_some()
    }

    /// Returns the time before which an order that is decided now must be written to its connection, or
    /// `None` if no order may be sent.
    #[must_use]
    pub fn order_deadline(&self, now: Duration, acked_at: Option<Duration>) -> Option<Duration> {
        let held = self.held.as_ref()?;
        if self.is_changing_epoch(now) {
            return None;
        }
        let renewed_at = if self.is_unproven_since_era(held.renewed_at) {
            Duration::ZERO
        } else {
            held.renewed_at
        };
        let confirmed_at = renewed_at.max(acked_at.unwrap_or_default());
        let is_valid = now.saturating_sub(confirmed_at) < Self::VALIDITY;
        is_valid.then_some(confirmed_at + Self::VALIDITY)
    }

    /// Returns whether the lease is held but expired more than [`REGAIN_TIME`](Self::REGAIN_TIME)
    /// ago, so that no order may be sent.
    #[must_use]
    pub fn is_regain_overdue(&self, now: Duration, acked_at: Option<Duration>) -> bool {
        self.held.is_some() && !self.may_order(now.saturating_sub(Self::REGAIN_TIME), acked_at)
    }

    /// Returns the epoch if the lease is held, even while it is expired.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.record.epoch)
    }

    /// Returns the highest epoch that this process has held, acknowledged or read, without those that
    /// the store has refuted, or zero.
    #[must_use]
    pub const fn known_epoch(&self) -> u64 {
        self.known_epoch
    }

    /// Returns whether this lease binds the instance to nothing, so that a new one can replace it: it
    /// is not held, and the last claim is older than the takeover timeout.
    #[must_use]
    pub fn is_idle(&self, now: Duration) -> bool {
        let is_old = now.saturating_sub(self.holder_seen_at) >= Self::TAKEOVER_TIMEOUT;
        self.held.is_none() && self.takeover.is_none() && is_old
    }

    /// Returns why a takeover is due, for the log.
    #[must_use]
    pub fn takeover_reason(&self) -> &'static str {
        match &self.seen {
            None => "the domain had no lease record",
            Some(seen) if seen.record.holder == self.instance => {
                "the lease record names this instance"
            }
            Some(_) => "the holder was silent",
        }
    }

    /// Returns when the last successful write of a held lease was sent.
    #[must_use]
    pub fn renewed_at(&self) -> Option<Duration> {
        self.held.as_ref().map(|held| held.renewed_at)
    }

    /// Gives up the lease locally; the record in the store stays.
    pub fn release(&mut self, now: Duration) {
        self.held = None;
        self.takeover = None;
        self.seen = None;
        self.holder_seen_at = now;
    }

    /// Returns whether a record in the store is that of the held lease, whose latest revision is then
    /// known.
    fn is_renewed_by(&mut self, found: Option<&(LeaseRecord, u64)>) -> bool {
        let (Some(held), Some((record, revision))) = (&mut self.held, found) else {
            return false;
        };
        // The reply to the write that restored the record may have been lost.
        let is_restored = record.era > held.record.era;
        let is_own =
            record.holder == self.instance && (record.epoch == held.record.epoch || is_restored);
        if is_own {
            held.record = record.clone();
            held.revision = *revision;
            held.is_outdated = false;
        }
        is_own
    }

    /// Returns whether a record that names this instance proves that no other one has sent orders
    /// since the record was written.
    ///
    /// A takeover whose reply was lost may take effect after this instance has acknowledged the
    /// former holder again. A renewed record was known to be written, and the record of a takeover
    /// of this process is proof until it acknowledges a claim.
    fn allows_immediate_retake(&self, record: &LeaseRecord) -> bool {
        // The store may have lost the takeover of another instance.
        if self.is_of_earlier_era(record) {
            return false;
        }
        let takeover = self.takeover.as_ref();
        record.renewals > 0 || takeover.is_some_and(|takeover| takeover.epoch == record.epoch)
    }

    /// Updates the known epochs by the record that the store has, or had, at a revision.
    ///
    /// The epoch of the record never decreases from one revision to the next, and a holder states the
    /// revision at which the record had its epoch, unless the store has come back from an older copy in
    /// between. A lower epoch at the highest revision that any
    /// acknowledged claim has stated, or after it, hence refutes all claims of later epochs, also if
    /// the record is an old one.
    fn observe_stored(&mut self, epoch: u64, revision: u64) {
        self.stored_epoch = self.stored_epoch.max(epoch);
        let is_same_era = revision_era(revision) == revision_era(self.claimed_revision);
        if revision >= self.claimed_revision && (is_same_era || self.claimed_revision == 0) {
            // The refuted claim may be the only one that was vouched for.
            self.covers_earlier_processes &= self.known_epoch <= self.stored_epoch;
            self.known_epoch = self.stored_epoch;
        } else {
            self.known_epoch = self.known_epoch.max(epoch);
        }
    }

    const fn end_takeover_call(&mut self) {
        if let Some(takeover) = &mut self.takeover {
            takeover.is_in_flight = false;
        }
    }

    fn take_over(&mut self, recorded: u64, expected: Option<u64>) -> LeaseStep {
        let epoch = self.next_epoch(recorded);
        self.takeover = Some(PendingTakeover {
            epoch,
            is_in_flight: true,
        });
        let record = LeaseRecord {
            domain: self.domain.clone(),
            holder: self.instance.clone(),
            epoch,
            renewals: 0,
            era: self.known_era(),
        };
        LeaseStep::Write(record, expected)
    }
}
