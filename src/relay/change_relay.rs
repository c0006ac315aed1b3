use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::{ChangeLog, ChangePage, ContactAge, ObjectKind, RelayedObject, RelayedPage};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::peer::{ChangeRequest, PeerReply, RefusalBody, reply};
use crate::time::ClockSource;

/// Replies to peers that request changes in the store.
///
/// Every instance maintains the logs, so that a newly elected watcher can reply at once. An
/// instance sends changes only while the store answers its own calls; otherwise it refuses the
/// requests, because its logs may be out of date.
#[derive(Debug)]
pub struct ChangeRelay {
    clock: ClockSource,
    states: [KindState; 4],
    /// The peer that watches the store on behalf of this instance, if any.
    watcher: Mutex<Option<InstanceId>>,
}

/// The log of one kind, behind its own lock.
#[derive(Debug)]
struct KindState {
    log: Mutex<ChangeLog>,
    /// Counts the updates of the log and wakes the requests that wait for one.
    updates: watch::Sender<u64>,
}

/// Time by which a response of the store may exceed the wait of its watch call. A slow store takes
/// about a quarter of a second.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

impl ChangeRelay {
    /// Creates a relay with empty logs and without a watcher, so that the instance watches the
    /// store itself.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        let state = |_| KindState {
            log: Mutex::new(ChangeLog::new()),
            updates: watch::channel(0).0,
        };
        Self {
            clock,
            states: std::array::from_fn(state),
            watcher: Mutex::new(None),
        }
    }

    /// Returns the maximum age of the last response of the store with which an instance replies to peers.
    #[must_use]
    pub const fn reply_age_limit(kind: ObjectKind) -> Duration {
        kind.watch_wait().saturating_add(RESPONSE_MARGIN)
    }

    /// Sets the peer that watches the store on behalf of this instance, or `None` if this instance
    /// watches the store itself.
    pub fn set_watcher(&self, watcher: Option<InstanceId>) {
        *lock(&self.watcher) = watcher;
    }

    /// Returns the peer that watches the store on behalf of this instance, if any.
    #[must_use]
    pub fn watcher(&self) -> Option<InstanceId> {
        lock(&self.watcher).clone()
    }

    /// Records a complete list that the store returned to this instance, `call_time` after the call.
    pub fn record_list(
        &self,
        kind: ObjectKind,
        objects: &[RelayedObject],
        covered: u64,
        call_time: Duration,
    ) {
        self.update(kind, |log| {
            log.replace_all(objects, covered);
            log.confirm(self.clock.now(), call_time);
        });
    }

    /// Records changes that the store returned to this instance, `call_time` after the call.
    pub fn record_changes(&self, kind: ObjectKind, page: &ChangePage, call_time: Duration) {
        self.update(kind, |log| {
            log.apply(page);
            log.confirm(self.clock.now(), call_time);
        });
    }

    /// Records changes that the watcher relayed.
    ///
    /// Unlike a response of the store, they do not extend the time for which this instance replies
    /// to peers.
    pub fn record_relayed(&self, kind: ObjectKind, page: &ChangePage) {
        self.update(kind, |log| log.apply(page));
    }

    /// Waits up to `wait` for changes after a revision and returns them; the page may be empty.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] as soon as the last response of the store to this
    /// instance is older than the maximum duration of a watch call, or if the history does not
    /// reach back to the revision.
    pub async fn changes(
        &self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> Result<RelayedPage> {
        let state = &self.states[kind.index()];
        let mut updates = state.updates.subscribe();
        let ends_at = self.clock.now() + wait;
        loop {
            updates.mark_unchanged();
            let now = self.clock.now();
            let stale_at = {
                let log = lock(&state.log);
                let limit = Self::reply_age_limit(kind);
                let confirmed_at = log.confirmed_at();
                let Some(confirmed_at) = confirmed_at.filter(|confirmed| *confirmed + limit > now)
                else {
                    return Err(unavailable("the store does not answer the watcher"));
                };
                let Some(changes) = log.changes_since(revision) else {
                    return Err(unavailable("the watcher does not know the history"));
                };
                if log.has_changed_since(revision) || now >= ends_at {
                    let age = ContactAge {
                        called: now.saturating_sub(log.called_at()),
                        answered: now.saturating_sub(confirmed_at),
                    };
                    return Ok(RelayedPage { changes, age });
                }
                confirmed_at + limit
            };
            let pause = stale_at.min(ends_at).saturating_sub(now);
            // The next iteration evaluates the log again, whether it changed or the time elapsed.
            let _changed = timeout(pause, updates.changed()).await;
        }
    }

    /// Replies to a peer's request for changes; refuses it if the kind is unknown or
    /// [`ChangeRelay::changes`] fails.
    pub async fn reply(&self, request: ChangeRequest) -> PeerReply {
        let kind = usize::try_from(request.kind).ok();
        let page = match kind.and_then(|index| ObjectKind::ALL.get(index)) {
            Some(kind) => {
                let wait = Duration::from_millis(u64::from(request.wait_ms)).min(kind.watch_wait());
                self.changes(*kind, request.revision, wait).await
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
        let state = &self.states[kind.index()];
        change(&mut lock(&state.log));
        state.updates.send_modify(|count| *count += 1);
    }
}

fn unavailable(detail: &str) -> Error {
    Error::new(ErrorKind::Unavailable, detail)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
