use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;

use super::ListedInstance;
use crate::error::{ErrorKind, Result, RunState};
use crate::transport::HttpTransport;

/// The maximum size of the list; an entry takes about 150 bytes.
const LIST_LIMIT_BYTES: usize = 4 << 20;

/// Reads the platform's list of instances.
#[derive(Debug, Clone)]
pub struct InstanceList {
    transport: HttpTransport,
}

impl InstanceList {
    /// Creates a client of the platform at `address` that waits at most `timeout` for a response.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout, ErrorKind::Platform),
        }
    }

    /// Reads the instances in service and those that the platform is taking out of service.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Platform`] if the platform does not respond with a list.
    pub async fn read(&self) -> Result<Vec<ListedInstance>> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(self.transport.uri("/instances")?)
            .body(Full::<Bytes>::default())
            .map_err(|error| self.transport.fail(&error.to_string(), RunState::NotRun))?;
        let response = self
            .transport
            .send(request, self.transport.timeout())
            .await?;
        let status = response.status();
        let body = self.transport.read_body(response, LIST_LIMIT_BYTES).await?;
        if status != StatusCode::OK {
            return Err(self.transport.fail(
                &format!("instance list: status {status}"),
                RunState::Unknown,
            ));
        }
        serde_json::from_slice(&body).map_err(|error| {
            self.transport
                .fail(&format!("instance list: {error}"), RunState::Unknown)
        })
    }
}
