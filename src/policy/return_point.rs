use crate::id::{InstanceId, UpstreamId};
use crate::member::rendezvous_score;

/// Returns the place of an instance, from 0 up to but excluding 1, in the order in which the instances
/// of a fleet return to an upstream.
///
/// The places are evenly spaced if all instances know the same list. The order differs by upstream.
#[must_use]
pub fn return_point<'a>(
    own: &InstanceId,
    instances: impl Iterator<Item = &'a InstanceId>,
    upstream: &UpstreamId,
) -> f64 {
    let score = |instance: &InstanceId| rendezvous_score(upstream.as_str(), instance.as_str());
    let own_score = score(own);
    let (mut earlier, mut count) = (0_u32, 1_u32);
    for instance in instances.filter(|instance| *instance != own) {
        count += 1;
        earlier += u32::from(score(instance) < own_score);
    }
    f64::from(earlier) / f64::from(count)
}
