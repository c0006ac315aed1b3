use std::time::Duration;

/// What an instance knows of the number of requests at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownRequests {
    /// Requests of this instance in flight, which it counts exactly.
    pub own: u32,
    /// Sum of the requests that peers reported.
    pub peers: u32,
    /// Age of the peers' sum.
    pub peers_age: Duration,
    /// The latest statement of the upstream.
    pub stated: Option<StatedRequests>,
}

/// The requests that an upstream stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedRequests {
    /// Requests that it ran or that waited there.
    pub requests: u32,
    /// Requests of this instance in flight there at that time.
    pub own_then: u32,
    /// Age of the statement.
    pub age: Duration,
}

/// Age at which a statement is trusted as much as the peers' sum of a usual age.
const STATEMENT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Greatest factor by which a statement lowers the count of the fleet. An upstream that states too
/// little would otherwise draw the requests of all instances.
const MAX_REDUCTION: f64 = 2.0;

/// Greatest number of requests that a statement adds, in multiples of the upstream's slots.
const MAX_ADDED_SLOTS: f64 = 2.0;

/// Returns the number of requests at an upstream: the fleet's count joined with the statement of the
/// upstream, which counts the less the older it is.
///
/// Requests that this instance has sent since the statement are added to it, and those that have
/// completed are subtracted. The result is never below this instance's own requests.
#[must_use]
pub fn corrected_requests(known: &KnownRequests, slots: u32) -> u32 {
    let counted = known.own.saturating_add(known.peers);
    let Some(stated) = known.stated else {
        return counted;
    };
    let counted_f = f64::from(counted);
    let moved = f64::from(known.own) - f64::from(stated.own_then);
    let limit = counted_f + MAX_ADDED_SLOTS * f64::from(slots);
    let since = (f64::from(stated.requests) + moved)
        .min(limit)
        .max(counted_f / MAX_REDUCTION);
    let trust = (-stated.age.as_secs_f64() / STATEMENT_HALF_LIFE.as_secs_f64()).exp2();
    let joined = counted_f + (since - counted_f) * trust;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a number of requests, which is not negative"
    )]
    let requests = joined.round().max(0.0) as u32;
    requests.max(known.own)
}

/// Returns how many requests peers have probably sent since their reports: in a steady flow, as many
/// as complete in that time.
#[must_use]
pub fn unseen_requests(known: &KnownRequests, occupancy_ms: f64) -> f64 {
    let age_ms = known.peers_age.as_secs_f64() * 1000.0;
    f64::from(known.peers) * age_ms / occupancy_ms.max(1.0)
}
