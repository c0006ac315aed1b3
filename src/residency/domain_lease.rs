use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::LeaseRecord;
use crate::id::{DomainId, InstanceId};

/// Decides whether this instance may order at the upstreams of a failure domain.
///
/// The holder may order while, within [`VALIDITY`](Self::VALIDITY), either every other instance has
/// acknowledged its share of the load, or its record in the store was renewed. Another instance
/// takes over after it has heard nothing of a holder and seen no renewal for
/// [`TAKEOVER_TIMEOUT`](Self::TAKEOVER_TIMEOUT), during which it ran without a pause. Orders of two holders
/// are therefore at least [`QUIET_TIME`](Self::QUIET_TIME) apart, although a quiet holder needs no
/// call to the store.
#[derive(Debug)]
pub struct DomainLease {
    domain: DomainId,
    instance: InstanceId,
    held: Option<HeldLease>,
    seen: Option<SeenRecord>,
    holder_seen_at: Duration,
    rank: u32,
    is_takeover_pending: bool,
    acked_epoch: u64,
    has_read: bool,
}

#[derive(Debug)]
struct HeldLease {
    record: LeaseRecord,
    revision: u64,
    renewed_at: Duration,
}

#[derive(Debug)]
struct SeenRecord {
    record: LeaseRecord,
    revision: u64,
    unchanged_since: Duration,
}

/// What the loop has to do for a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing now.
    Idle,
    /// Read the record.
    Read,
    /// Write the record if its revision is still the given one; none creates it.
    Write(LeaseRecord, Option<u64>),
}

impl DomainLease {
    /// Time after a renewal or acknowledgement in which the holder may order.
    pub const VALIDITY: Duration = Duration::from_secs(1);

    /// The least time between orders of two holders; engines that take orders without checking
    /// who sends them could otherwise carry out both.
    pub const QUIET_TIME: Duration = Duration::from_secs(3);

    /// The longest time that an order is on its way before it is given up.
    pub const MAX_ORDER_TIME: Duration = Duration::from_millis(700);

    /// Silence of a holder after which another instance takes over: validity, the way of the last
    /// order, quiet time, and a margin for timers.
    pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(4900);

    /// Age of the last proof of life from which the holder renews its record.
    const RENEW_AFTER: Duration = Duration::from_millis(450);

    /// Time after its lapse in which a lease is mostly regained: two renewals of the record fit. A
    /// request that waits for longer is late for its target.
    pub const REGAIN_TIME: Duration = Duration::from_millis(600);

    /// Time that each later candidate waits in addition, so that they do not collide.
    const RANK_STEP: Duration = Duration::from_millis(600);

    /// Time without a holder after the start of the process, in which a present holder is heard.
    const STARTUP_DELAY: Duration = Duration::from_millis(700);

    /// Creates a lease that is not held; `rank` is this instance's place among the candidates.
    #[must_use]
    pub const fn new(domain: DomainId, instance: InstanceId, rank: u32, now: Duration) -> Self {
        Self {
            domain,
            instance,
            held: None,
            seen: None,
            holder_seen_at: now,
            rank,
            is_takeover_pending: false,
            acked_epoch: 0,
            has_read: false,
        }
    }

    /// Changes this instance's place among the candidates.
    pub const fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Takes news that another instance holds the domain.
    pub const fn observe_holder(&mut self, now: Duration) {
        self.holder_seen_at = now;
    }

    /// Starts all waits anew; this process was paused and may have missed news.
    pub fn resume_after_pause(&mut self, now: Duration) {
        self.holder_seen_at = now;
        if let Some(seen) = &mut self.seen {
            seen.unchanged_since = now;
        }
    }

    /// Answers another instance's claim to the domain; returns whether it is acknowledged.
    ///
    /// A claim is contested while this instance holds the domain or its own write is under way,
    /// or has heard of a later epoch, since the claimant may have been paused or cut off while its
    /// ownership passed on. An acknowledgement
    /// promises that this instance takes over only after the takeover age.
    pub fn answer_claim(&mut self, epoch: u64, now: Duration) -> bool {
        let is_contested = self.is_takeover_pending
            || epoch < self.acked_epoch
            || self
                .held
                .as_ref()
                .is_some_and(|held| held.record.epoch >= epoch);
        if is_contested {
            return false;
        }
        if self.held.is_some() {
            self.release(now);
        }
        self.acked_epoch = epoch;
        self.observe_holder(now);
        true
    }

