use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Section `[caller]`: the HTTP port for callers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// The address to listen on; required.
    pub address: SocketAddr,
    /// A PEM file with the certificate chain; set together with `tls_key_file` to enable TLS.
    pub tls_certificate_file: Option<PathBuf>,
    /// A PEM file with the private key of the certificate.
    pub tls_key_file: Option<PathBuf>,
}

impl CallerSettings {
    /// Returns the certificate file and the key file, or `None` if TLS is disabled.
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
