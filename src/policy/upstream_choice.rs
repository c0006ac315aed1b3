use std::time::Duration;

use super::ServiceRates;

/// Load and state of one upstream that a request could be forwarded to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamOption {
    /// Number of requests in flight.
    pub requests: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens of requests in flight that it has not processed yet.
    pub prompt_tokens: u32,
    /// KV cache, in tokens, that the requests in flight occupy when they finish.
    pub memory_tokens: u32,
    /// Size of its KV cache in tokens; zero for a plain service, which has none.
    pub memory_limit: u32,
    /// Recent failures, decayed by age.
    pub failures: f64,
    /// How many times as long as usual its work takes at the moment.
    pub slowdown: f64,
    /// The usual gap between the events of a stream in milliseconds; zero if not known.
    pub usual_gap_ms: f64,
    /// Prompt tokens of the request to be forwarded.
    pub request_tokens: u32,
    /// Longest pause between the events of a stream that is still on time, in milliseconds.
    pub gap_target_ms: f64,
    /// Time until the adapter is resident; zero if it is resident already.
    pub load_time: Duration,
    /// Whether it is in another failure domain than this instance.
    pub is_remote: bool,
    /// How fast the upstreams of the service work.
    pub rates: ServiceRates,
    /// Requests that peers have probably sent since the figures were made, or `None` if the service
    /// does not state its load.
    pub unseen: Option<f64>,
}

/// Predicted time in milliseconds that occupied slots add at an engine that states its load. It
/// grows with the square of their fraction, up to half of [`FULL_COST_MS`]: the fewer slots are free,
/// the more likely a request that is sent at the same moment finds none.
const PLACE_COST_MS: f64 = 200.0;

/// Penalty per recent failure, in milliseconds of predicted time.
const FAILURE_COST_MS: f64 = 60.0;

/// Additional round-trip time to another failure domain, in milliseconds.
const REMOTE_COST_MS: f64 = 2.0;

/// Penalty in milliseconds if the prompt would make the streams that run there late.
const PAUSE_COST_MS: f64 = 300.0;

/// Fraction of the gap target that a predicted pause may reach: the prediction rests on loads that
/// peers reported a quarter of a second ago.
const PAUSE_SHARE: f64 = 0.9;

/// Penalty in milliseconds if all slots are occupied, and the same again if the KV cache is full:
/// the minimum wait in each case. With a full cache, an engine preempts requests and processes
/// their prompts again.
const FULL_COST_MS: f64 = 400.0;

/// Fraction of the KV cache that requests may occupy before an engine counts as full; the rest
/// keeps shared prompt prefixes cached.
const MEMORY_SHARE: f64 = 0.85;

impl UpstreamOption {
    /// Returns whether the streams that run at an engine would pause for longer than their target
    /// while it reads the prompt of the request and those that it has yet to read.
    ///
    /// Engines read prompts in pieces between the tokens of running streams. On a machine that is
    /// slow for the moment, a few prompts make all of its streams late.
    #[must_use]
    pub fn pauses_streams(&self) -> bool {
        if self.requests == 0 || self.gap_target_ms <= 0.0 || self.usual_gap_ms <= 0.0 {
            return false;
        }
        let tokens = f64::from(self.prompt_tokens) + f64::from(self.request_tokens);
        let pause_ms = (self.usual_gap_ms + tokens * self.rates.token_ms) * self.slowdown;
        pause_ms > PAUSE_SHARE * self.gap_target_ms
    }

    /// Predicts the time to the first byte of an answer, in milliseconds.
    ///
    /// Under concurrent load of many callers, engines are compared by the prompt tokens that they
    /// have yet to process rather than by their number of requests, because the prompts of requests
    /// differ in length by a factor of ten.
    #[must_use]
    pub fn predicted_ms(&self) -> f64 {
        let is_engine = self.memory_limit > 0;
        let requests = f64::from(self.requests);
        let mut wait = if is_engine {
            let prefill_ms = f64::from(self.prompt_tokens) * self.rates.token_ms;
            let places_ms = if self.unseen.is_some() {
                PLACE_COST_MS * self.fill().min(MAX_COUNTED_FILL).powi(2)
            } else {
                0.0
            };
            (prefill_ms + requests * self.rates.running_ms) * self.slowdown + places_ms
        } else {
            let slots = f64::from(self.slots.max(1));
            // A service slows down when nearly all slots are occupied, so an idle one is preferred
            // even while slots are free.
            requests / slots * self.rates.call_ms
        };
        wait += FULL_COST_MS * self.full_chance();
        if is_engine && f64::from(self.memory_tokens) > MEMORY_SHARE * f64::from(self.memory_limit)
        {
            wait += FULL_COST_MS;
        }
        wait += self.failures * FAILURE_COST_MS;
        if self.pauses_streams() {
            wait += PAUSE_COST_MS;
        }
        if self.is_remote {
            wait += REMOTE_COST_MS;
        }
        wait + self.load_time.as_secs_f64() * 1000.0
    }
}

