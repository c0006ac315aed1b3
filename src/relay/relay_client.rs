use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::timeout;

use super::{ChangePage, ChangeRelay, ObjectKind};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::peer::{ChangeRequest, PeerMesh, PeerRequest, ask, reply};
use crate::time::ClockSource;

/// Requests changes in the store from the watcher of this instance's failure domain.
#[derive(Debug)]
pub struct RelayClient {
    relay: Arc<ChangeRelay>,
    mesh: PeerMesh,
    clock: ClockSource,
    /// Clock time in milliseconds until which the watcher is not used.
    paused_until: AtomicU64,
}

/// Time allowed for a reply beyond the wait that the request states; a hop within a failure domain
/// takes a millisecond.
const REPLY_MARGIN: Duration = Duration::from_millis(300);

/// Time for which the store is called directly after a request to the watcher failed. The watcher's
/// links, process or connection to the store may take that long to recover or to be declared dead.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);

impl RelayClient {
    /// Creates a client that sends requests over `mesh` to the watcher set in `relay`.
    #[must_use]
    pub const fn new(relay: Arc<ChangeRelay>, mesh: PeerMesh, clock: ClockSource) -> Self {
        Self {
            relay,
            mesh,
            clock,
            paused_until: AtomicU64::new(0),
        }
    }

    /// Returns the relay of this instance, which records the changes it reads and serves them to
    /// peers.
    #[must_use]
    pub fn relay(&self) -> &ChangeRelay {
        &self.relay
    }

    /// Returns the instance to request changes from, or `None` if this instance has to call the
    /// store.
    #[must_use]
    pub fn watcher(&self) -> Option<InstanceId> {
        let now = to_millis(self.clock.now());
        let is_paused = now < self.paused_until.load(Ordering::Acquire);
        self.relay.watcher().filter(|_| !is_paused)
    }

    /// Requests the changes after a revision and waits for one up to [`ObjectKind::watch_wait`].
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if the watcher does not reply in time, cannot be reached
    /// or cannot provide the changes. After any error, [`RelayClient::watcher`] returns `None` for
    /// some seconds, so that the store is called directly.
    pub async fn changes(
        &self,
        watcher: &InstanceId,
        kind: ObjectKind,
        revision: u64,
    ) -> Result<ChangePage> {
        let page = self.request_changes(watcher, kind, revision).await;
        if page.is_err() {
            self.pause();
        }
        page
    }

    /// Stops using the watcher for some seconds, because it failed or lags behind its peers.
    pub fn pause(&self) {
        let until = to_millis(self.clock.now() + FAILURE_PAUSE);
        self.paused_until.fetch_max(until, Ordering::AcqRel);
    }

    async fn request_changes(
        &self,
        watcher: &InstanceId,
        kind: ObjectKind,
        revision: u64,
    ) -> Result<ChangePage> {
        let wait = kind.watch_wait();
        let request = ChangeRequest {
            // The indices of four kinds and a wait of some seconds fit in 32 bits.
            kind: u32::try_from(kind.index()).unwrap_or(u32::MAX),
            revision,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        };
        let body = Some(ask::Body::Changes(request));
        let pending = self.mesh.request(watcher, PeerRequest { body });
        match timeout(wait + REPLY_MARGIN, pending).await {
            Ok(answer) => match answer?.body {
                Some(reply::Body::Changes(reply)) => Ok(ChangePage::from_reply(reply)),
                Some(reply::Body::Refused(body)) => Err(body.to_error()),
                _ => Err(Error::new(
                    ErrorKind::Protocol,
                    "the watcher's reply is of another kind; check that all instances run one version",
                )),
            },
            Err(_) => Err(Error::new(
                ErrorKind::Unavailable,
                "the watcher did not reply in time",
            )),
        }
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
