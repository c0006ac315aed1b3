use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;

use super::AdminClient;
use crate::error::{Error, ErrorKind, Result};
use crate::platform_client::InstanceList;
use crate::unit::DurationText;

/// Arguments that select the admin ports of nodes.
#[derive(Debug, Clone, Args)]
pub struct AdminArgs {
    /// The address of an admin port; repeat it or separate several by commas.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',')]
    pub admin: Vec<SocketAddr>,
    /// The admin port of all instances in the platform's instance list; needs --platform.
    #[arg(long, value_name = "PORT", requires = "platform")]
    pub admin_port: Option<u16>,
    /// The address of the platform's API.
    #[arg(
        long,
        value_name = "ADDRESS",
        env = "COMFREYCHUTE_PLATFORM_ADDRESS",
        hide_env_values = true
    )]
    pub platform: Option<SocketAddr>,
    /// A file with the bearer token of the admin ports; without it, the token is read from the
    /// environment variable `COMFREYCHUTE_ADMIN_TOKEN`.
    #[arg(long, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Time after which a call counts as failed.
    #[arg(long, value_name = "DURATION", default_value = "2s", value_parser = DurationText::parse)]
    pub timeout: Duration,
}

impl AdminArgs {
    /// Returns a client for each selected admin port, without duplicates.
    ///
    /// # Errors
    ///
    /// Fails if no address is given, if the token cannot be read or if the platform does not
    /// answer.
    pub async fn to_clients(&self) -> Result<Vec<AdminClient>> {
        let token = self.token()?;
        let mut addresses: BTreeSet<SocketAddr> = self.admin.iter().copied().collect();
        if let (Some(port), Some(platform)) = (self.admin_port, self.platform) {
            let listed = InstanceList::new(platform, self.timeout).read().await?;
            addresses.extend(
                listed
                    .iter()
                    .map(|instance| SocketAddr::new(instance.peer_address.ip(), port)),
            );
        }
        if addresses.is_empty() {
            return Err(Error::new(
                ErrorKind::BadRequest,
                "no admin port is given; add --admin ADDRESS, or --platform ADDRESS --admin-port PORT",
            ));
        }
        Ok(addresses
            .into_iter()
            .map(|address| AdminClient::new(address, self.timeout, token.as_deref()))
            .collect())
    }

    fn token(&self) -> Result<Option<String>> {
        let Some(path) = &self.token_file else {
            return Ok(std::env::var("COMFREYCHUTE_ADMIN_TOKEN").ok());
        };
        std::fs::read_to_string(path)
            .map(|text| Some(text.trim().to_owned()))
            .map_err(|error| {
                Error::new(
                    ErrorKind::Settings,
                    format!("--token-file {}: {error}", path.display()),
                )
            })
    }
}
