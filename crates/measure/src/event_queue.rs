use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet_event::FleetEvent;

/// Events in order of time; events of the same time keep the order in which they were added.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<(Duration, u64), FleetEvent>,
    sequence: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Duration, event: FleetEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    pub(crate) fn pop(&mut self) -> Option<(Duration, FleetEvent)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
