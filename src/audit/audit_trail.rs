use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::audit_buffer::AuditBuffer;
use super::part_writer::PartWriter;
use super::{AuditKind, AuditRecord};
use crate::platform_client::ObjectStore;
use crate::telemetry::{LogEvent, LogName};
use crate::time::TimerTicks;

/// Buffers audit records and appends them to the object store.
///
/// Recording never blocks on the object store. Records that exceed the buffer or the objects of an
/// hour are counted and logged as lost.
#[derive(Debug, Clone)]
pub struct AuditTrail {
    actor: String,
    buffer: Arc<Mutex<AuditBuffer>>,
    writer: Arc<tokio::sync::Mutex<PartWriter>>,
}

impl AuditTrail {
    /// Interval between flushes. At this interval, 990 nodes with records to write make 198 writes
    /// per second, within the several hundred that the platform supports.
    pub const FLUSH_INTERVAL: Duration = Duration::from_secs(5);

    /// Creates a trail that writes its objects under the name `instance`, which is `operators` for
    /// the command line.
    #[must_use]
    pub fn new(store: ObjectStore, instance: &str) -> Self {
        Self {
            actor: instance.to_owned(),
            buffer: Arc::default(),
            writer: Arc::new(tokio::sync::Mutex::new(PartWriter::new(store, instance))),
        }
    }

    /// Records a change made by this instance.
    pub fn record(
        &self,
        kind: AuditKind,
        subject: &str,
        (from, to): (&str, &str),
        reason: &str,
        revision: u64,
    ) {
        self.push(AuditRecord {
            at_ms: now_ms(),
            who: self.actor.clone(),
            kind,
            subject: subject.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            reason: reason.to_owned(),
            revision,
            count: 1,
        });
    }

    /// Buffers a record, for example one whose author is not this instance.
    pub fn push(&self, record: AuditRecord) {
        self.buffer().push(record);
    }

    /// Flushes at each tick until the task is aborted.
    pub async fn run(self, mut ticks: TimerTicks) {
        loop {
            ticks.next().await;
            self.flush(now_ms()).await;
        }
    }

    /// Writes pending records with at most one write, and returns the number still pending.
    pub async fn flush(&self, now_ms: u64) -> usize {
        let mut writer = self.writer.lock().await;
        let (records, mut lost) = {
            let mut buffer = self.buffer();
            (buffer.take(writer.waiting()), buffer.take_lost())
        };
        writer.push(records, lost);
        match writer.flush(now_ms / 3_600_000).await {
            Ok(more) => lost += more,
            Err(error) => LogEvent::new(LogName::AuditWriteFailed)
                .with("reason", error.detail())
                .with_count("waiting", writer.waiting() as u64)
                .send(),
        }
        if lost > 0 {
            LogEvent::new(LogName::AuditLost)
                .with_count("count", lost)
                .send();
        }
        writer.waiting() + self.buffer().len()
    }

    /// Flushes up to `rounds` times until no record is pending, and returns the number still
    /// pending.
    pub async fn flush_all(&self, rounds: u32) -> usize {
        self.flush_all_at(now_ms(), rounds).await
    }

    /// Does the same as [`AuditTrail::flush_all`] with the given time as the current time.
    pub async fn flush_all_at(&self, now_ms: u64, rounds: u32) -> usize {
        let mut waiting = 0;
        for _ in 0..rounds {
            waiting = self.flush(now_ms).await;
            if waiting == 0 {
                break;
            }
        }
        waiting
    }

    fn buffer(&self) -> std::sync::MutexGuard<'_, AuditBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
