//! A timer service that sends periodic ticks to subscribers, a clock that can be virtual, and tasks
//! that are started again after a panic.

mod clock_source;
mod supervised_task;
mod timer_service;
mod timer_ticks;

pub use clock_source::ClockSource;
pub use supervised_task::spawn_supervised;
pub use timer_service::TimerService;
pub use timer_ticks::TimerTicks;
