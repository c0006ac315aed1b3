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
