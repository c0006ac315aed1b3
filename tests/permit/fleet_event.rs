use std::time::Duration;

use proptest::prelude::*;

/// A fault or repair in a fleet, followed by a time without events.
#[derive(Debug, Clone)]
pub struct FleetEvent {
    pub kind: EventKind,
    pub quiet_time: Duration,
}

#[derive(Debug, Clone)]
pub enum EventKind {
    /// An instance is paused for a time and resumes with its old state.
    Pause { member: usize, length: Duration },
    /// An instance stops and is replaced by a new process after a time.
    Replace { member: usize, length: Duration },
    /// Two failure domains are partitioned from each other.
    Partition { left: usize, right: usize },
    /// One failure domain is partitioned from all others.
    Isolate { domain: usize },
    /// All partitions are healed.
    Heal,
    /// Loads granted from now on end after the normal load time and are released, or run for the
    /// longest possible time and are never released.
    SetLoadEnd { is_prompt: bool },
}

/// Generates events without network partitions.
pub fn connected_events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let kind = prop_oneof![
        4 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Pause { member, length })
        }),
        3 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Replace { member, length })
        }),
        1 => any::<bool>().prop_map(|is_prompt| EventKind::SetLoadEnd { is_prompt }),
    ];
    events(kind)
}

/// Generates events that include network partitions.
pub fn partition_events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let kind = prop_oneof![
        2 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Pause { member, length })
        }),
        1 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Replace { member, length })
        }),
        3 => (0..3_usize, 0..3_usize)
            .prop_map(|(left, right)| EventKind::Partition { left, right }),
        2 => (0..3_usize).prop_map(|domain| EventKind::Isolate { domain }),
        3 => Just(EventKind::Heal),
        1 => any::<bool>().prop_map(|is_prompt| EventKind::SetLoadEnd { is_prompt }),
    ];
    events(kind)
}

fn length(millis: u64) -> impl Strategy<Value = Duration> {
    (100..millis).prop_map(Duration::from_millis)
}

fn events(kind: impl Strategy<Value = EventKind>) -> impl Strategy<Value = Vec<FleetEvent>> {
    // Short times make faults overlap; long ones let a new holder start granting.
    let quiet_time = prop_oneof![1 => length(3_000), 1 => length(15_000)];
    let event = (kind, quiet_time).prop_map(|(kind, quiet_time)| FleetEvent { kind, quiet_time });
    prop::collection::vec(event, 1..12)
}
