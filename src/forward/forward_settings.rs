use std::time::Duration;

use crate::id::{DomainId, InstanceId};

/// The settings of the opaque ingress.
#[derive(Debug, Clone)]
pub struct ForwardSettings {
    /// This instance.
    pub instance: InstanceId,
    /// The failure domain of this instance.
    pub domain: DomainId,
    /// Repeats allowed for each request to a service, over all instances.
    pub retry_ratio: f64,
    /// Repeats allowed beside the ratio, over all instances.
    pub retry_reserve: f64,
    /// The window of both.
    pub retry_window: Duration,
}
