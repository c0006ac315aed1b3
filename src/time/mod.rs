//! A timer service that sends periodic ticks to subscribers, and a clock that can be virtual.

mod clock_source;
mod timer_service;
mod timer_ticks;

pub use clock_source::ClockSource;
pub use timer_service::TimerService;
pub use timer_ticks::TimerTicks;