    /// Returns what to do next; `acked_at` is the oldest of the newest acknowledgements of the
    /// other instances, none if one of them has never acknowledged.
    #[must_use]
    pub fn next_step(&mut self, now: Duration, acked_at: Option<Duration>) -> LeaseStep {
        let wait = Self::STARTUP_DELAY + Self::RANK_STEP * self.rank;
        if let Some(held) = &self.held {
            let confirmed_at = held.renewed_at.max(acked_at.unwrap_or_default());
            if now.saturating_sub(confirmed_at) < Self::RENEW_AFTER {
                return LeaseStep::Idle;
            }
            let mut record = held.record.clone();
            record.renewals += 1;
            return LeaseStep::Write(record, Some(held.revision));
        }
        let Some(seen) = &self.seen else {
            // The first read shows at once whether this machine held the domain before.
            let is_due = !self.has_read || now.saturating_sub(self.holder_seen_at) >= wait;
            return if is_due {
                LeaseStep::Read
            } else {
                LeaseStep::Idle
            };
        };
        let is_own = seen.record.holder == self.instance;
        let is_stale = now.saturating_sub(seen.unchanged_since) >= Self::TAKEOVER_TIMEOUT
            && now.saturating_sub(self.holder_seen_at) >= Self::TAKEOVER_TIMEOUT;
        if is_own || is_stale {
            self.is_takeover_pending = true;
            return LeaseStep::Write(
                self.takeover_record(seen.record.epoch + 1),
                Some(seen.revision),
            );
        }
        // The conditional write shows whether the record has changed; no more reads are needed.
        LeaseStep::Idle
    }

    /// Takes the record that was read; none if there is no record.
    #[must_use]
    pub fn read_completed(
        &mut self,
        found: Option<(LeaseRecord, u64)>,
        now: Duration,
    ) -> LeaseStep {
        self.has_read = true;
        let Some((record, revision)) = found else {
            self.seen = None;
            if now.saturating_sub(self.holder_seen_at) < Self::RANK_STEP * self.rank {
                return LeaseStep::Idle;
            }
            self.is_takeover_pending = true;
            return LeaseStep::Write(self.takeover_record(1), None);
        };
        let is_known = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.revision == revision);
        if !is_known {
            self.seen = Some(SeenRecord {
                record,
                revision,
                unchanged_since: now,
            });
        }
        LeaseStep::Idle
    }

    /// Takes a successful write that was sent at `sent_at`.
    pub fn write_completed(&mut self, record: LeaseRecord, revision: u64, sent_at: Duration) {
        self.is_takeover_pending = false;
        self.held = Some(HeldLease {
            record,
            revision,
            renewed_at: sent_at,
        });
        self.seen = None;
    }

    /// Takes a write that another one came before.
    pub fn write_conflicted(&mut self, now: Duration) {
        self.is_takeover_pending = false;
        self.held = None;
        self.seen = None;
        self.holder_seen_at = now;
    }

    /// Takes a write without an answer; the record may have changed or may change later.
    pub fn write_lost(&mut self) {
        self.is_takeover_pending = false;
        self.seen = None;
    }

    /// Returns whether an order may be sent now.
    #[must_use]
    pub fn may_order(&self, now: Duration, acked_at: Option<Duration>) -> bool {
        self.held.as_ref().is_some_and(|held| {
            let confirmed_at = held.renewed_at.max(acked_at.unwrap_or_default());
            now.saturating_sub(confirmed_at) < Self::VALIDITY
        })
    }

    /// Returns whether the lease is held, but has lapsed more than [`REGAIN_TIME`](Self::REGAIN_TIME)
    /// ago, so that no order may be sent.
    #[must_use]
    pub fn is_regain_overdue(&self, now: Duration, acked_at: Option<Duration>) -> bool {
        self.held.is_some() && !self.may_order(now.saturating_sub(Self::REGAIN_TIME), acked_at)
    }

    /// Returns the epoch if the lease is held.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.record.epoch)
    }

    /// Gives the lease up locally.
    pub fn release(&mut self, now: Duration) {
        self.held = None;
        self.seen = None;
        self.holder_seen_at = now;
    }

    fn takeover_record(&self, epoch: u64) -> LeaseRecord {
        LeaseRecord {
            domain: self.domain.clone(),
            holder: self.instance.clone(),
            epoch,
            renewals: 0,
        }
    }
}

/// Returns the oldest of the newest acknowledgements; none if an instance is missing.
#[must_use]
pub(super) fn oldest_ack(
    others: &BTreeSet<InstanceId>,
    acks: &BTreeMap<InstanceId, Duration>,
) -> Option<Duration> {
    // Without others nobody vouches for the holder, only the store does.
    let mut oldest = None;
    for other in others {
        let acked_at = *acks.get(other)?;
        oldest = Some(oldest.map_or(acked_at, |oldest: Duration| oldest.min(acked_at)));
    }
    oldest
}
