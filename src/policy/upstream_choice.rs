use std::time::Duration;

/// One upstream that a request could go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamOption {
    /// Requests in flight there.
    pub requests: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens in flight that it has not read yet.
    pub prompt_tokens: u32,
    /// Tokens of memory that the requests in flight take at their end.
    pub memory_tokens: u32,
    /// Its tokens of memory; zero for a plain service.
    pub memory_limit: u32,
    /// Recent failures, faded by age.
    pub failures: f64,
    /// Time until the adapter is resident; zero if it is.
    pub load_time: Duration,
    /// Whether it stands in another failure domain.
    pub is_remote: bool,
}

/// Prompt tokens that an engine reads in a millisecond, the figure of the users' engines.
const PROMPT_TOKENS_PER_MS: f64 = 25.0;

/// Milliseconds by which each running request delays the first token of the next: its share of a
/// decoding step.
const RUNNING_COST_MS: f64 = 0.6;

/// Milliseconds that one request occupies a slot of a plain service, as a first estimate.
const PLAIN_WORK_MS: f64 = 40.0;

/// Milliseconds of preference for an upstream without failures, per recent failure.
const FAILURE_COST_MS: f64 = 60.0;

/// Milliseconds that another failure domain costs on the way there and back.
const REMOTE_COST_MS: f64 = 2.0;

/// Milliseconds that a request waits at least when all slots are taken or the memory is full; an
/// engine then preempts requests, which reads their prompts again.
const FULL_COST_MS: f64 = 400.0;

/// Share of the memory that requests may take before an engine counts as full; the rest keeps
/// shared prompt parts cached.
const MEMORY_SHARE: f64 = 0.85;

impl UpstreamOption {
    /// Predicts the time to the first byte of an answer, in milliseconds.
    ///
    /// Answers the load of many callers at once: engines are chosen by the prompts that they have
    /// still to read rather than by their number of requests, which differ by a factor of ten.
    #[must_use]
    pub fn predicted_ms(&self) -> f64 {
        let is_engine = self.memory_limit > 0;
        let requests = f64::from(self.requests);
        let mut wait = if is_engine {
            f64::from(self.prompt_tokens) / PROMPT_TOKENS_PER_MS + requests * RUNNING_COST_MS
        } else {
            let slots = f64::from(self.slots.max(1));
            // Free slots differ in speed when nearly full, so that an empty one is preferred.
            requests / slots * PLAIN_WORK_MS
        };
        if self.requests >= self.slots {
            wait += FULL_COST_MS;
        }
        if is_engine && f64::from(self.memory_tokens) > MEMORY_SHARE * f64::from(self.memory_limit)
        {
            wait += FULL_COST_MS;
        }
        wait += self.failures * FAILURE_COST_MS;
        if self.is_remote {
            wait += REMOTE_COST_MS;
        }
        wait + self.load_time.as_secs_f64() * 1000.0
    }
}

/// Returns the index of the option with the shortest prediction; `draw`, from zero to one, decides
/// between options that are as good, so that instances do not all choose the same.
#[must_use]
pub fn choose_upstream(options: &[UpstreamOption], draw: f64) -> Option<usize> {
    let predicted: Vec<f64> = options.iter().map(UpstreamOption::predicted_ms).collect();
    let best = predicted.iter().copied().min_by(f64::total_cmp)?;
    let equal: Vec<usize> = (0..options.len())
        .filter(|index| predicted[*index] - best < EQUAL_MS)
        .collect();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a draw from zero to one times a small number of options"
    )]
    let index = ((draw * equal.len() as f64) as usize).min(equal.len() - 1);
    Some(equal[index])
}

/// Predictions closer than this count as equal: the load that peers tell is a quarter of a second
/// old.
const EQUAL_MS: f64 = 3.0;

/// Predicted wait beyond that of the next home, in milliseconds, for which an adapter gets one more
/// home.
const HOME_COST_MS: f64 = 120.0;

/// Homes that an adapter gets at once. All instances ask for the same ones, and a load that is not
/// needed delays others.
const MAX_EXTRA_HOMES: usize = 3;

/// Share of its slots to which a home is filled before the adapter gets another; the rest takes what
/// arrives during the load and before the next news.
const HOME_FILL: f64 = 0.7;

/// Returns how many more homes an adapter gets whose upstreams are the options `homes`, if `next` is
/// the next one.
///
/// Answers a sudden demand for one adapter from many instances: with one more home at a time, each
/// was filled before the next had been loaded.
#[must_use]
pub fn extra_replicas(homes: &[UpstreamOption], next: &UpstreamOption) -> usize {
    let predicted = homes.iter().map(UpstreamOption::predicted_ms);
    let excess_ms = predicted.fold(f64::INFINITY, f64::min) - next.predicted_ms();
    if !excess_ms.is_finite() {
        return 0;
    }
    let filled =
        |option: &UpstreamOption| f64::from(option.requests) / f64::from(option.slots.max(1));
    let fill: f64 = homes.iter().map(filled).sum();
    let count = f64::from(u32::try_from(homes.len()).unwrap_or(u32::MAX));
    // An upstream that is about as full would not relieve the others.
    let by_fill = if filled(next) < HOME_FILL / 2.0 {
        (fill / HOME_FILL).ceil() - count
    } else {
        0.0
    };
    let by_wait = excess_ms / HOME_COST_MS;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number that is not negative"
    )]
    let extra = by_fill.max(by_wait).max(0.0) as usize;
    extra.min(MAX_EXTRA_HOMES)
}

/// Draws that a sampled choice needs, each from zero to one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceDraws {
    /// Draws the first sample.
    pub first: f64,
    /// Draws the second sample.
    pub second: f64,
    /// Decides between samples that are as good.
    pub tie: f64,
}

/// Returns the better one of two sampled options, among those that are not clearly worse than the
/// best.
///
/// Answers many instances that choose at once: what they know of each other is a quarter of a second
/// old, and if all took the shortest prediction they would fill one upstream after the other.
#[must_use]
pub fn sample_upstream(options: &[UpstreamOption], draws: ChoiceDraws) -> Option<usize> {
    let predicted: Vec<f64> = options.iter().map(UpstreamOption::predicted_ms).collect();
    let best = predicted.iter().copied().min_by(f64::total_cmp)?;
    let near: Vec<usize> = (0..options.len())
        .filter(|index| predicted[*index] - best < CLEARLY_WORSE_MS)
        .collect();
    let pair = [sample(&near, draws.first), sample(&near, draws.second)];
    let chosen = choose_upstream(&pair.map(|index| options[index]), draws.tie)?;
    Some(pair[chosen])
}

/// Predicted wait, in milliseconds, beyond the best that news of a quarter of a second cannot undo.
const CLEARLY_WORSE_MS: f64 = 100.0;

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a draw from zero to one times a small number of options"
)]
fn sample(indices: &[usize], draw: f64) -> usize {
    indices[((draw * indices.len() as f64) as usize).min(indices.len() - 1)]
}
