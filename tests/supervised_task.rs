//! Tasks that outlast a panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use comfreychute::telemetry::{JsonLogger, panic_count};
use comfreychute::time::spawn_supervised;
use log::LevelFilter;
use tokio::time::timeout;

/// Guards against a process that goes on without one of its tasks after a panic, for instance with a
/// list of upstreams that no longer changes, and against panics that no metric counts.
#[tokio::test]
async fn task_that_panics_is_started_again() {
    JsonLogger::new(LevelFilter::Off, std::io::sink())
        .install(LevelFilter::Off)
        .expect("this is the only logger of the process");
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);

    let task = spawn_supervised("test", move || {
        let counted = Arc::clone(&counted);
        async move {
            let number = counted.fetch_add(1, Ordering::Relaxed);
            assert!(number >= 2, "a fault of the task");
        }
    });

    let ended = timeout(Duration::from_secs(5), task).await;
    assert!(matches!(ended, Ok(Ok(()))));
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    assert_eq!(panic_count(), 2);
}
