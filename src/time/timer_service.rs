use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::{ClockSource, TimerTicks};

/// Sends periodic ticks to its subscribers.
///
/// Subscribers with the same period share one task. Ticks missed while the process was paused are
/// skipped.
#[derive(Debug, Clone)]
pub struct TimerService {
    clock: ClockSource,
    channels: Arc<Mutex<BTreeMap<Duration, watch::Sender<Duration>>>>,
}

impl TimerService {
    /// Creates a timer service whose ticks carry the time of `clock`.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        Self {
            clock,
            channels: Arc::new(Mutex::new(BTreeMap::new())),
        }
    }

    /// Returns the clock whose time the ticks carry.
    #[must_use]
    pub const fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// Subscribes to ticks every `period`.
    ///
    /// # Panics
    ///
    /// Panics if `period` is zero or if it is called outside a tokio runtime.
    #[must_use]
    pub fn subscribe(&self, period: Duration) -> TimerTicks {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let sender = channels.entry(period).or_insert_with(|| {
            let (sender, _) = watch::channel(self.clock.now());
            let (clock, ticks) = (self.clock.clone(), sender.clone());
            tokio::spawn(async move {
                let mut interval = interval(period);
                interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
                loop {
                    interval.tick().await;
                    ticks.send_replace(clock.now());
                }
            });
            sender
        });
        TimerTicks::new(sender.subscribe())
    }
}
