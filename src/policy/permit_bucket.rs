use std::collections::BTreeMap;
use std::time::Duration;

use super::{LoadBid, PermitConfig, PermitGrant};
use crate::id::{AdapterRef, RequestRank, UpstreamId};

/// Maximum number of queued bids; beyond it, a more valuable bid replaces the least valuable one.
const MAX_QUEUED_BIDS: usize = 65_536;

/// Maximum number of grants that a rank may be behind its floor (credit) or ahead of it (debt).
///
/// The debt keeps a rank that recently received spare permits beyond its floor from claiming its
/// floor ahead of a more urgent rank.
const MAX_CREDIT: f64 = 8.0;

/// Token bucket that grants load permits for one weight store, within its rate and its number of
/// loads in flight.
///
/// A new bucket is empty and grants nothing for the duration of the longest possible load, because
/// the previous permit holder may have granted permits until the moment it failed.
#[derive(Debug, Clone)]
pub struct PermitBucket {
    config: PermitConfig,
    /// Share of the failure domains that the holder can reach, from 0 to 1.
    share: f64,
    /// A larger share and the time at which it takes effect.
    pending_share: Option<(f64, Duration)>,
    tokens: f64,
    refilled_at: Duration,
    opens_at: Duration,
    next_permit: u64,
    bids: BTreeMap<(UpstreamId, AdapterRef), f64>,
    in_flight: BTreeMap<u64, Duration>,
    credits: [f64; 3],
}

impl PermitBucket {
    /// Creates an empty bucket that starts to grant after the longest possible load.
    #[must_use]
    pub fn new(config: PermitConfig, now: Duration) -> Self {
        let opens_at = now + config.longest_load;
        Self {
            config,
            share: 1.0,
            pending_share: None,
            tokens: 0.0,
            refilled_at: opens_at,
            opens_at,
            next_permit: 1,
            bids: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            credits: [0.0; 3],
        }
    }

    /// Sets how many of all failure domains the holder can reach; the limits scale with that share.
    ///
    /// A smaller share takes effect immediately. A larger one takes effect after the longest
    /// possible load, because the other side of a partition may have granted permits until now;
    /// until then the previous share applies. Suspending all grants for that time instead would
    /// stall the fleet whenever one instance restarts.
    pub fn set_domain_share(&mut self, reachable: u32, total: u32, now: Duration) {
        let share = (f64::from(reachable) / f64::from(total.max(1))).clamp(0.0, 1.0);
        self.refill(now);
        if share <= self.share {
            self.share = share;
            self.pending_share = None;
            self.tokens = self.tokens.min(self.burst());
        } else if self
            .pending_share
            .is_none_or(|(expected, _)| (expected - share).abs() > f64::EPSILON)
        {
            self.pending_share = Some((share, now + self.config.longest_load));
        }
    }

    /// Adds a bid or updates its value.
    ///
    /// If the queue is full, the bid replaces the least valuable one or is dropped.
    pub fn bid(&mut self, upstream: &UpstreamId, adapter: &AdapterRef, value: f64) {
        let key = (upstream.clone(), adapter.clone());
        if self.bids.len() >= MAX_QUEUED_BIDS && !self.bids.contains_key(&key) {
            let least = self
                .bids
                .iter()
                .min_by(|left, right| left.1.total_cmp(right.1))
                .map(|(key, value)| (key.clone(), *value));
            match least {
                Some((least, lowest)) if lowest < value => self.bids.remove(&least),
                _ => return,
            };
        }
        self.bids.insert(key, value);
    }

    /// Replaces all bids of an upstream by `bids`.
    pub fn set_bids(&mut self, upstream: &UpstreamId, bids: &[LoadBid]) {
        self.withdraw_all(upstream);
        for bid in bids {
            self.bid(upstream, &bid.adapter, bid.value);
        }
    }

    /// Removes the bid of an upstream for an adapter, if it is queued.
    pub fn withdraw(&mut self, upstream: &UpstreamId, adapter: &AdapterRef) {
        self.bids.remove(&(upstream.clone(), adapter.clone()));
    }

    /// Removes all bids of an upstream.
    pub fn withdraw_all(&mut self, upstream: &UpstreamId) {
        self.bids.retain(|(bidder, _), _| bidder != upstream);
    }

