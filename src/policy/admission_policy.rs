use std::time::Duration;

use super::SchedulerConfig;
use crate::id::RequestRank;

/// Weight of the newest sample in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// Predicts queue waits, run times and load times, from which the scheduler decides which requests
/// cannot meet their deadline.
#[derive(Debug, Clone)]
pub struct AdmissionPolicy {
    max_running: f64,
    floors: [f64; 3],
    /// Moving average of the load time, in seconds.
    load_time: f64,
    /// Moving average of the time per token, in seconds.
    token_time: f64,
    /// Moving average of the absolute deviation of the time per token, in seconds.
    token_deviation: f64,
    max_tokens: u32,
}

impl AdmissionPolicy {
    /// Creates the policy with the initial estimates of the configuration.
    #[must_use]
    pub fn new(config: &SchedulerConfig) -> Self {
        Self {
            max_running: f64::from(config.max_running.max(1)),
            floors: config.floors,
            load_time: config.load_time.as_secs_f64(),
            token_time: config.token_time.as_secs_f64(),
            token_deviation: 0.0,
            max_tokens: 0,
        }
    }

    /// Records the estimated tokens of a request, for [`AdmissionPolicy::longest_time`].
    pub fn observe_size(&mut self, tokens: u32) {
        self.max_tokens = self.max_tokens.max(tokens);
    }

    /// Returns the predicted time of the largest request recorded so far, including an adapter
    /// load.
    #[must_use]
    pub fn longest_time(&self) -> Duration {
        self.run_time(self.max_tokens) + self.load_time()
    }

    /// Updates the time per token from a finished request.
    pub fn observe_run(&mut self, tokens: u32, took: Duration) {
        let sample = took.as_secs_f64() / f64::from(tokens.max(1));
        let error = sample - self.token_time;
        self.token_time += EWMA_WEIGHT * error;
        self.token_deviation += EWMA_WEIGHT * (error.abs() - self.token_deviation);
    }

    /// Updates the load time from a finished load.
    pub fn observe_load(&mut self, took: Duration) {
        self.load_time += EWMA_WEIGHT * (took.as_secs_f64() - self.load_time);
    }

    /// Predicts how long a request runs, with a margin of two mean deviations.
    ///
    /// Without the margin, half of the requests that are dispatched at the last moment would miss
    /// their deadline and their work would be wasted.
    #[must_use]
    pub fn run_time(&self, tokens: u32) -> Duration {
        seconds(f64::from(tokens) * (self.token_time + 2.0 * self.token_deviation))
    }

    /// Predicts how long a load takes once it has started.
    #[must_use]
    pub fn load_time(&self) -> Duration {
        seconds(self.load_time)
    }

    /// Predicts how long a request of `rank` waits behind the queued `tokens` of each rank.
    ///
    /// A request waits for all queued work of its own and of more urgent ranks, but no longer than
    /// its own rank needs when it is served at its floor.
    #[must_use]
    pub fn queue_wait(&self, rank: RequestRank, tokens: [u64; 3]) -> Duration {
        let index = rank.index();
        let rate = self.max_running / self.token_time.max(1e-6);
        let ahead: f64 = tokens.iter().take(index + 1).map(|sum| to_f64(*sum)).sum();
        let own = to_f64(tokens[index]);
        let floor = self.floors[index];
        let by_order = ahead / rate;
        let by_floor = if floor > 0.0 {
            own / (rate * floor)
        } else {
            f64::INFINITY
        };
        seconds(by_order.min(by_floor))
    }
}

/// Converts seconds, clamped to 1e6 s so that sums of durations cannot overflow.
fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 1e6))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token sums stay far below 2^52 because queues are bounded"
)]
const fn to_f64(value: u64) -> f64 {
    value as f64
}
