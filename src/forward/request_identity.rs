use bytes::Bytes;
use http::HeaderValue;
use http::header::{
    ACCEPT, ACCEPT_LANGUAGE, AUTHORIZATION, CONTENT_TYPE, COOKIE, HOST, HeaderName, RANGE,
};
use xxhash_rust::xxh3::Xxh3;

use super::HeaderNames;
use crate::workspace::WorkspaceEntry;

/// Headers other than those of a deployment on which an answer usually depends. Headers that differ
/// between repeats of a request, such as the id of the attempt, are left out.
const IDENTITY_HEADERS: [HeaderName; 6] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    AUTHORIZATION,
    CONTENT_TYPE,
    COOKIE,
    RANGE,
];

/// Returns a hash that a request shares with its repeats, and with no request that may be answered
/// differently.
///
/// The fingerprint is logged. If the request has a workspace, its name stands for the credentials,
/// so that nothing which is derived from a key is logged.
pub(super) fn fingerprint(
    head: &http::request::Parts,
    body: &Bytes,
    names: &HeaderNames,
    workspace: Option<&WorkspaceEntry>,
) -> u64 {
    let mut hasher = Xxh3::new();
    add_field(&mut hasher, head.method.as_str().as_bytes());
    let host = request_host(head).unwrap_or_default();
    add_field(&mut hasher, host.to_ascii_lowercase().as_bytes());
    let target = head.uri.path_and_query();
    add_field(&mut hasher, target.map_or("", |it| it.as_str()).as_bytes());
    let deployment = [&names.model, &names.token_counts, &names.prompt_parts];
    for name in deployment.into_iter().chain(&IDENTITY_HEADERS) {
        if name == AUTHORIZATION
            && let Some(workspace) = workspace
        {
            add_length(&mut hasher, 1);
            add_field(&mut hasher, workspace.name.as_bytes());
            continue;
        }
        let values: Vec<&HeaderValue> = head.headers.get_all(name).iter().collect();
        add_length(&mut hasher, values.len());
        for value in values {
            add_field(&mut hasher, value.as_bytes());
        }
    }
    add_field(&mut hasher, body);
    hasher.digest()
}

/// Returns the host that a request names, which may include a port.
pub(super) fn request_host(head: &http::request::Parts) -> Option<&str> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| head.uri.authority().map(http::uri::Authority::as_str))
}

/// Adds a field with its length, so that bytes which move from one field to the next change the hash.
fn add_field(hasher: &mut Xxh3, bytes: &[u8]) {
    add_length(hasher, bytes.len());
    hasher.update(bytes);
}

fn add_length(hasher: &mut Xxh3, length: usize) {
    hasher.update(&(length as u64).to_le_bytes());
}
