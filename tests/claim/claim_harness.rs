use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use comfreychute::Result;
use comfreychute::claim::{
    ClaimConfig, ClaimHooks, ClaimKey, ClaimOutcome, ClaimStore, StoredAnswer,
};
use comfreychute::id::{AttemptId, CallerId};

use crate::fake_store::{CallResolution, FakeStore};
use crate::fixtures::{answer_of, attempt_of, instance_of};

/// A claim store over an object store that replies immediately, with a controllable clock and
/// liveness of the holder.
pub struct ClaimHarness {
    pub fake: FakeStore,
    pub store: ClaimStore,
    pub wall_ms: Arc<AtomicU64>,
    pub is_live: Arc<AtomicBool>,
}

impl ClaimHarness {
    pub fn new(config: ClaimConfig) -> Self {
        let fake = FakeStore::default();
        fake.set_immediate(true);
        let wall_ms = Arc::new(AtomicU64::new(1_000_000));
        let is_live = Arc::new(AtomicBool::new(true));
        let (clock, live) = (Arc::clone(&wall_ms), Arc::clone(&is_live));
        let hooks = ClaimHooks::new(move |_, _| live.load(Ordering::Relaxed))
            .with_clock(move || Duration::from_millis(clock.load(Ordering::Relaxed)));
        let store = ClaimStore::new(fake.storage(0), config, hooks, 7);
        Self {
            fake,
            store,
            wall_ms,
            is_live,
        }
    }

    pub async fn claim(
        &self,
        key: &ClaimKey,
        body: u64,
        attempt: AttemptId,
    ) -> Result<ClaimOutcome> {
        let time_left = Duration::from_secs(5);
        self.store
            .claim(key, body, attempt, &instance_of(0), time_left)
            .await
    }

    /// Resolves the next call of the object store, which must arrive within a bounded time.
    pub async fn resolve_next(&self, resolution: CallResolution) {
        for _ in 0..1_000 {
            if self.fake.resolve(|_| true, 0, resolution) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        panic!("expected a call that ends with {resolution:?}");
    }

    pub async fn claim_and_finish(&self, number: u32, body: usize) -> ClaimKey {
        let key = ClaimKey::new(&CallerId::from_name("c"), "r", &number.to_string());
        let attempt = attempt_of(number);
        let outcome = self.claim(&key, 1, attempt).await;
        assert_eq!(outcome.ok(), Some(ClaimOutcome::Granted));
        let answer = StoredAnswer {
            body: Some(vec![b'x'; body]),
            ..answer_of(attempt)
        };
        self.store
            .finish(&key, attempt, answer)
            .await
            .expect("the store answers");
        key
    }
}

/// Awaits work that must complete; in paused time the timeout expires at once if the work stalls.
pub async fn within<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_mins(10), work)
        .await
        .expect("the work ends")
}
