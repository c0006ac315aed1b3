use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use comfreychute::platform_client::{ListedInstance, StoredObject};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use super::instance_history::InstanceHistory;
use super::version_history::VersionHistory;
use super::{OutageMode, PlatformCounters, PlatformSettings};
use crate::control::SettingsCell;

/// The objects, instances and faults behind the endpoints.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub(super) settings: SettingsCell<PlatformSettings>,
    /// Ends calls that wait, so that the server can close.
    pub(super) stopping: CancellationToken,
    objects: Mutex<BTreeMap<String, VersionHistory>>,
    instances: Mutex<InstanceHistory>,
    counters: Mutex<PlatformCounters>,
    writes: watch::Sender<u64>,
}

impl PlatformState {
    pub(super) fn new(settings: PlatformSettings) -> Self {
        Self {
            settings: SettingsCell::new(settings),
            stopping: CancellationToken::new(),
            objects: Mutex::default(),
            instances: Mutex::new(InstanceHistory::new()),
            counters: Mutex::default(),
            writes: watch::Sender::new(0),
        }
    }

    /// Counts a call and applies the delay and the outage; `false`: refuse the call.
    pub(super) async fn admit(&self, count: impl FnOnce(&mut PlatformCounters)) -> bool {
        count(&mut self.counters());
        let mut settings = self.settings.subscribe();
        let delay = settings.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        tokio::select! {
            settings = settings.wait_for(|settings| settings.outage != OutageMode::Hang) => {
                settings.is_ok_and(|settings| settings.outage == OutageMode::Off)
            }
            () = self.stopping.cancelled() => false,
        }
    }

    /// Reads an object as reads see it.
    pub(super) fn read(&self, key: &str) -> Option<StoredObject> {
        let lag = self.settings.read().stale_versions;
        let (version, value) = lock(&self.objects).get(key)?.at(lag)?;
        Some(StoredObject {
            key: key.to_owned(),
            value,
            version,
        })
    }

    /// Lists objects as reads see them.
    pub(super) fn list(&self, prefix: &str) -> Vec<StoredObject> {
        let lag = self.settings.read().stale_versions;
        lock(&self.objects)
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, history)| {
                let (version, value) = history.at(lag)?;
                Some(StoredObject {
                    key: key.clone(),
                    value,
                    version,
                })
            })
            .collect()
    }

    /// Writes an object if its version is the expected one; the error is the present object.
    pub(super) fn write(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<u64>,
    ) -> Result<u64, Option<StoredObject>> {
        let mut objects = lock(&self.objects);
        let present = objects.get(key).and_then(|history| history.at(0));
        if present.as_ref().map(|(version, _)| *version) != expected {
            self.counters().conflicts += 1;
            return Err(present.map(|(version, value)| StoredObject {
                key: key.to_owned(),
                value,
                version,
            }));
        }
        let version = objects.entry(key.to_owned()).or_default().push(value);
        drop(objects);
        self.writes.send_modify(|count| *count += 1);
        Ok(version)
    }

    /// Waits for a version above `after`.
    pub(super) async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Option<StoredObject> {
        let end = Instant::now() + wait;
        let mut writes = self.writes.subscribe();
        self.counters().waiting_watches += 1;
        // Counts down even if the client goes away and the call is dropped.
        let _guard = WatchGuard(self);
        loop {
            writes.borrow_and_update();
            if let Some(object) = self.read(key)
                && object.version > after
            {
                return Some(object);
            }
            tokio::select! {
                changed = timeout_at(end, writes.changed()) => changed.ok()?.ok()?,
                () = self.stopping.cancelled() => return None,
            }
        }
    }

    /// Takes one of the ordered losses of a reply.
    pub(super) fn loses_reply(&self) -> bool {
        self.settings.change(|settings| {
            let is_lost = settings.lost_replies > 0;
            settings.lost_replies = settings.lost_replies.saturating_sub(1);
            is_lost
        })
    }

    pub(super) fn instances(&self) -> Vec<ListedInstance> {
        let lag = self.settings.read().instance_lag;
        lock(&self.instances).at(lag).to_vec()
    }

    pub(super) fn set_instances(&self, list: Vec<ListedInstance>) {
        lock(&self.instances).push(list);
    }

    pub(super) fn counters(&self) -> MutexGuard<'_, PlatformCounters> {
        lock(&self.counters)
    }
}

struct WatchGuard<'a>(&'a PlatformState);

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.counters().waiting_watches -= 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
