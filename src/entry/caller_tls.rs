use std::path::Path;
use std::sync::Arc;

use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};

use crate::error::{Error, ErrorKind, Result};

/// Loads the certificate chain and the private key of the TLS endpoint for callers.
///
/// # Errors
///
/// Returns [`ErrorKind::Settings`] if a file cannot be read or its content is invalid.
pub fn load_tls(certificate: &Path, key: &Path) -> Result<TlsAcceptor> {
    let settings_error = |path: &Path, error: &dyn std::fmt::Display| {
        Error::new(ErrorKind::Settings, format!("{}: {error}", path.display()))
    };
    let chain = CertificateDer::pem_file_iter(certificate)
        .and_then(Iterator::collect)
        .map_err(|error| settings_error(certificate, &error))?;
    let private = PrivateKeyDer::from_pem_file(key).map_err(|error| settings_error(key, &error))?;
    let config = ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, private)
        .map_err(|error| settings_error(certificate, &error))?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}
