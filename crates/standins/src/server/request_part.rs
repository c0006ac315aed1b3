use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::CutConnection;

/// Reads a whole body.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, CutConnection> {
    let body = body.collect().await.ok().ok_or(CutConnection)?;
    Ok(body.to_bytes())
}

/// Reads a number from a query; zero if it is absent.
pub(crate) fn query_number(query: &str, key: &str) -> u64 {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
