use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{
    ApiDescription, Body, ClientErrorStatusCode, ConfigDropshot, HttpError, HttpResponseOk,
    HttpServer, RequestContext, ServerBuilder, endpoint,
};
use http::Response;

use super::{AdminContext, NodeReport};
use crate::error::{Error, ErrorKind, Result};

type Context = RequestContext<Arc<AdminContext>>;

/// The HTTP server for operators, with the endpoints `/health`, `/ready`, `/state` and `/metrics`.
pub struct AdminServer {
    server: HttpServer<Arc<AdminContext>>,
}

impl fmt::Debug for AdminServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminServer")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl AdminServer {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Settings`] if the address cannot be bound.
    pub fn start(context: AdminContext, address: SocketAddr) -> Result<Self> {
        let mut api = ApiDescription::new();
        let registered = [
            api.register(health),
            api.register(ready),
            api.register(state),
            api.register(metrics),
        ];
        for result in registered {
            result.map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        }
        let config = ConfigDropshot {
            bind_address: address,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api, Arc::new(context), crate::telemetry::to_slog())
            .config(config)
            .start()
            .map_err(|error| {
                Error::new(
                    ErrorKind::Settings,
                    format!("admin.address {address}: {error}"),
                )
            })?;
        Ok(Self { server })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops the server.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the server task failed.
    pub async fn close(self) -> Result<()> {
        self.server
            .close()
            .await
            .map_err(|error| Error::new(ErrorKind::Internal, error))
    }
}

fn authorize(context: &Context) -> std::result::Result<(), HttpError> {
    if context
        .context()
        .check
        .is_allowed(context.request.headers())
    {
        return Ok(());
    }
    let message = "send the admin token in an authorization: Bearer header".to_owned();
    Err(HttpError::for_client_error(
        None,
        ClientErrorStatusCode::UNAUTHORIZED,
        message,
    ))
}

/// Returns status 200 while the process runs.
#[endpoint { method = GET, path = "/health" }]
async fn health(context: Context) -> std::result::Result<HttpResponseOk<String>, HttpError> {
    authorize(&context)?;
    Ok(HttpResponseOk("ok".to_owned()))
}

/// Returns status 200 if the instance accepts requests, and 503 otherwise.
#[endpoint { method = GET, path = "/ready" }]
async fn ready(context: Context) -> std::result::Result<HttpResponseOk<String>, HttpError> {
    authorize(&context)?;
    let report = (context.context().report)();
    if report.is_ready {
        return Ok(HttpResponseOk("ready".to_owned()));
    }
    let reason = if report.is_draining {
        "shutting down"
    } else {
        "no tables yet"
    };
    Err(HttpError::for_unavail(
        Some("not_ready".to_owned()),
        reason.to_owned(),
    ))
}

/// Returns the state of the instance, its peers and all upstreams.
#[endpoint { method = GET, path = "/state" }]
async fn state(context: Context) -> std::result::Result<HttpResponseOk<NodeReport>, HttpError> {
    authorize(&context)?;
    Ok(HttpResponseOk((context.context().report)()))
}

/// Returns the metrics collected since the start of the process.
#[endpoint { method = GET, path = "/metrics", unpublished = true }]
async fn metrics(context: Context) -> std::result::Result<Response<Body>, HttpError> {
    authorize(&context)?;
    let rows = context.context().metrics.table().snapshot();
    let body = serde_json::to_string(&rows)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let mut response = Response::new(Body::from(body));
    response.headers_mut().insert(
        "content-type",
        http::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}
