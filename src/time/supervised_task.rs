use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::telemetry::{LogEvent, LogName};

/// Pause before a task that panicked is started again, so that one that panics at once does not use up
/// the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Spawns a task that must not end before the process, and starts it again if it panics.
///
/// The panic hook of the logger logs the place of the panic; this function logs the name of the task.
///
/// # Panics
///
/// Panics if it is called outside a tokio runtime.
pub fn spawn_supervised<F>(
    name: &'static str,
    mut start: impl FnMut() -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            if !error.is_panic() {
                return;
            }
            LogEvent::new(LogName::InternalFault)
                .with("reason", "a task panicked and is started again")
                .with("task", name)
                .send();
            sleep(RESTART_PAUSE).await;
        }
    })
}
