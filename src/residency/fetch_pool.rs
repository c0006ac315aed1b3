use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::id::InstanceId;

/// Grants permits for loads from the weight store across all failure domains.
///
/// Beyond a certain number of concurrent loads, the store slows all of them down. A common pool
/// lets a domain with a surge use the capacity that the others leave free, which fixed quotas per
/// domain would not.
#[derive(Debug, Default)]
pub struct FetchPool {
    granted: BTreeMap<u64, GrantedPermit>,
    waiting: Vec<WaitingBid>,
    last_permit: u64,
}

#[derive(Debug)]
struct GrantedPermit {
    instance: InstanceId,
    expires_at: Duration,
}

#[derive(Debug)]
struct WaitingBid {
    instance: InstanceId,
    value: f64,
    expires_at: Duration,
    reply: oneshot::Sender<u64>,
}

/// Time after which a bid expires. The bidder waits longer than this, so that no permit is granted
/// to a bidder that has already given up.
const BID_EXPIRY: Duration = Duration::from_secs(2);

/// Time after which a permit that was not returned is reclaimed. No load takes that long, so its
/// holder has failed.
const PERMIT_EXPIRY: Duration = Duration::from_secs(3);

impl FetchPool {
    /// Creates a pool without permits in use.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues a bid; the returned receiver yields the permit once [`grant`](Self::grant) selects
    /// the bid, and is closed if the bid expires.
    pub fn bid(
        &mut self,
        instance: &InstanceId,
        value: f64,
        now: Duration,
    ) -> oneshot::Receiver<u64> {
        let (reply, answer) = oneshot::channel();
        self.waiting.push(WaitingBid {
            instance: instance.clone(),
            value,
            expires_at: now + BID_EXPIRY,
            reply,
        });
        answer
    }

    /// Releases a permit; it has no effect unless `instance` holds the permit.
    pub fn release(&mut self, instance: &InstanceId, permit: u64) {
        if self
            .granted
            .get(&permit)
            .is_some_and(|granted| granted.instance == *instance)
        {
            self.granted.remove(&permit);
        }
    }

    /// Grants permits up to `capacity` in use, the most valuable bids first, and drops expired
    /// permits and bids.
    pub fn grant(&mut self, capacity: usize, now: Duration) {
        self.granted.retain(|_, granted| granted.expires_at > now);
        self.waiting
            .retain(|bid| !bid.reply.is_closed() && bid.expires_at > now);
        while self.granted.len() < capacity {
            let best = (0..self.waiting.len())
                .max_by(|left, right| {
                    let (left, right) = (&self.waiting[*left], &self.waiting[*right]);
                    left.value.total_cmp(&right.value)
                })
                .map(|index| self.waiting.swap_remove(index));
            let Some(bid) = best else {
                return;
            };
            self.last_permit += 1;
            if bid.reply.send(self.last_permit).is_ok() {
                let granted = GrantedPermit {
                    instance: bid.instance,
                    expires_at: now + PERMIT_EXPIRY,
                };
                self.granted.insert(self.last_permit, granted);
            }
        }
    }

    /// Returns the number of permits in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.granted.len()
    }
}
