use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;

use super::NodeState;
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::transport::HttpTransport;

/// Maximum size of the response to `/state`.
const MAX_STATE_BYTES: usize = 16 << 20;

/// A client of the admin port of one node.
#[derive(Clone)]
pub struct AdminClient {
    address: SocketAddr,
    transport: HttpTransport,
    token: Option<String>,
}

impl AdminClient {
    /// Creates a client; `token` is sent as the bearer token.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, token: Option<&str>) -> Self {
        Self {
            address,
            transport: HttpTransport::new(address, timeout, ErrorKind::Peer),
            token: token.map(str::to_owned),
        }
    }

    /// Returns the address of the admin port.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests the state of the node from `/state`.
    ///
    /// # Errors
    ///
    /// Fails if the node does not answer, rejects the token or returns an invalid state.
    pub async fn state(&self) -> Result<NodeState> {
        let mut request = Request::builder()
            .method(Method::GET)
            .uri(self.transport.uri("/state")?);
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request
            .body(Full::<Bytes>::default())
            .map_err(|error| self.transport.fail(&error.to_string(), RunState::NotRun))?;
        let response = self
            .transport
            .send(request, self.transport.timeout())
            .await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => {
                return Err(Error::new(
                    ErrorKind::BadRequest,
                    format!(
                        "{} refused the bearer token; give it with --token-file or \
                         COMFREYCHUTE_ADMIN_TOKEN",
                        self.address
                    ),
                ));
            }
            status => {
                return Err(self
                    .transport
                    .fail(&format!("state: status {status}"), RunState::Unknown));
            }
        }
        let body = self.transport.read_body(response, MAX_STATE_BYTES).await?;
        serde_json::from_slice(&body).map_err(|error| {
            self.transport
                .fail(&format!("state: {error}"), RunState::Unknown)
        })
    }
}

impl fmt::Debug for AdminClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminClient")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
