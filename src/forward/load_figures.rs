use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::StatedLoad;
use crate::id::UpstreamId;
use crate::policy::{RateEstimate, RateSample, ServiceRates, StatedRequests};

/// Keeps what the answers of upstreams bring about their load and their speed.
#[derive(Debug, Default)]
pub struct LoadFigures {
    state: Mutex<FigureState>,
}

#[derive(Debug, Default)]
struct FigureState {
    statements: BTreeMap<UpstreamId, LoadStatement>,
    services: BTreeMap<String, ServiceFigures>,
}

/// The latest statement of an upstream.
#[derive(Debug, Clone, Copy)]
struct LoadStatement {
    requests: u32,
    own_then: u32,
    received_at: Duration,
}

/// What is known of all upstreams of a service.
#[derive(Debug, Default)]
struct ServiceFigures {
    /// When one of them last stated its load.
    stated_at: Option<Duration>,
    /// When the spread of their load was last recorded.
    spread_at: Option<Duration>,
    rates: RateEstimate,
}

/// Age after which a statement says nothing any more; its weight has fallen to a thousandth before.
const STATEMENT_EXPIRY: Duration = Duration::from_secs(3);

/// Time since the last statement up to which a service counts as one that states its load. Each of
/// its answers does, so that only a pause in the requests of this instance is bridged.
const STATING_EXPIRY: Duration = Duration::from_secs(30);

/// Interval at which the spread of a service's load is recorded; each record looks at all upstreams.
const SPREAD_INTERVAL: Duration = Duration::from_secs(10);

impl LoadFigures {
    /// Creates a record without figures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what an upstream states in an answer while this instance has `own` requests in flight
    /// there.
    pub fn record_stated(
        &self,
        service: &str,
        upstream: &UpstreamId,
        stated: &StatedLoad,
        own: u32,
        now: Duration,
    ) {
        let mut state = self.lock();
        service_entry(&mut state, service).stated_at = Some(now);
        if !state.statements.contains_key(upstream) {
            // Upstreams come and go; those that are not heard of any more are forgotten here.
            state
                .statements
                .retain(|_, known| now.saturating_sub(known.received_at) < STATEMENT_EXPIRY);
        }
        let statement = LoadStatement {
            requests: stated.running.saturating_add(stated.waiting),
            own_then: own,
            received_at: now,
        };
        state.statements.insert(upstream.clone(), statement);
    }

    /// Learns the rates of a service from an answer of an engine or of a plain service.
    pub fn record_sample(
        &self,
        service: &str,
        is_engine: bool,
        sample: &RateSample,
        now: Duration,
    ) {
        let mut state = self.lock();
        let rates = &mut service_entry(&mut state, service).rates;
        if is_engine {
            rates.learn_stream(sample, now);
        } else {
            rates.learn_call(sample, now);
        }
    }

    /// Returns whether upstreams of the service state their load.
    #[must_use]
    pub fn states_load(&self, service: &str, now: Duration) -> bool {
        let state = self.lock();
        let stated_at = state
            .services
            .get(service)
            .and_then(|known| known.stated_at);
        stated_at.is_some_and(|at| now.saturating_sub(at) < STATING_EXPIRY)
    }

    /// Returns whether the spread of a service's load is to be recorded, once in
    /// `SPREAD_INTERVAL`.
    #[must_use]
    pub fn is_spread_due(&self, service: &str, now: Duration) -> bool {
        let mut state = self.lock();
        let known = service_entry(&mut state, service);
        let is_due = known
            .spread_at
            .is_none_or(|at| now.saturating_sub(at) >= SPREAD_INTERVAL);
        if is_due {
            known.spread_at = Some(now);
        }
        is_due
    }

    /// Returns the latest statement of an upstream with its age, or `None` if it is too old.
    #[must_use]
    pub fn statement(&self, upstream: &UpstreamId, now: Duration) -> Option<StatedRequests> {
        let state = self.lock();
        let known = state.statements.get(upstream)?;
        let age = now.saturating_sub(known.received_at);
        (age < STATEMENT_EXPIRY).then_some(StatedRequests {
            requests: known.requests,
            own_then: known.own_then,
            age,
        })
    }

    /// Returns the rates of a service; the priors if it does not state its load.
    #[must_use]
    pub fn rates(&self, service: &str, now: Duration) -> ServiceRates {
        let state = self.lock();
        let known = state.services.get(service);
        known.map_or_else(ServiceRates::default, |known| known.rates.rates(now))
    }

    fn lock(&self) -> MutexGuard<'_, FigureState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn service_entry<'a>(state: &'a mut FigureState, service: &str) -> &'a mut ServiceFigures {
    state.services.entry(service.to_owned()).or_default()
}
