use std::time::Duration;

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::{AdoptOutcome, ConfigStore, RetryDelay, StoredTables, TABLES_KEY};
use crate::error::Result;
use crate::platform::{ObjectStore, StoredObject};
use crate::telemetry::{LogEvent, LogName};

/// Feeds the accepted tables of the platform to a [`ConfigStore`].
///
/// Only the watch relays of a failure domain run it actively; the other nodes learn from them.
#[derive(Debug)]
pub struct ConfigWatcher {
    store: ObjectStore,
    config: ConfigStore,
    delay: RetryDelay,
    version: Option<u64>,
    newest_version: u64,
    unchanged_watches: u32,
    digest: Option<u64>,
    is_failing: bool,
}

impl ConfigWatcher {
    /// Watches without a change after which the object is read anew. A platform that restarted
    /// without its data between two watches would otherwise never reach the awaited version. The
    /// reads of 38 relays, two per failure domain, take about 10 of 2,000 per second.
    const MAX_UNCHANGED_WATCHES: u32 = 2;

    /// Creates a watcher.
    #[must_use]
    pub const fn new(store: ObjectStore, config: ConfigStore) -> Self {
        Self {
            store,
            config,
            delay: RetryDelay::new(Duration::from_millis(200), Duration::from_secs(3)),
            version: None,
            newest_version: 0,
            unchanged_watches: 0,
            digest: None,
            is_failing: false,
        }
    }

    /// Watches while `relay` is true; returns when its sender is dropped.
    pub async fn run(mut self, mut relay: watch::Receiver<bool>) {
        loop {
            if !*relay.borrow_and_update() {
                // Reading anew after a break also covers a platform whose versions started over.
                self.version = None;
                if relay.changed().await.is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                changed = relay.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = self.poll_once() => {}
            }
        }
    }

    /// Makes one call to the platform, and waits after a failure.
    pub async fn poll_once(&mut self) {
        match self.fetch().await {
            Ok(object) => {
                if self.is_failing {
                    self.is_failing = false;
                    LogEvent::new(LogName::PlatformRecovered)
                        .with("key", TABLES_KEY)
                        .send();
                }
                self.delay.reset();
                if let Some(object) = object {
                    self.unchanged_watches = 0;
                    self.version = Some(object.version);
                    // A repeated read must not cost the parsing of 1 MB again.
                    let digest = Some(xxh3_64(&object.value));
                    if self.digest != digest {
                        self.digest = digest;
                        self.offer(&object);
                    }
                    self.newest_version = self.newest_version.max(object.version);
                }
            }
            Err(error) => {
                if !self.is_failing {
                    self.is_failing = true;
                    LogEvent::new(LogName::ConfigWatchFailed)
                        .with("reason", error.detail())
                        .send();
                }
                // Versions may start over after an outage.
                self.version = None;
                self.newest_version = 0;
                tokio::time::sleep(self.delay.next(rand::random())).await;
            }
        }
    }

    async fn fetch(&mut self) -> Result<Option<StoredObject>> {
        if let Some(version) = self.version
            && self.unchanged_watches < Self::MAX_UNCHANGED_WATCHES
        {
            self.unchanged_watches += 1;
            return self.store.watch(TABLES_KEY, version).await;
        }
        let object = self.store.read(TABLES_KEY).await?;
        self.unchanged_watches = 0;
        self.version = Some(object.as_ref().map_or(0, |object| object.version));
        Ok(object)
    }

    fn offer(&self, object: &StoredObject) {
        let offered = StoredTables::from_object(object).and_then(|stored| {
            let revision = stored.tables.revision;
            Ok((revision, self.config.offer(stored.tables)?))
        });
        match offered {
            // A read that lags behind returns an older version and tells nothing.
            Ok((revision, AdoptOutcome::Stale))
                if revision < self.config.revision() && object.version > self.newest_version =>
            {
                LogEvent::new(LogName::ConfigReverted)
                    .with_count("revision", revision)
                    .with_count("in_force", self.config.revision())
                    .send();
            }
            Ok(_) => {}
            Err(error) => LogEvent::new(LogName::ConfigRefused)
                .with_count("version", object.version)
                .with("reason", error.detail())
                .send(),
        }
    }
}
