use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use super::SecretText;

/// Section `[admin]`: the HTTP port for operators.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdminSettings {
    /// The address to listen on; required.
    pub address: SocketAddr,
    /// The bearer token that requests must carry; if neither this nor `token_file` is set, requests
    /// are not authenticated.
    pub token: Option<SecretText>,
    /// A file with the bearer token, whose content is stored in `token` when the settings are
    /// loaded; only one of both may be set.
    pub token_file: Option<PathBuf>,
}

impl Default for AdminSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            token: None,
            token_file: None,
        }
    }
}
