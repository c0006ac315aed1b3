use std::time::Duration;

use proptest::prelude::*;

/// Something that happens to a fleet, followed by an undisturbed time.
#[derive(Debug, Clone)]
pub struct FleetEvent {
    pub kind: EventKind,
    pub pause: Duration,
}

#[derive(Debug, Clone)]
pub enum EventKind {
    /// An instance stops for a while and goes on.
    Pause { member: usize, length: Duration },
    /// An instance is replaced by a new process after a while.
    Replace { member: usize, length: Duration },
    /// Two failure domains lose sight of each other.
    Cut { left: usize, right: usize },
    /// One failure domain loses sight of all others.
    Isolate { domain: usize },
    /// All domains see each other again.
    Heal,
    /// Loads end at once, or run for the longest possible time without a report.
    Report { is_prompt: bool },
}

/// Draws events of an undivided network.
pub fn whole_events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let kind = prop_oneof![
        4 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Pause { member, length })
        }),
        3 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Replace { member, length })
        }),
        1 => any::<bool>().prop_map(|is_prompt| EventKind::Report { is_prompt }),
    ];
    events(kind)
}

/// Draws events that also divide the network.
pub fn cut_events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let kind = prop_oneof![
        2 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Pause { member, length })
        }),
        1 => length(8_000).prop_flat_map(|length| {
            (0..4_usize).prop_map(move |member| EventKind::Replace { member, length })
        }),
        3 => (0..3_usize, 0..3_usize).prop_map(|(left, right)| EventKind::Cut { left, right }),
        2 => (0..3_usize).prop_map(|domain| EventKind::Isolate { domain }),
        3 => Just(EventKind::Heal),
        1 => any::<bool>().prop_map(|is_prompt| EventKind::Report { is_prompt }),
    ];
    events(kind)
}

fn length(millis: u64) -> impl Strategy<Value = Duration> {
    (100..millis).prop_map(Duration::from_millis)
}

fn events(kind: impl Strategy<Value = EventKind>) -> impl Strategy<Value = Vec<FleetEvent>> {
    // Short times make faults meet; long ones let a new holder open.
    let pause = prop_oneof![1 => length(3_000), 1 => length(15_000)];
    let event = (kind, pause).prop_map(|(kind, pause)| FleetEvent { kind, pause });
    prop::collection::vec(event, 1..12)
}