    /// Grants and removes as many bids as the limits allow now, the most valuable first.
    ///
    /// Ranks that are behind their floor are granted first.
    pub fn grants(&mut self, now: Duration) -> Vec<PermitGrant> {
        let mut grants = Vec::new();
        self.refill(now);
        self.in_flight.retain(|_, until| *until > now);
        while now >= self.opens_at && self.tokens >= 1.0 && self.has_in_flight_capacity() {
            let Some(key) = self.best_bid() else {
                break;
            };
            self.bids.remove(&key);
            self.tokens -= 1.0;
            let permit = self.next_permit;
            self.next_permit += 1;
            self.in_flight
                .insert(permit, now + self.config.longest_load);
            grants.push(PermitGrant {
                permit,
                upstream: key.0,
                adapter: key.1,
            });
        }
        grants
    }

    /// Releases a permit whose load has ended, so that it no longer counts as in flight.
    ///
    /// The token of an unused permit is not refunded: if the notification that its load started
    /// were lost, the refund would allow more loads in a window than the limit.
    pub fn release(&mut self, permit: u64) {
        self.in_flight.remove(&permit);
    }

    /// Returns when the next permit can be granted, or `None` if no bid is queued or the rate or
    /// the share is zero.
    #[must_use]
    pub fn next_grant_at(&self, now: Duration) -> Option<Duration> {
        if self.bids.is_empty() {
            return None;
        }
        self.ready_at(now)
    }

    /// Returns when the limits next allow a grant, whether or not a bid is queued, or `None` if the
    /// rate or the share is zero.
    #[must_use]
    pub fn ready_at(&self, now: Duration) -> Option<Duration> {
        let rate = self.config.rate * self.share;
        if rate <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0) / rate;
        let by_rate = self.refilled_at + Duration::from_secs_f64(missing.min(1e6));
        let by_flight = if self.has_in_flight_capacity() {
            now
        } else {
            self.in_flight.values().min().copied().unwrap_or(now)
        };
        Some(by_rate.max(by_flight).max(self.opens_at).max(now))
    }

    /// Returns the number of permits in flight: neither released, nor expired as of the last call
    /// of [`PermitBucket::grants`].
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Chooses the next bid: the most valuable of the most urgent rank that is behind its floor, or
    /// else the most valuable of all.
    fn best_bid(&mut self) -> Option<(UpstreamId, AdapterRef)> {
        let mut best: [Option<(&(UpstreamId, AdapterRef), f64)>; 3] = [None; 3];
        for (key, value) in &self.bids {
            let place = &mut best[LoadBid::rank_of(*value).index()];
            if place.is_none_or(|(_, highest)| *value > highest) {
                *place = Some((key, *value));
            }
        }
        let mut chosen = None;
        for rank in RequestRank::ALL {
            let index = rank.index();
            if best[index].is_some() {
                self.credits[index] =
                    (self.credits[index] + self.config.floors[index]).min(MAX_CREDIT);
                if self.credits[index] >= 1.0 && chosen.is_none() {
                    chosen = Some(index);
                }
            } else {
                self.credits[index] = self.credits[index].min(0.0);
            }
        }
        let index = chosen.or_else(|| best.iter().position(Option::is_some))?;
        self.credits[index] = (self.credits[index] - 1.0).max(-MAX_CREDIT);
        best[index].map(|(key, _)| key.clone())
    }

    fn has_in_flight_capacity(&self) -> bool {
        let limit = f64::from(self.config.max_in_flight) * self.share;
        // At least one load may be in flight, however small the share.
        let in_flight = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        f64::from(in_flight) + 1.0 <= limit.max(1.0)
    }

    fn burst(&self) -> f64 {
        (f64::from(self.config.burst) * self.share).max(1.0)
    }

    /// Adds the tokens gained since the last call; if a pending share took effect in the meantime,
    /// the previous share applies until that moment.
    fn refill(&mut self, now: Duration) {
        if let Some((share, at)) = self.pending_share.filter(|(_, at)| *at <= now) {
            self.refill_until(at);
            self.share = share;
            self.pending_share = None;
        }
        self.refill_until(now);
    }

    fn refill_until(&mut self, until: Duration) {
        let passed = until.saturating_sub(self.refilled_at).as_secs_f64();
        if passed > 0.0 {
            let gained = passed * self.config.rate * self.share;
            self.tokens = (self.tokens + gained).min(self.burst());
            self.refilled_at = until;
        }
    }
}
