use std::net::SocketAddr;
use std::sync::Arc;

use comfreychute::{Error, ErrorKind, Result};

use super::plain_api::answer;
use super::plain_core::PlainCore;
use super::{PlainCounters, PlainSettings};
use crate::journal::JournalEntry;
use crate::server::ConnectionServer;

/// A running stand-in of a plain service.
#[derive(Debug)]
pub struct PlainStandin {
    core: Arc<PlainCore>,
    server: ConnectionServer,
}

impl PlainStandin {
    /// Binds the address and serves until the stand-in is stopped or dropped.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(settings: PlainSettings) -> Result<Self> {
        let address = settings.address;
        let core = Arc::new(PlainCore::new(settings));
        let shared = Arc::clone(&core);
        let server = ConnectionServer::start(address, core.gate.clone(), move |number, request| {
            answer(Arc::clone(&shared), number, request)
        })
        .await
        .map_err(|error| Error::new(ErrorKind::Settings, format!("plain {address}: {error}")))?;
        Ok(Self { core, server })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes settings and faults.
    pub fn change(&self, change: impl FnOnce(&mut PlainSettings)) {
        self.core.settings.change(change);
    }

    /// Cuts the connections of all calls in progress.
    pub fn restart(&self) {
        self.core.crash();
    }

    /// Makes all present connections unresponsive; later ones work.
    pub fn silence(&self) {
        self.core.gate.silence();
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> PlainCounters {
        *self.core.counters()
    }

    /// Returns the journal.
    #[must_use]
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.core.journal.read(0)
    }

    /// Stops the service: cuts all connections and closes the port.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
