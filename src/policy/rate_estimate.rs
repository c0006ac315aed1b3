use std::time::Duration;

use super::{RateSample, ServiceRates};

/// Learns the [`ServiceRates`] of a service from the answers that pass by.
///
/// The rates of an engine are the coefficients of a linear prediction of the wait, adjusted a
/// little towards each sample (normalized least mean squares). They start at the priors, return to
/// them when no samples come, and stay within a factor of them, so that no sequence of samples
/// makes an upstream look free or unusable.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateEstimate {
    rates: ServiceRates,
    /// Excess of the wait over what tokens and requests explain, in milliseconds.
    base_ms: f64,
    learnt_at: Duration,
}

/// Greatest factor between a learnt rate and its prior; engines in use differ by less than two.
const MAX_FACTOR: f64 = 4.0;

/// Fraction of the error of a prediction that one sample corrects.
const LEARNING_RATE: f64 = 0.03;

/// Greatest error that is learnt from, in milliseconds; a longer wait has another cause, such as a
/// queue or a stall.
const MAX_ERROR_MS: f64 = 100.0;

/// Greatest wait that is not explained by tokens and requests, in milliseconds.
const MAX_BASE_MS: f64 = 50.0;

/// Half-life of what was learnt while no samples come.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Units of a thousand tokens and of ten requests give the terms of the prediction similar sizes.
const TOKEN_UNIT: f64 = 1000.0;
const REQUEST_UNIT: f64 = 10.0;

impl RateEstimate {
    /// Learns from an answer of an engine. Samples that are not finite or negative are ignored.
    pub fn learn_stream(&mut self, sample: &RateSample, now: Duration) {
        let Some(wait_ms) = usual_wait(sample) else {
            return;
        };
        let known = self.rates(now);
        let tokens = f64::from(sample.tokens) / TOKEN_UNIT;
        let requests = f64::from(sample.requests) / REQUEST_UNIT;
        let predicted = f64::from(sample.tokens) * known.token_ms
            + f64::from(sample.requests) * known.running_ms
            + self.base_ms;
        let error = (wait_ms - predicted).clamp(-MAX_ERROR_MS, MAX_ERROR_MS);
        let step = LEARNING_RATE * error / (1.0 + tokens * tokens + requests * requests);
        let prior = ServiceRates::default();
        self.rates = ServiceRates {
            token_ms: limit(known.token_ms + step * tokens / TOKEN_UNIT, prior.token_ms),
            running_ms: limit(
                known.running_ms + step * requests / REQUEST_UNIT,
                prior.running_ms,
            ),
            call_ms: known.call_ms,
        };
        self.base_ms = (self.base_ms + step).clamp(0.0, MAX_BASE_MS);
        self.learnt_at = now;
    }

    /// Learns from an answer of a plain service. Samples that are not finite or negative are
    /// ignored.
    pub fn learn_call(&mut self, sample: &RateSample, now: Duration) {
        let Some(wait_ms) = usual_wait(sample) else {
            return;
        };
        let known = self.rates(now);
        let error = (wait_ms - known.call_ms).clamp(-MAX_ERROR_MS, MAX_ERROR_MS);
        let prior = ServiceRates::default().call_ms;
        self.rates = ServiceRates {
            call_ms: limit(known.call_ms + LEARNING_RATE * error, prior),
            ..known
        };
        self.learnt_at = now;
    }

    /// Returns the rates as of now.
    #[must_use]
    pub fn rates(&self, now: Duration) -> ServiceRates {
        let prior = ServiceRates::default();
        let age = now.saturating_sub(self.learnt_at);
        let trust = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        let decayed = |learnt: f64, prior: f64| prior + (learnt - prior) * trust;
        ServiceRates {
            token_ms: decayed(self.rates.token_ms, prior.token_ms),
            running_ms: decayed(self.rates.running_ms, prior.running_ms),
            call_ms: decayed(self.rates.call_ms, prior.call_ms),
        }
    }
}

/// Returns how long the wait of a sample would have been on a machine as fast as usual.
fn usual_wait(sample: &RateSample) -> Option<f64> {
    let wait_ms = sample.wait_ms / sample.slowdown;
    (wait_ms.is_finite() && wait_ms >= 0.0 && sample.slowdown > 0.0).then_some(wait_ms)
}

fn limit(rate: f64, prior: f64) -> f64 {
    rate.clamp(prior / MAX_FACTOR, prior * MAX_FACTOR)
}
