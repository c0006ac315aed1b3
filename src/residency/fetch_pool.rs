use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::id::InstanceId;

/// Grants permits for loads from the weight store over all failure domains.
///
/// The store slows all loads down beyond a number in flight. One pool lets a domain with a surge
/// use what the others leave, which fixed shares do not.
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

/// Time after which a bid lapses; the bidder waits longer, so that no permit goes to nobody.
const BID_EXPIRY: Duration = Duration::from_secs(2);

/// Time after which a permit that was not returned is free again; its holder has failed, since no
/// load takes that long.
const PERMIT_EXPIRY: Duration = Duration::from_secs(3);

impl FetchPool {
    /// Creates a pool without permits in use.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Bids for a permit; the receiver gets it when one is free.
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

    /// Takes a permit back.
    pub fn release(&mut self, instance: &InstanceId, permit: u64) {
        if self
            .granted
            .get(&permit)
            .is_some_and(|granted| granted.instance == *instance)
        {
            self.granted.remove(&permit);
        }
    }

    /// Grants free permits, the most valuable bids first.
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

    /// Counts the permits in use.
    #[must_use]
    pub fn in_use(&self) -> usize {
        self.granted.len()
    }
}