impl UpstreamOption {
    /// Returns the fraction of its slots that requests in flight occupy; above one if some wait.
    #[must_use]
    pub fn fill(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.slots.max(1))
    }

    /// Returns the option as it is once the request has been sent there.
    #[must_use]
    pub fn with_request(&self) -> Self {
        Self {
            requests: self.requests.saturating_add(1),
            prompt_tokens: self.prompt_tokens.saturating_add(self.request_tokens),
            ..*self
        }
    }

    /// Estimates how likely all slots are occupied when the request arrives: certainly if the known
    /// requests occupy them, and the less likely the more slots are free beside those that the
    /// unseen requests occupy, with a margin of two standard deviations.
    fn full_chance(&self) -> f64 {
        let free = f64::from(self.slots.saturating_sub(self.requests));
        let unseen = self.unseen.unwrap_or(0.0).max(0.0);
        let margin = unseen + 2.0 * unseen.sqrt();
        if free <= 0.0 {
            1.0
        } else if margin <= free {
            0.0
        } else {
            1.0 - free / margin
        }
    }
}

/// Greatest fill that the predicted time grows with; beyond it, the wait is unbounded either way.
const MAX_COUNTED_FILL: f64 = 4.0;

/// Returns the index of the option with the shortest predicted time, or `None` if there is no
/// option.
///
/// `draw`, from zero to one, breaks ties at random, so that instances do not all choose the same
/// upstream.
#[must_use]
pub fn choose_upstream(options: &[UpstreamOption], draw: f64) -> Option<usize> {
    let predicted: Vec<f64> = options.iter().map(UpstreamOption::predicted_ms).collect();
    let best = predicted.iter().copied().min_by(f64::total_cmp)?;
    let tied: Vec<usize> = (0..options.len())
        .filter(|index| predicted[*index] - best < TIE_TOLERANCE_MS)
        .collect();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a draw from zero to one times a small number of options"
    )]
    let index = ((draw * tied.len() as f64) as usize).min(tied.len() - 1);
    Some(tied[index])
}

/// Difference of predictions, in milliseconds, below which options count as tied: the load that
/// peers report is a quarter of a second old.
const TIE_TOLERANCE_MS: f64 = 3.0;

/// Excess of the shortest predicted time of the replicas over that of the next candidate, in
/// milliseconds, for each extra replica.
const REPLICA_COST_MS: f64 = 120.0;

/// Maximum number of replicas that an adapter gets at once. All instances request the same ones,
/// and each unnecessary load delays the loads of other adapters.
const MAX_EXTRA_REPLICAS: usize = 3;

/// Fraction of occupied slots per replica above which the adapter gets another; the rest absorbs
/// the requests that arrive during the load and before the next load report.
const REPLICA_FILL: f64 = 0.7;

/// Returns how many more replicas an adapter gets, given its current `replicas` and the `next`
/// candidate.
///
/// On a sudden demand for one adapter from many instances, several replicas are added at once: if
/// they were added one at a time, each would be full before the next had been loaded.
#[must_use]
pub fn extra_replicas(replicas: &[UpstreamOption], next: &UpstreamOption) -> usize {
    // A slowdown ends long before a load has paid off.
    let lasting = |option: &UpstreamOption| {
        let usual = UpstreamOption {
            slowdown: 1.0,
            usual_gap_ms: 0.0,
            ..*option
        };
        usual.predicted_ms()
    };
    let predicted = replicas.iter().map(lasting);
    let excess_ms = predicted.fold(f64::INFINITY, f64::min) - lasting(next);
    if !excess_ms.is_finite() {
        return 0;
    }
    let fill: f64 = replicas.iter().map(UpstreamOption::fill).sum();
    let count = f64::from(u32::try_from(replicas.len()).unwrap_or(u32::MAX));
    // A candidate that is about as full as the replicas would not relieve them.
    let by_fill = if next.fill() < REPLICA_FILL / 2.0 {
        (fill / REPLICA_FILL).ceil() - count
    } else {
        0.0
    };
    let by_wait = excess_ms / REPLICA_COST_MS;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number that is not negative"
    )]
    let extra = by_fill.max(by_wait).max(0.0) as usize;
    extra.min(MAX_EXTRA_REPLICAS)
}

/// Random numbers for [`sample_upstream`], each from zero to one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceDraws {
    /// Selects the first sample.
    pub first: f64,
    /// Selects the second sample.
    pub second: f64,
    /// Breaks a tie between the two samples.
    pub tie: f64,
}

/// Returns the index of the better of two sampled options (power of two choices), among those that
/// are not clearly worse than the best, or `None` if there is no option.
///
/// Many instances choose at the same time with load reports of each other that are a quarter of a
/// second old. If all chose the shortest prediction, they would overload one upstream after the
/// other.
#[must_use]
pub fn sample_upstream(options: &[UpstreamOption], draws: ChoiceDraws) -> Option<usize> {
    let predicted: Vec<f64> = options.iter().map(UpstreamOption::predicted_ms).collect();
    let best = predicted.iter().copied().min_by(f64::total_cmp)?;
    let near: Vec<usize> = (0..options.len())
        .filter(|index| predicted[*index] - best < MAX_EXTRA_WAIT_MS)
        .collect();
    let pair = [sample(&near, draws.first), sample(&near, draws.second)];
    let chosen = choose_upstream(&pair.map(|index| options[index]), draws.tie)?;
    Some(pair[chosen])
}

/// Predicted time beyond the best, in milliseconds, from which an option is not sampled: load
/// reports that are a quarter of a second old cannot account for such a difference.
const MAX_EXTRA_WAIT_MS: f64 = 100.0;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a draw from zero to one times a small number of options"
)]
fn sample(indices: &[usize], draw: f64) -> usize {
    indices[((draw * indices.len() as f64) as usize).min(indices.len() - 1)]
}
