use std::time::Duration;

use super::RouteKind;

/// A route of the opaque ingress.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardRoute {
    /// The name.
    pub name: String,
    /// The host of the requests.
    pub host: String,
    /// The prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// The most upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Zero is the most urgent.
    pub rank: u8,
    /// Whether a stream can go on at another upstream.
    pub is_resumable: bool,
    /// The services that take the requests.
    pub services: Vec<WeightedService>,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub name: String,
    /// Its weight against the others of the route.
    pub weight: u32,
}

impl ForwardRoute {
    /// Returns whether a request that may have run may run again.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.is_resumable,
        }
    }

    /// Picks a service by weight with `draw`, a number from zero to one.
    #[must_use]
    pub fn select_service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.services.iter().map(|service| service.weight).sum();
        let mut left = draw * f64::from(total);
        for service in &self.services {
            left -= f64::from(service.weight);
            if left < 0.0 {
                return Some(&service.name);
            }
        }
        self.services.first().map(|service| service.name.as_str())
    }
}
