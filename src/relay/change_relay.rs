use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::{ChangeLog, ChangePage, ObjectKind, RelayedObject};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::peer::{ChangeAsk, PeerReply, RefusalBody, reply};
use crate::time::ClockSource;

/// Answers peers that ask for changes in the store.
///
/// Every instance keeps the logs, so that one that takes the watch over can answer at once; it
/// answers only while the store answers it.
#[derive(Debug)]
pub struct ChangeRelay {
    clock: ClockSource,
    feeds: [RelayFeed; 4],
    watcher: Mutex<Option<InstanceId>>,
}

/// The log of one kind, under a lock of its own.
#[derive(Debug)]
struct RelayFeed {
    log: Mutex<ChangeLog>,
    news: watch::Sender<u64>,
}

/// Time that an answer of the store may take beyond the wait of its call. A slow store takes about a
/// quarter of a second.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

impl ChangeRelay {
    /// Creates a relay without any objects; its instance watches the store itself.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        let feed = |_| RelayFeed {
            log: Mutex::new(ChangeLog::new()),
            news: watch::channel(0).0,
        };
        Self {
            clock,
            feeds: std::array::from_fn(feed),
            watcher: Mutex::new(None),
        }
    }

    /// Sets the instance that watches the store for this one; none if this one does.
    pub fn set_watcher(&self, watcher: Option<InstanceId>) {
        *lock(&self.watcher) = watcher;
    }

    /// Returns the instance that watches the store for this one.
    #[must_use]
    pub fn watcher(&self) -> Option<InstanceId> {
        lock(&self.watcher).clone()
    }

    /// Takes a complete list that the store has answered to this instance.
    pub fn record_list(&self, kind: ObjectKind, objects: &[RelayedObject], covered: u64) {
        self.update(kind, |log| {
            log.replace_all(objects, covered);
            log.confirm(self.clock.now());
        });
    }

    /// Takes changes that the store has answered to this instance.
    pub fn record_changes(&self, kind: ObjectKind, page: &ChangePage) {
        self.update(kind, |log| {
            log.apply(page);
            log.confirm(self.clock.now());
        });
    }

    /// Takes changes that a peer has passed on.
    pub fn record_relayed(&self, kind: ObjectKind, page: &ChangePage) {
        self.update(kind, |log| log.apply(page));
    }

    /// Returns the changes after a revision, at the latest after `wait`; then they may be none.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] as soon as the store has not answered this instance for
    /// longer than a watch takes, or if the history does not reach back to the revision.
    pub async fn changes(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> Result<ChangePage> {
        let feed = &self.feeds[kind.index()];
        let mut news = feed.news.subscribe();
        let ends_at = self.clock.now() + wait;
        loop {
            news.mark_unchanged();
            let now = self.clock.now();
            let stale_at = {
                let log = lock(&feed.log);
                let limit = kind.watch_wait() + ANSWER_MARGIN;
                let stale_at = log.confirmed_at().map(|confirmed| confirmed + limit);
                let Some(stale_at) = stale_at.filter(|stale_at| *stale_at > now) else {
                    return Err(unavailable("the store does not answer the watcher"));
                };
                let Some(page) = log.changes_since(revision) else {
                    return Err(unavailable("the watcher does not know the history"));
                };
                if log.has_changed_since(revision) || now >= ends_at {
                    return Ok(page);
                }
                stale_at
            };
            let pause = stale_at.min(ends_at).saturating_sub(now);
            // The outcome is found anew above, whether there was news or not.
            let _news = timeout(pause, news.changed()).await;
        }
    }

    /// Answers a peer that asks for changes.
    pub async fn reply(&self, ask: ChangeAsk) -> PeerReply {
        let kind = usize::try_from(ask.kind).ok();
        let page = match kind.and_then(|index| ObjectKind::ALL.get(index)) {
            Some(kind) => {
                let wait = Duration::from_millis(u64::from(ask.wait_ms)).min(kind.watch_wait());
                self.changes(*kind, ask.revision, wait).await
            }
            None => Err(Error::new(
                ErrorKind::Protocol,
                "a peer asks for an unknown kind of objects; check that all instances run one version",
            )),
        };
        let body = match page {
            Ok(page) => reply::Body::Changes(page.into_reply()),
            Err(error) => reply::Body::Refused(RefusalBody::from_error(&error)),
        };
        PeerReply { body: Some(body) }
    }

    fn update(&self, kind: ObjectKind, change: impl FnOnce(&mut ChangeLog)) {
        let feed = &self.feeds[kind.index()];
        change(&mut lock(&feed.log));
        feed.news.send_modify(|count| *count += 1);
    }
}

fn unavailable(detail: &str) -> Error {
    Error::new(ErrorKind::Unavailable, detail)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
