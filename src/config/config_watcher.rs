use std::time::Duration;

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::{AdoptOutcome, ConfigStore, RetryDelay, StoredTables, TABLES_KEY};
use crate::error::Result;
use crate::platform_client::{ObjectStore, StoredObject};
use crate::telemetry::{LogEvent, LogName};

/// Watches the accepted tables in the object store and offers changed ones to a [`ConfigStore`].
///
/// Only the watch relays of a failure domain call the object store; the other nodes pull the tables
/// from their peers.
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
    /// Number of consecutive watches without a change after which the object is read. If the
    /// platform restarts without its data between two watches, its versions start over and might
    /// never reach the watched one. The reads of 38 relays, two per failure domain, take about 10
    /// of the platform's 2,000 reads per second.
    const MAX_UNCHANGED_WATCHES: u32 = 2;

    /// Creates a watcher; [`ConfigWatcher::run`] starts it.
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

    /// Watches the tables while `relay` is true, that is, while this node is a watch relay; returns
    /// when the sender of `relay` is dropped.
    pub async fn run(mut self, mut relay: watch::Receiver<bool>) {
        loop {
            if !*relay.borrow_and_update() {
                // The next call is a read, because the platform's versions may have started over.
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

    /// Reads or watches the object once; after a failure, waits for the retry delay.
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
                    // Avoids parsing up to 1 MB again if a read returns unchanged content.
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
            // A stale read returns an older version too, but does not mean that the platform
            // reverted the tables.
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
