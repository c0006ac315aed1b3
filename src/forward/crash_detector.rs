use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::request_runner::lock;
use super::{FleetState, UpstreamEntry};
use crate::id::UpstreamId;

/// Tells an upstream that has crashed from one that has only lost an answer.
///
/// Both end a connection without an answer. A crashed upstream refuses new connections until it is
/// back, and is listed with another id or a later start then.
#[derive(Debug)]
pub struct CrashDetector {
    fleet: Arc<FleetState>,
    /// The checks that have not connected yet; breaks of one moment share one.
    upcoming: Mutex<BTreeMap<UpstreamId, watch::Receiver<Option<bool>>>>,
    /// Number of checks in progress by request.
    requests: Mutex<BTreeMap<u64, u32>>,
}

/// Time from a break to the first connection: the socket of a process that ends is closed within
/// milliseconds of its connections.
const FIRST_DELAY: Duration = Duration::from_millis(40);

/// Pauses between connections. An upstream resets connections over its limit, so that one which is
/// closed again proves nothing, and another one is opened.
const PAUSES: [Duration; 3] = [
    Duration::from_millis(80),
    Duration::from_millis(160),
    Duration::from_millis(320),
];

/// Timeout of a connection; a cut link drops the packets.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a break within which a new start of an upstream that refused no connection is listed.
/// Upstreams register when they start, and instances learn it within a second.
const RESTART_TIME: Duration = Duration::from_millis(2200);

impl CrashDetector {
    /// Creates a detector that looks for upstreams in the list of `fleet`.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>) -> Self {
        Self {
            fleet,
            upcoming: Mutex::default(),
            requests: Mutex::default(),
        }
    }

    /// Returns whether an upstream that has just broken a connection of `request` has crashed, as soon
    /// as that is known.
    pub(super) async fn has_crashed(
        self: &Arc<Self>,
        entry: &Arc<UpstreamEntry>,
        request: u64,
    ) -> bool {
        *lock(&self.requests).entry(request).or_default() += 1;
        let mut verdict = self.check(entry);
        let known = verdict.wait_for(Option::is_some).await;
        // The check ends without a verdict only if its task panics.
        let has_crashed = known.is_ok_and(|known| *known == Some(true));
        let mut requests = lock(&self.requests);
        if let Some(count) = requests.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&request);
            }
        }
        has_crashed
    }

    /// Returns whether a break of a connection of `request` is being checked.
    pub(super) fn is_checking(&self, request: u64) -> bool {
        lock(&self.requests).contains_key(&request)
    }

    /// Returns whether an upstream that has just ended a connection in order keeps a new one open.
    pub(super) async fn takes_connections(&self, entry: &UpstreamEntry) -> bool {
        sleep(FIRST_DELAY).await;
        probe(entry).await == ProbeOutcome::Open
    }

    /// Starts a check, or joins one that has not connected yet.
    fn check(self: &Arc<Self>, entry: &Arc<UpstreamEntry>) -> watch::Receiver<Option<bool>> {
        let mut upcoming = lock(&self.upcoming);
        if let Some(verdict) = upcoming.get(&entry.id) {
            return verdict.clone();
        }
        let (sender, verdict) = watch::channel(None);
        upcoming.insert(entry.id.clone(), verdict.clone());
        let (this, entry) = (Arc::clone(self), Arc::clone(entry));
        tokio::spawn(async move {
            let until = Instant::now() + RESTART_TIME;
            sleep(FIRST_DELAY).await;
            lock(&this.upcoming).remove(&entry.id);
            let is_away = probe(&entry).await == ProbeOutcome::Refused;
            let has_crashed = is_away || this.is_restarted(&entry, until).await;
            sender.send_replace(Some(has_crashed));
        });
        verdict
    }

    /// Returns whether a new start of the upstream is listed at the latest at `until`.
    async fn is_restarted(&self, entry: &UpstreamEntry, until: Instant) -> bool {
        let mut changes = self.fleet.subscribe();
        loop {
            let upstreams = self.fleet.upstreams();
            let mut same = upstreams.values().filter(|it| it.address == entry.address);
            if same.any(|it| it.id != entry.id || it.incarnation > entry.incarnation) {
                return true;
            }
            if !matches!(timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
                return false;
            }
        }
    }
}

/// What new connections to an upstream show.
#[derive(Debug, PartialEq, Eq)]
enum ProbeOutcome {
    /// A connection stayed open.
    Open,
    /// A connection was refused.
    Refused,
    /// All were closed again, or none could be opened in time.
    Unclear,
}

/// Opens connections to the upstream, one after the other, until one shows whether it takes them.
async fn probe(entry: &UpstreamEntry) -> ProbeOutcome {
    for pause in PAUSES {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(entry.address)).await {
            Ok(Ok(stream)) => {
                // Nothing is sent, so that any readiness is the end of the connection.
                if timeout(pause, stream.readable()).await.is_err() {
                    return ProbeOutcome::Open;
                }
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return ProbeOutcome::Refused;
            }
            Ok(Err(_)) | Err(_) => sleep(pause).await,
        }
    }
    ProbeOutcome::Unclear
}
