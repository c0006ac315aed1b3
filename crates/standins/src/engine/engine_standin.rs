use std::net::SocketAddr;
use std::sync::Arc;

use comfreychute::upstream::EngineStatus;
use comfreychute::{Error, ErrorKind, Result};

use super::engine_api::answer;
use super::engine_core::EngineCore;
use super::{EngineCounters, EngineSettings, WeightStore};
use crate::journal::JournalEntry;
use crate::server::ConnectionServer;

/// A running stand-in of a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    core: Arc<EngineCore>,
    server: ConnectionServer,
}

impl EngineStandin {
    /// Binds the address and serves until the stand-in is stopped or dropped; it has its
    /// own weight store.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(settings: EngineSettings) -> Result<Self> {
        Self::start_with_store(settings, WeightStore::default()).await
    }

    /// Starts an engine that loads from a store that other engines may share.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start_with_store(settings: EngineSettings, store: WeightStore) -> Result<Self> {
        let address = settings.address;
        let core = Arc::new(EngineCore::new(settings, store));
        let shared = Arc::clone(&core);
        let server = ConnectionServer::start(address, core.gate.clone(), move |number, request| {
            answer(Arc::clone(&shared), number, request)
        })
        .await
        .map_err(|error| Error::new(ErrorKind::Settings, format!("engine {address}: {error}")))?;
        Ok(Self { core, server })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes settings and faults.
    pub fn change(&self, change: impl FnOnce(&mut EngineSettings)) {
        self.core.settings.change(change);
    }

    /// Restarts cold.
    pub fn restart(&self) {
        self.core.restart();
    }

    /// Cuts the connections of all streams; the runs go on.
    pub fn cut_streams(&self) {
        self.core.cut_streams();
    }

    /// Makes all present connections unresponsive; later ones work.
    pub fn silence(&self) {
        self.core.gate.silence();
    }

    /// Returns the status without a lag of the residency.
    #[must_use]
    pub fn status(&self) -> EngineStatus {
        self.core.status()
    }

    /// Returns the number of answers that run, wait or are kept for a resume.
    #[must_use]
    pub fn kept_answers(&self) -> usize {
        self.core.kept_answers()
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.core.counters()
    }

    /// Returns the journal.
    #[must_use]
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.core.journal.read(0)
    }

    /// Stops the engine: cuts all connections and closes the port.
    pub async fn stop(self) {
        self.core.restart();
        self.server.stop().await;
    }
}
