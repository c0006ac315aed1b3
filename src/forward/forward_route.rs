use std::time::Duration;

use super::RouteKind;

/// A route of the opaque ingress: which requests it matches and how they are forwarded.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardRoute {
    /// The name of the route in the configuration and in logs.
    pub name: String,
    /// The host that requests must name, without a port.
    pub host: String,
    /// The path prefix that requests must have; it begins and ends with a slash.
    pub prefix: String,
    /// Which retries are allowed, and whether responses are event streams.
    pub kind: RouteKind,
    /// Upper bound for the deadline of a request.
    pub timeout: Duration,
    /// The latency target; later responses have less value to the caller.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is still on time; zero if not stated.
    pub gap_target: Duration,
    /// Maximum number of upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// The priority rank of the requests; zero is the most urgent.
    pub rank: u8,
    /// Whether callers need no key of a workspace.
    pub is_public: bool,
    /// Whether an interrupted stream can be resumed at another upstream.
    pub is_resumable: bool,
    /// The services among which the requests are split.
    pub services: Vec<WeightedService>,
}

/// A service and its weight in the traffic split of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The name of the service.
    pub name: String,
    /// The weight relative to the other services of the route.
    pub weight: u32,
}

impl ForwardRoute {
    /// Returns whether a request that may already have run may be sent again.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream => self.is_resumable,
        }
    }

    /// Selects a service by weight; `draw` is a random number between zero and one.
    #[must_use]
    pub fn select_service(&self, draw: f64) -> Option<&str> {
        let weights = self.services.iter().map(|service| service.weight);
        let mut left = draw * weights.map(f64::from).sum::<f64>();
        for service in &self.services {
            left -= f64::from(service.weight);
            if left < 0.0 {
                return Some(&service.name);
            }
        }
        self.services.first().map(|service| service.name.as_str())
    }
}
