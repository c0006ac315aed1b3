use std::net::SocketAddr;
use std::sync::Arc;

use comfreychute::platform_client::{ListedInstance, VALUE_LIMIT_BYTES};
use comfreychute::{Error, ErrorKind, Result};
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};

use super::platform_state::PlatformState;
use super::{PlatformCounters, PlatformSettings, platform_api};

/// A running stand-in of the platform.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    state: Arc<PlatformState>,
    server: PlatformServer,
}

struct PlatformServer(HttpServer<Arc<PlatformState>>);

impl std::fmt::Debug for PlatformServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformServer")
    }
}

impl PlatformStandin {
    /// Binds the address and serves until the stand-in is stopped or dropped.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    #[expect(
        clippy::unused_async,
        reason = "all stand-ins start alike, and dropshot must start within a runtime"
    )]
    pub async fn start(settings: PlatformSettings) -> Result<Self> {
        let fail = |error: String| Error::new(ErrorKind::Settings, format!("platform: {error}"));
        let config = ConfigDropshot {
            bind_address: settings.address,
            default_request_body_max_bytes: VALUE_LIMIT_BYTES,
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let state = Arc::new(PlatformState::new(settings));
        let api = platform_api::describe().map_err(|error| fail(error.to_string()))?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(api, Arc::clone(&state), log)
            .config(config)
            .start()
            .map_err(|error| fail(error.to_string()))?;
        Ok(Self {
            address: server.local_addr(),
            state,
            server: PlatformServer(server),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes settings and faults.
    pub fn change(&self, change: impl FnOnce(&mut PlatformSettings)) {
        self.state.settings.change(change);
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, list: Vec<ListedInstance>) {
        self.state.set_instances(list);
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> PlatformCounters {
        *self.state.counters()
    }

    /// Stops the server; calls that hang by order end first.
    pub async fn stop(self) {
        self.state.stopping.cancel();
        // The server reports only that it was closed twice, which can't happen here.
        drop(self.server.0.close().await);
    }
}
