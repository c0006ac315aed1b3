use std::net::SocketAddr;
use std::path::PathBuf;

use dropshot::ConfigTls;
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
    /// Returns the TLS configuration of the HTTP server, if both files are set.
    #[must_use]
    pub fn to_tls(&self) -> Option<ConfigTls> {
        let (certificate, key) = self
            .tls_certificate_file
            .as_ref()
            .zip(self.tls_key_file.as_ref())?;
        Some(ConfigTls::AsFile {
            cert_file: certificate.clone(),
            key_file: key.clone(),
        })
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
