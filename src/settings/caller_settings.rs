use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Section `[caller]`: the port for callers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// The address to listen on; required.
    pub address: SocketAddr,
    /// A PEM file with the certificate chain; with `tls_key_file` it turns TLS on.
    pub tls_certificate_file: Option<PathBuf>,
    /// A PEM file with the private key.
    pub tls_key_file: Option<PathBuf>,
}

impl CallerSettings {
    /// Returns the certificate file and the key file, if TLS is on.
    #[must_use]
    pub fn tls_files(&self) -> Option<(&Path, &Path)> {
        self.tls_certificate_file
            .as_deref()
            .zip(self.tls_key_file.as_deref())
    }
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            tls_certificate_file: None,
            tls_key_file: None,
        }
    }
}
