use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::timeout;

use super::substitute_state::SubstituteState;
use super::{ChangeRelay, ObjectKind, RelayedPage, choose_substitutes};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::peer::{ChangeRequest, PeerMesh, PeerRequest, ask, reply};
use crate::time::ClockSource;

/// Requests changes in the store from the watcher of this instance's failure domain, or from another
/// peer if neither the watcher nor the store answers.
#[derive(Debug)]
pub struct RelayClient {
    relay: Arc<ChangeRelay>,
    mesh: PeerMesh,
    clock: ClockSource,
    /// Clock time in milliseconds until which the watcher is not used.
    paused_until: AtomicU64,
    substitute: Mutex<SubstituteState>,
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
    pub fn new(relay: Arc<ChangeRelay>, mesh: PeerMesh, clock: ClockSource) -> Self {
        Self {
            relay,
            mesh,
            clock,
            paused_until: AtomicU64::new(0),
            substitute: Mutex::default(),
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
        let now = self.clock.now();
        if let Some(peer) = self.lock_substitute().peer(now) {
            return Some(peer.clone());
        }
        let is_paused = to_millis(now) < self.paused_until.load(Ordering::Acquire);
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
    ) -> Result<RelayedPage> {
        let wait = kind.watch_wait();
        let page = self.request_changes(watcher, kind, revision, wait).await;
        if page.is_err() {
            self.pause();
        }
        page
    }

    /// Requests the changes after a revision from peers that the store answers, without waiting for
    /// one, and returns the first reply with its sender. That peer is used as the watcher for some
    /// seconds.
    ///
    /// Returns `None` if no peer can provide the changes, as in an outage of the store for all.
    pub async fn substitute_changes(
        &self,
        kind: ObjectKind,
        revision: u64,
    ) -> Option<(InstanceId, RelayedPage)> {
        let peers = self.substitute_candidates();
        let requests = peers.into_iter().map(|peer| async move {
            let page = self.request_changes(&peer, kind, revision, Duration::ZERO);
            page.await.map(|page| (peer, page))
        });
        let mut requests: FuturesUnordered<_> = requests.collect();
        while let Some(reply) = requests.next().await {
            // A refusal says that the store does not answer that peer either.
            if let Ok((peer, page)) = reply {
                let now = self.clock.now();
                self.lock_substitute().use_peer(peer.clone(), now);
                return Some((peer, page));
            }
        }
        None
    }

    /// Returns the substitute in use, or else the peers among which to search for one; none if the last
    /// search was too short ago.
    fn substitute_candidates(&self) -> Vec<InstanceId> {
        let now = self.clock.now();
        let mut state = self.lock_substitute();
        if let Some(peer) = state.peer(now) {
            return vec![peer.clone()];
        }
        if !state.begin_search(now) {
            return Vec::new();
        }
        drop(state);
        choose_substitutes(&self.mesh.live_peers(), rand::random)
    }

    /// Stops using the watcher for some seconds, because it failed or lags behind its peers.
    pub fn pause(&self) {
        let until = to_millis(self.clock.now() + FAILURE_PAUSE);
        self.paused_until.fetch_max(until, Ordering::AcqRel);
        self.lock_substitute().clear();
    }

    async fn request_changes(
        &self,
        watcher: &InstanceId,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> Result<RelayedPage> {
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
                Some(reply::Body::Changes(reply)) => Ok(RelayedPage::from_reply(reply, kind)),
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

    fn lock_substitute(&self) -> MutexGuard<'_, SubstituteState> {
        self.substitute
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
