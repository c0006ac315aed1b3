use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use comfreychute::id::{EngineName, OwnerEpoch};
use comfreychute::upstream::EngineClient;
use comfreychute::{Error, ErrorKind, Result};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::load_client::LoadClient;
use super::load_recorder::LoadRecorder;
use super::{CompareSummary, LoadPlan, LoadSettings, LoadSummary, PlannedRequest};

/// The epoch that adapters are preloaded with, below that of any owner.
const PRELOAD_EPOCH: OwnerEpoch = OwnerEpoch::from_u64(1);

/// One run of the load generator.
#[derive(Debug)]
pub struct LoadRun {
    settings: LoadSettings,
    client: LoadClient,
}

/// A destination of requests, with the record of their outcomes.
#[derive(Debug, Clone)]
struct LoadSide {
    addresses: Vec<SocketAddr>,
    recorder: Arc<Mutex<LoadRecorder>>,
}

impl LoadSide {
    fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            recorder: Arc::new(Mutex::new(LoadRecorder::new())),
        }
    }

    fn with<R>(&self, action: impl FnOnce(&mut LoadRecorder) -> R) -> R {
        action(&mut self.recorder.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn address(&self, number: u64) -> SocketAddr {
        let count = self.addresses.len();
        self.addresses[usize::try_from(number).unwrap_or(0) % count]
    }
}

impl LoadRun {
    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Fails if there is no target or the rate is not positive.
    pub fn new(settings: LoadSettings) -> Result<Self> {
        let fail = |detail: &str| Err(Error::new(ErrorKind::Settings, detail));
        if settings.targets.is_empty() {
            return fail("no target; name at least one with --target");
        }
        if !settings.rate.is_finite() || settings.rate <= 0.0 {
            return fail("the rate must be above zero");
        }
        let client = LoadClient::new(&settings);
        Ok(Self { settings, client })
    }

    /// Sends all requests to the targets.
    ///
    /// # Errors
    ///
    /// Fails if an adapter can't be loaded beforehand; failed requests are part of the summary.
    pub async fn measure(&self) -> Result<LoadSummary> {
        let mut plan = self.prepare().await?;
        let side = LoadSide::new(self.settings.targets.clone());
        let elapsed = self
            .send_all(&mut plan, self.settings.count, std::slice::from_ref(&side))
            .await;
        Ok(side.with(|recorder| recorder.summarize(elapsed)))
    }

    /// Sends each request to the upstream `direct` and to a target, in turns.
    ///
    /// # Errors
    ///
    /// Fails if an adapter can't be loaded beforehand; failed requests are part of the summary.
    pub async fn compare(&self, direct: SocketAddr) -> Result<CompareSummary> {
        let mut plan = self.prepare().await?;
        let direct = LoadSide::new(vec![direct]);
        let node = LoadSide::new(self.settings.targets.clone());
        let sides = [direct, node];
        let elapsed = self.send_all(&mut plan, self.settings.count, &sides).await;
        let [direct, node] = sides.map(|side| side.with(|recorder| recorder.summarize(elapsed)));
        Ok(CompareSummary::new(direct, node))
    }

    /// Loads the adapters if ordered, and sends the requests that are not measured.
    async fn prepare(&self) -> Result<LoadPlan> {
        let mut plan = LoadPlan::new(&self.settings)?;
        if self.settings.preload {
            for target in &self.settings.targets {
                let client = EngineClient::new(*target, self.settings.timeout);
                for adapter in plan.adapters() {
                    let name = EngineName::new(adapter.clone(), PRELOAD_EPOCH);
                    client.load(&name, PRELOAD_EPOCH).await?;
                }
            }
        }
        let side = LoadSide::new(self.settings.targets.clone());
        self.send_all(&mut plan, self.settings.warm_up, &[side])
            .await;
        Ok(plan)
    }

    /// Sends `count` requests to each side at the rate and waits for the answers.
    async fn send_all(&self, plan: &mut LoadPlan, count: u64, sides: &[LoadSide]) -> Duration {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        let mut index = 0_u32;
        let per_side = 1.0 / self.settings.rate;
        let step = per_side / f64::from(u32::try_from(sides.len()).unwrap_or(1));
        for _ in 0..count {
            let request = plan.draw();
            for side in sides {
                let due = start + Duration::from_secs_f64(step * f64::from(index));
                index += 1;
                sleep_until(due).await;
                while tasks.try_join_next().is_some() {}
                if tasks.len() >= self.settings.max_in_flight {
                    side.with(LoadRecorder::record_not_sent);
                    continue;
                }
                tasks.spawn(send(
                    self.client.clone(),
                    side.clone(),
                    request.clone(),
                    start,
                    due,
                ));
            }
        }
        while tasks.join_next().await.is_some() {}
        start.elapsed()
    }
}

async fn send(
    client: LoadClient,
    side: LoadSide,
    request: PlannedRequest,
    start: Instant,
    due: Instant,
) {
    side.with(|recorder| recorder.record_sent(start.elapsed(), due.elapsed()));
    let outcome = client.send(side.address(request.number), &request).await;
    side.with(|recorder| recorder.record(request.rank, &outcome));
}
