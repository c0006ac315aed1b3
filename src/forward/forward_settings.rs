use std::time::Duration;

use crate::id::{DomainId, InstanceId};
use crate::policy::KeyLease;

/// The identity of this instance, its limits for retries and the limits for adapter versions and keys.
#[derive(Debug, Clone)]
pub struct ForwardSettings {
    /// The id of this instance.
    pub instance: InstanceId,
    /// The failure domain of this instance.
    pub domain: DomainId,
    /// Retries allowed per request to a service, across all instances.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio, across all instances.
    pub retry_reserve: f64,
    /// The window over which `retry_ratio` and `retry_reserve` apply.
    pub retry_window: Duration,
    /// Time after an upstream has said that it leaves from which it must get no more requests.
    pub drain_limit: Duration,
    /// Time after the announcement of an adapter version from which no request may start on an
    /// older one.
    pub version_limit: Duration,
    /// How long the newest known keys of workspaces may be used.
    pub key_lease: KeyLease,
}
