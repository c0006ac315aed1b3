use std::collections::BTreeMap;
use std::time::Duration;

use super::{LoadBid, PermitConfig, PermitGrant};
use crate::id::{AdapterRef, RequestRank, UpstreamId};

/// Bids that are kept; a new one beyond that replaces the least valuable.
const MAX_BIDS: usize = 65_536;

/// Grants that a rank may be ahead of its floor or behind it.
///
/// A rank that has just taken more than its floor, because permits were left, has no claim to its
/// floor ahead of a more urgent one.
const MAX_CREDIT: f64 = 8.0;

/// Grants load permits for one weight store within its rate and its number in flight.
///
/// A new bucket is empty and waits for the longest possible load, because its predecessor may have
/// granted permits up to the moment of its loss.
#[derive(Debug, Clone)]
pub struct PermitBucket {
    config: PermitConfig,
    share: f64,
    /// A larger share and the time from which it holds.
    growth: Option<(f64, Duration)>,
    level: f64,
    filled_at: Duration,
    opens_at: Duration,
    next_permit: u64,
    bids: BTreeMap<(UpstreamId, AdapterRef), f64>,
    in_flight: BTreeMap<u64, Duration>,
    credits: [f64; 3],
}

impl PermitBucket {
    /// Creates an empty bucket that opens after the longest possible load.
    #[must_use]
    pub fn new(config: PermitConfig, now: Duration) -> Self {
        let opens_at = now + config.longest_load;
        Self {
            config,
            share: 1.0,
            growth: None,
            level: 0.0,
            filled_at: opens_at,
            opens_at,
            next_permit: 1,
            bids: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            credits: [0.0; 3],
        }
    }

    /// Sets how many of all failure domains the holder reaches; the limits shrink to their share.
    ///
    /// A smaller share holds at once. A larger one holds after the longest possible load, since the
    /// other side may have granted permits up to now; until then the former share goes on. Stopping
    /// all grants for that time instead would stall the fleet whenever one instance restarts.
    pub fn set_domain_share(&mut self, reachable: u32, total: u32, now: Duration) {
        let share = (f64::from(reachable) / f64::from(total.max(1))).clamp(0.0, 1.0);
        self.fill(now);
        if share <= self.share {
            self.share = share;
            self.growth = None;
            self.level = self.level.min(self.burst());
        } else if self
            .growth
            .is_none_or(|(expected, _)| (expected - share).abs() > f64::EPSILON)
        {
            self.growth = Some((share, now + self.config.longest_load));
        }
    }

    /// Adds or renews a bid.
    pub fn bid(&mut self, upstream: &UpstreamId, adapter: &AdapterRef, value: f64) {
        let key = (upstream.clone(), adapter.clone());
        if self.bids.len() >= MAX_BIDS && !self.bids.contains_key(&key) {
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

    /// Replaces all bids of an upstream.
    pub fn set_bids(&mut self, upstream: &UpstreamId, bids: &[LoadBid]) {
        self.withdraw_all(upstream);
        for bid in bids {
            self.bid(upstream, &bid.adapter, bid.value);
        }
    }

    /// Withdraws a bid.
    pub fn withdraw(&mut self, upstream: &UpstreamId, adapter: &AdapterRef) {
        self.bids.remove(&(upstream.clone(), adapter.clone()));
    }

    /// Withdraws all bids of an upstream.
    pub fn withdraw_all(&mut self, upstream: &UpstreamId) {
        self.bids.retain(|(bidder, _), _| bidder != upstream);
    }

    /// Grants as many bids as the limits allow now, the most valuable first.
    pub fn grants(&mut self, now: Duration) -> Vec<PermitGrant> {
        let mut grants = Vec::new();
        self.fill(now);
        self.in_flight.retain(|_, until| *until > now);
        while now >= self.opens_at && self.level >= 1.0 && self.has_room() {
            let Some(key) = self.best_bid() else {
                break;
            };
            self.bids.remove(&key);
            self.level -= 1.0;
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

    /// Takes a permit back after its load has ended; an unused one is not granted again.
    ///
    /// Giving an unused permit's tokens back would allow more loads in a window than the limit, if
    /// the news of the load's start were lost.
    pub fn release(&mut self, permit: u64) {
        self.in_flight.remove(&permit);
    }

    /// Returns when the next permit can be granted, if a bid waits.
    #[must_use]
    pub fn next_grant_at(&self, now: Duration) -> Option<Duration> {
        if self.bids.is_empty() {
            return None;
        }
        self.ready_at(now)
    }

    /// Returns when the limits next allow a grant, whether or not a bid waits.
    #[must_use]
    pub fn ready_at(&self, now: Duration) -> Option<Duration> {
        let rate = self.config.rate * self.share;
        if rate <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.level).max(0.0) / rate;
        let by_rate = self.filled_at + Duration::from_secs_f64(missing.min(1e6));
        let by_flight = if self.has_room() {
            now
        } else {
            self.in_flight.values().min().copied().unwrap_or(now)
        };
        Some(by_rate.max(by_flight).max(self.opens_at).max(now))
    }

    /// Returns the number of permits whose loads have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Chooses the most valuable bid; ranks with a floor get their share of grants first.
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

    fn has_room(&self) -> bool {
        let limit = f64::from(self.config.max_in_flight) * self.share;
        // A reachable domain may always load; the share only rounds the number up to one.
        let in_flight = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        f64::from(in_flight) + 1.0 <= limit.max(1.0)
    }

    fn burst(&self) -> f64 {
        (f64::from(self.config.burst) * self.share).max(1.0)
    }

    /// Adds the tokens gained since the last call, with the share that was in force.
    fn fill(&mut self, now: Duration) {
        if let Some((share, at)) = self.growth.filter(|(_, at)| *at <= now) {
            self.gain(at);
            self.share = share;
            self.growth = None;
        }
        self.gain(now);
    }

    fn gain(&mut self, until: Duration) {
        let passed = until.saturating_sub(self.filled_at).as_secs_f64();
        if passed > 0.0 {
            let gained = passed * self.config.rate * self.share;
            self.level = (self.level + gained).min(self.burst());
            self.filled_at = until;
        }
    }
}
