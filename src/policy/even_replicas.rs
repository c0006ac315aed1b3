use super::UpstreamOption;

/// Fill of an adapter's replicas, as a multiple of the mean fill of all upstreams, above which it
/// gets another. The target for the busiest upstream is 1.5 times the mean; the difference absorbs
/// what arrives during the load.
const EVEN_FACTOR: f64 = 1.25;

/// Fraction of occupied slots per replica below which no further one is loaded: so many free slots
/// absorb any flow of one adapter until the next reports, and a load would delay others.
const MIN_FILL: f64 = 0.3;

/// Greatest fill, as a multiple of the mean, of an upstream that gets another replica.
const TARGET_FACTOR: f64 = 1.0;

/// Returns whether an adapter gets another replica because its upstreams are busier than the mean of
/// all upstreams, whose fraction of occupied slots is `mean_fill`.
#[must_use]
pub fn needs_even_replica(replicas: &[UpstreamOption], mean_fill: f64) -> bool {
    let limit = (EVEN_FACTOR * mean_fill).max(MIN_FILL);
    !replicas.is_empty() && replicas.iter().all(|option| option.fill() > limit)
}

/// Returns whether an upstream has room for another replica of a busy adapter.
#[must_use]
pub fn relieves_others(option: &UpstreamOption, mean_fill: f64) -> bool {
    option.fill() <= TARGET_FACTOR * mean_fill
}
