//! The claims of lease holders: what they state, and how other instances answer them.

use std::time::Duration;

use super::domain_lease::SeenRecord;
use super::{ClaimAnswer, DomainLease, LeaseClaim, LeaseRecord};
use crate::id::InstanceId;
use crate::relay::revision_era;

impl DomainLease {
    /// Returns the claim to send to the other instances, without a statement about them, if the lease
    /// is held, even while it is expired.
    #[must_use]
    pub fn claim(&self) -> Option<LeaseClaim> {
        self.held.as_ref().map(|held| LeaseClaim {
            epoch: held.record.epoch,
            revision: held.revision,
            is_vouched: false,
        })
    }

    /// Answers another instance's claim to the domain.
    ///
    /// A claim is contested if this instance holds the domain with the same or a later epoch, is
    /// writing a later one, or knows of a later one: the claimant may have been paused or
    /// partitioned while another instance took over. An acknowledgement promises that this instance
    /// takes over only after the takeover timeout, and that it has not taken over since the claimed
    /// epoch began. A restarted process can promise the latter only if the claimant vouches for it.
    pub fn answer_claim(
        &mut self,
        holder: &InstanceId,
        claim: LeaseClaim,
        now: Duration,
    ) -> ClaimAnswer {
        let is_contested = self.is_taking_over_after(claim.epoch)
            || claim.epoch < self.known_epoch
            || self
                .held
                .as_ref()
                .is_some_and(|held| held.record.epoch >= claim.epoch);
        if is_contested {
            self.is_disputed |= (self.stored_epoch..self.known_epoch).contains(&claim.epoch);
            return ClaimAnswer::Contested;
        }
        if !self.covers_earlier_processes && !claim.is_vouched {
            // The claimant may have sent orders until it learned of this instance, but a claim that
            // stays unverified does not put a takeover off for ever.
            if claim.epoch > self.unverified_epoch {
                self.unverified_epoch = claim.epoch;
                self.observe_holder(now);
            }
            return ClaimAnswer::Unverified;
        }
        if self.held.is_some() {
            self.release(now);
        }
        self.covers_earlier_processes = true;
        self.takeover = None;
        self.known_epoch = claim.epoch;
        self.claimed_revision = self.claimed_revision.max(claim.revision);
        self.observe_holder(now);
        self.observe_record(holder, claim, now);
        ClaimAnswer::Acknowledged
    }

    /// Returns whether an instance whose present process was first linked at `linked_at`, and that
    /// last acknowledged a claim of this instance at `acked_at`, can't have taken over since.
    ///
    /// Earlier processes of that instance ended before the link. A renewal since then would have
    /// failed if one of them had written the record. Otherwise, an acknowledgement that was younger than
    /// the takeover timeout at the time of the link rules a takeover out.
    #[must_use]
    pub fn vouches_for(&self, linked_at: Duration, acked_at: Option<Duration>) -> bool {
        let is_proven = |renewed_at: Duration| {
            renewed_at >= linked_at && !self.is_unproven_since_era(renewed_at)
        };
        let is_recent = |at: Duration| linked_at.saturating_sub(at) < Self::VOUCH_LIMIT;
        self.held
            .as_ref()
            .is_some_and(|held| is_proven(held.renewed_at) || acked_at.is_some_and(is_recent))
    }

    /// Updates the known record by a claim, so that a takeover needs no further read.
    fn observe_record(&mut self, holder: &InstanceId, claim: LeaseClaim, now: Duration) {
        let known_revision = self.seen.as_ref().map_or(0, |seen| seen.revision);
        if claim.revision > known_revision {
            self.seen = Some(SeenRecord {
                record: LeaseRecord {
                    domain: self.domain.clone(),
                    holder: holder.clone(),
                    epoch: claim.epoch,
                    renewals: 0,
                    era: revision_era(claim.revision),
                },
                revision: claim.revision,
                unchanged_since: now,
            });
        }
    }

    /// Returns whether a takeover after `epoch` is in progress. One of an earlier epoch must fail.
    fn is_taking_over_after(&self, epoch: u64) -> bool {
        let takeover = self.takeover.as_ref();
        takeover.is_some_and(|takeover| takeover.is_in_flight && takeover.epoch > epoch)
    }
}
