use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use dropshot::{
    ApiDescription, Body, ConfigDropshot, ConfigTls, HandlerTaskMode, HttpError, HttpServer, Path,
    RequestContext, ServerBuilder, StreamingBody, endpoint,
};
use futures_util::StreamExt;
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;

use super::{EntryContext, RefusalAnswer, RequestHeaders, model_call, plain_call};
use crate::error::{Error, ErrorKind, Result};
use crate::id::RequestId;
use crate::telemetry::{LogEvent, LogName};

type Context = RequestContext<Arc<EntryContext>>;
type Answer = std::result::Result<Response<Body>, HttpError>;

/// The HTTP server for callers.
pub struct EntryServer {
    server: HttpServer<Arc<EntryContext>>,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct AnyPath {
    #[expect(
        dead_code,
        reason = "dropshot needs the field for its wildcard; the path is read from the URI"
    )]
    path: Vec<String>,
}

impl fmt::Debug for EntryServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryServer")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl EntryServer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Settings`] if the address cannot be bound or the certificate is unusable.
    pub fn start(
        context: Arc<EntryContext>,
        address: SocketAddr,
        tls: Option<ConfigTls>,
    ) -> Result<Self> {
        let mut api = ApiDescription::new();
        let registered = [
            api.register(get_any),
            api.register(post_any),
            api.register(put_any),
            api.register(patch_any),
            api.register(delete_any),
        ];
        for result in registered {
            result.map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        }
        let config = ConfigDropshot {
            bind_address: address,
            // The body is read by `read_body`, whose limit gives a typed refusal.
            default_request_body_max_bytes: usize::MAX,
            // A caller who hangs up cancels the handler. Calls that may not be repeated run in
            // tasks of their own.
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api, context, crate::telemetry::to_slog())
            .config(config)
            .tls(tls)
            .start()
            .map_err(|error| {
                Error::new(
                    ErrorKind::Settings,
                    format!("caller.address {address}: {error}"),
                )
            })?;
        Ok(Self { server })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Stops to listen and ends the connections.
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

#[endpoint { method = GET, path = "/{path:.*}", unpublished = true }]
async fn get_any(context: Context, _path: Path<AnyPath>, body: StreamingBody) -> Answer {
    Ok(answer(&context, body).await)
}

#[endpoint { method = POST, path = "/{path:.*}", unpublished = true }]
async fn post_any(context: Context, _path: Path<AnyPath>, body: StreamingBody) -> Answer {
    Ok(answer(&context, body).await)
}

#[endpoint { method = PUT, path = "/{path:.*}", unpublished = true }]
async fn put_any(context: Context, _path: Path<AnyPath>, body: StreamingBody) -> Answer {
    Ok(answer(&context, body).await)
}

#[endpoint { method = PATCH, path = "/{path:.*}", unpublished = true }]
async fn patch_any(context: Context, _path: Path<AnyPath>, body: StreamingBody) -> Answer {
    Ok(answer(&context, body).await)
}

#[endpoint { method = DELETE, path = "/{path:.*}", unpublished = true }]
async fn delete_any(context: Context, _path: Path<AnyPath>, body: StreamingBody) -> Answer {
    Ok(answer(&context, body).await)
}

async fn answer(context: &Context, body: StreamingBody) -> Response<Body> {
    // The HTTP server draws an id for each request and states it in the `x-request-id` header.
    let request = context
        .request_id
        .parse()
        .unwrap_or_else(|_| RequestId::from_u128(rand::random()));
    match try_answer(context, request, body).await {
        Ok(response) => response,
        Err(error) => {
            LogEvent::new(LogName::RequestRefused)
                .with("request", request)
                .with("run_state", error.run_state())
                .with("reason", &error)
                .send();
            RefusalAnswer::from_error(&error, request).to_response(error.kind())
        }
    }
}

async fn try_answer(
    context: &Context,
    request: RequestId,
    body: StreamingBody,
) -> Result<Response<Body>> {
    let entry = context.context();
    let pass = entry.gate.enter();
    if entry.gate.in_progress() > entry.max_in_progress {
        return Err(Error::new(
            ErrorKind::Overloaded,
            "this instance has too many requests in progress",
        )
        .with_retry_after(std::time::Duration::from_secs(1)));
    }
    if entry.config.current().revision == 0 {
        return Err(
            Error::new(ErrorKind::Unavailable, "this instance has no tables yet")
                .with_retry_after(std::time::Duration::from_secs(1)),
        );
    }
    let headers = RequestHeaders::from_map(context.request.headers())?;
    let body = read_body(body, entry.max_body).await?;
    let (method, uri) = (context.request.method().as_str(), context.request.uri());
    match uri.path() {
        "/v1/completions" | "/v1/chat/completions" => {
            if method != "POST" {
                return Err(Error::new(
                    ErrorKind::BadRequest,
                    "completions are requested with POST",
                ));
            }
            model_call::answer(entry, pass, request, &headers, body).await
        }
        path => {
            let path = uri
                .path_and_query()
                .map_or(path, http::uri::PathAndQuery::as_str);
            plain_call::answer(entry, pass, request, &headers, (method, path, body)).await
        }
    }
}

/// Reads the body up to the limit, so that a large one is refused before it is stored.
async fn read_body(body: StreamingBody, limit: u64) -> Result<Bytes> {
    let mut bytes = BytesMut::new();
    let mut stream = std::pin::pin!(body.into_stream());
    while let Some(part) = stream.next().await {
        let part =
            part.map_err(|error| Error::new(ErrorKind::BadRequest, error.external_message))?;
        if bytes.len() as u64 + part.len() as u64 > limit {
            return Err(Error::new(
                ErrorKind::BodyTooLarge,
                format!("the limit of this instance is {limit} bytes"),
            ));
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes.freeze())
}
