/// How fast the upstreams of a service work; the default holds the priors, which apply until
/// enough answers have passed by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRates {
    /// Time in which an engine reads one prompt token, in milliseconds.
    pub token_ms: f64,
    /// Delay of the first token per running request, in milliseconds: its share of a decoding step.
    pub running_ms: f64,
    /// Time that one request occupies a slot of a plain service, in milliseconds.
    pub call_ms: f64,
}

impl Default for ServiceRates {
    fn default() -> Self {
        Self {
            token_ms: 1.0 / 25.0,
            running_ms: 0.6,
            call_ms: 40.0,
        }
    }
}
