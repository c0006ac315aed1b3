use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;

use crate::audit::AuditTrail;
use crate::platform_client::ObjectStore;
use crate::unit::DurationText;

/// Arguments for the connection to the platform.
#[derive(Debug, Clone, Args)]
pub struct PlatformArgs {
    /// The address of the platform's API.
    #[arg(
        long,
        value_name = "ADDRESS",
        env = "COMFREYCHUTE_PLATFORM_ADDRESS",
        hide_env_values = true
    )]
    pub platform: SocketAddr,
    /// Time after which a call to the platform counts as failed.
    #[arg(long, value_name = "DURATION", default_value = "2s", value_parser = DurationText::parse)]
    pub timeout: Duration,
}

impl PlatformArgs {
    /// Returns a client of the object store.
    #[must_use]
    pub fn to_store(&self) -> ObjectStore {
        ObjectStore::new(self.platform, self.timeout)
    }

    /// Returns the audit trail for edits on the command line, which all operators share.
    #[must_use]
    pub fn to_audit_trail(&self) -> AuditTrail {
        AuditTrail::new(self.to_store(), "operators")
    }
}
