use std::sync::Arc;
use std::time::Duration;

use comfreychute::platform_client::{IndexEntry, ListedInstance, StoredObject, VERSION_HEADER};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ClientErrorStatusCode, HttpError, Query,
    RequestContext, UntypedBody, endpoint,
};
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::platform_state::PlatformState;

type ApiContext = RequestContext<Arc<PlatformState>>;
type ApiReply = Result<Response<Body>, HttpError>;

/// The query of a read or a write.
#[derive(Debug, Deserialize, JsonSchema)]
struct ObjectQuery {
    /// The key.
    key: String,
    /// The version that the object must have; absent: it must not exist.
    expected: Option<u64>,
}

/// The query of a list.
#[derive(Debug, Deserialize, JsonSchema)]
struct PrefixQuery {
    /// The start of the keys.
    prefix: String,
}

/// The query of a watch.
#[derive(Debug, Deserialize, JsonSchema)]
struct WatchQuery {
    /// The key.
    key: String,
    /// The version that the caller has.
    after: u64,
    /// The longest wait, in milliseconds.
    wait_ms: u64,
}

/// Describes all endpoints.
pub(super) fn describe() -> Result<ApiDescription<Arc<PlatformState>>, ApiDescriptionRegisterError>
{
    let mut api = ApiDescription::new();
    api.register(read_object)?;
    api.register(write_object)?;
    api.register(list_objects)?;
    api.register(watch_object)?;
    api.register(read_instances)?;
    api.register(write_instances)?;
    api.register(read_settings)?;
    api.register(write_settings)?;
    api.register(read_counters)?;
    Ok(api)
}

/// Reads an object.
#[endpoint { method = GET, path = "/object" }]
async fn read_object(context: ApiContext, query: Query<ObjectQuery>) -> ApiReply {
    let state = context.context();
    admit(state.admit(|counters| counters.reads += 1).await)?;
    match state.read(&query.into_inner().key) {
        Some(object) => object_reply(StatusCode::OK, object),
        None => reply(StatusCode::NOT_FOUND),
    }
}

/// Writes an object if its version is the expected one.
#[endpoint { method = PUT, path = "/object" }]
async fn write_object(
    context: ApiContext,
    query: Query<ObjectQuery>,
    body: UntypedBody,
) -> ApiReply {
    let state = context.context();
    admit(state.admit(|counters| counters.writes += 1).await)?;
    let query = query.into_inner();
    let value = body.as_bytes().to_vec().into();
    let outcome = state.write(&query.key, value, query.expected);
    if state.loses_reply() {
        // The client gives up first, which ends this call.
        state.stopping.cancelled().await;
    }
    match outcome {
        Ok(version) => build(
            Response::builder()
                .status(StatusCode::OK)
                .header(VERSION_HEADER, version),
            Body::empty(),
        ),
        Err(Some(object)) => object_reply(StatusCode::CONFLICT, object),
        Err(None) => reply(StatusCode::CONFLICT),
    }
}

/// Lists objects.
#[endpoint { method = GET, path = "/objects" }]
async fn list_objects(context: ApiContext, query: Query<PrefixQuery>) -> ApiReply {
    let state = context.context();
    admit(state.admit(|counters| counters.lists += 1).await)?;
    let objects = state.list(&query.into_inner().prefix);
    let index: Vec<IndexEntry> = objects
        .iter()
        .map(|object| IndexEntry {
            key: object.key.clone(),
            version: object.version,
            length: object.value.len(),
        })
        .collect();
    let mut body = to_json(&index)?;
    body.push(b'\n');
    for object in &objects {
        body.extend_from_slice(&object.value);
    }
    build(Response::builder().status(StatusCode::OK), body.into())
}

/// Waits for a newer version of an object.
#[endpoint { method = GET, path = "/watch" }]
async fn watch_object(context: ApiContext, query: Query<WatchQuery>) -> ApiReply {
    let state = context.context();
    admit(state.admit(|counters| counters.watches += 1).await)?;
    let query = query.into_inner();
    let wait = Duration::from_millis(query.wait_ms);
    let object = state.watch(&query.key, query.after, wait).await;
    // An outage that began while the watch waited also holds back its answer.
    admit(state.admit(|_| ()).await)?;
    match object {
        Some(object) => object_reply(StatusCode::OK, object),
        None => reply(StatusCode::NO_CONTENT),
    }
}

/// Reads the list of instances.
#[endpoint { method = GET, path = "/instances" }]
async fn read_instances(context: ApiContext) -> ApiReply {
    let state = context.context();
    admit(state.admit(|counters| counters.instance_reads += 1).await)?;
    json_reply(&state.instances())
}

/// Replaces the list of instances.
#[endpoint { method = PUT, path = "/control/instances" }]
async fn write_instances(context: ApiContext, body: UntypedBody) -> ApiReply {
    let list: Vec<ListedInstance> = serde_json::from_slice(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))?;
    context.context().set_instances(list);
    reply(StatusCode::NO_CONTENT)
}

/// Reads the settings.
#[endpoint { method = GET, path = "/control/settings" }]
async fn read_settings(context: ApiContext) -> ApiReply {
    json_reply(&context.context().settings.read())
}

/// Changes the settings that the body names.
#[endpoint { method = PUT, path = "/control/settings" }]
async fn write_settings(context: ApiContext, body: UntypedBody) -> ApiReply {
    context
        .context()
        .settings
        .merge(body.as_bytes())
        .map_err(|error| HttpError::for_bad_request(None, error.to_string()))?;
    reply(StatusCode::NO_CONTENT)
}

/// Reads the counters.
#[endpoint { method = GET, path = "/control/counters" }]
async fn read_counters(context: ApiContext) -> ApiReply {
    let counters = *context.context().counters();
    json_reply(&counters)
}

fn admit(is_admitted: bool) -> Result<(), HttpError> {
    if is_admitted {
        Ok(())
    } else {
        Err(HttpError::for_unavail(
            None,
            "the platform has an outage; retry later".to_owned(),
        ))
    }
}

fn object_reply(status: StatusCode, object: StoredObject) -> ApiReply {
    build(
        Response::builder()
            .status(status)
            .header(VERSION_HEADER, object.version),
        Body::with_content(object.value),
    )
}

fn json_reply<T: Serialize>(value: &T) -> ApiReply {
    build(
        Response::builder().header(CONTENT_TYPE, "application/json"),
        to_json(value)?.into(),
    )
}

fn reply(status: StatusCode) -> ApiReply {
    build(Response::builder().status(status), Body::empty())
}

fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, HttpError> {
    serde_json::to_vec(value).map_err(|error| HttpError::for_internal_error(error.to_string()))
}

fn build(builder: http::response::Builder, body: Body) -> ApiReply {
    builder.body(body).map_err(|error| {
        HttpError::for_client_error(None, ClientErrorStatusCode::BAD_REQUEST, error.to_string())
    })
}
