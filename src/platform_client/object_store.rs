use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use super::percent_encoded::PercentEncoded;
use super::{IndexEntry, StoredObject, WriteOutcome};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::transport::HttpTransport;

/// The largest value that the store accepts, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// The header that carries the version of an object.
pub const VERSION_HEADER: &str = "x-object-version";

/// The maximum size of a list response: 256 values of the largest size.
const LIST_LIMIT_BYTES: usize = 256 << 20;

/// The time after which a watch without a change returns. An unresponsive connection is detected
/// only after this wait plus the timeout, so the wait is short.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Reads and conditionally updates objects of the platform's store.
#[derive(Debug, Clone)]
pub struct ObjectStore {
    transport: HttpTransport,
    calls: Arc<AtomicU64>,
}

impl ObjectStore {
    /// Creates a client of the store at `address` that waits at most `timeout` for a response.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            transport: HttpTransport::new(address, timeout, ErrorKind::Platform),
            calls: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Reads an object, or returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Platform`] if the store does not respond or refuses the call.
    pub async fn read(&self, key: &str) -> Result<Option<StoredObject>> {
        let path = format!("/object?key={}", PercentEncoded(key));
        let response = self
            .send(Method::GET, &path, Bytes::new(), self.transport.timeout())
            .await?;
        match response.status() {
            StatusCode::OK => self.read_object(key, response).await.map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.refuse("read", key, status)),
        }
    }

    /// Writes an object if its version is `expected`, or creates it if `expected` is `None`.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BodyTooLarge`] if the value exceeds [`VALUE_LIMIT_BYTES`]; in this
    /// case nothing was written. After any other error the value may or may not have been written.
    pub async fn write(
        &self,
        key: &str,
        value: &[u8],
        expected: Option<u64>,
    ) -> Result<WriteOutcome> {
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(Error::new(
                ErrorKind::BodyTooLarge,
                format!(
                    "object {key:?}: {} bytes exceed the limit of {VALUE_LIMIT_BYTES}",
                    value.len()
                ),
            ));
        }
        let key_part = PercentEncoded(key);
        let path = match expected {
            Some(version) => format!("/object?key={key_part}&expected={version}"),
            None => format!("/object?key={key_part}"),
        };
        let value = Bytes::copy_from_slice(value);
        let response = self
            .send(Method::PUT, &path, value, self.transport.timeout())
            .await?;
        match response.status() {
            StatusCode::OK => {
                let version = self.version(response.headers())?;
                if expected.is_some_and(|expected| version <= expected) {
                    // The connection may hold the response to this call behind the copy.
                    self.transport.reset_connections();
                    let detail = format!("write {key:?}: the answer is one to an earlier call");
                    return Err(self.transport.fail(&detail, RunState::Unknown));
                }
                Ok(WriteOutcome::Written(version))
            }
            StatusCode::CONFLICT if response.headers().contains_key(VERSION_HEADER) => {
                let object = self.read_object(key, response).await?;
                Ok(WriteOutcome::Conflict(Some(object)))
            }
            StatusCode::CONFLICT => Ok(WriteOutcome::Conflict(None)),
            status => Err(self.refuse("write", key, status)),
        }
    }

    /// Reads all objects whose key starts with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Platform`] if the store does not respond or refuses the call.
    pub async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>> {
        let path = format!("/objects?prefix={}", PercentEncoded(prefix));
        let response = self
            .send(Method::GET, &path, Bytes::new(), self.transport.timeout())
            .await?;
        if response.status() != StatusCode::OK {
            return Err(self.refuse("list", prefix, response.status()));
        }
        let mut body = self.transport.read_body(response, LIST_LIMIT_BYTES).await?;
        let bad = |detail: &str| {
            self.transport
                .fail(&format!("list {prefix:?}: {detail}"), RunState::Unknown)
        };
        let end = body
            .iter()
            .position(|&byte| byte == b'\n')
            .ok_or_else(|| bad("no index line"))?;
        let index: Vec<IndexEntry> =
            serde_json::from_slice(&body[..end]).map_err(|error| bad(&error.to_string()))?;
        let mut values = body.split_off(end + 1);
        let mut objects = Vec::with_capacity(index.len());
        for item in index {
            if values.len() < item.length {
                return Err(bad("the values are shorter than the index says"));
            }
            objects.push(StoredObject {
                key: item.key,
                value: values.split_to(item.length),
                version: item.version,
            });
        }
        Ok(objects)
    }

    /// Waits until the version of an object exceeds `after`, and returns the object.
    ///
    /// Returns `None` if the object did not change within about 2 s; the caller then watches again.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Platform`] if the store does not respond or refuses the call.
    pub async fn watch(&self, key: &str, after: u64) -> Result<Option<StoredObject>> {
        let path = format!(
            "/watch?key={}&after={after}&wait_ms={}",
            PercentEncoded(key),
            WATCH_WAIT.as_millis()
        );
        let wait = WATCH_WAIT + self.transport.timeout();
        let response = self.send(Method::GET, &path, Bytes::new(), wait).await?;
        match response.status() {
            StatusCode::OK => self.read_object(key, response).await.map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(self.refuse("watch", key, status)),
        }
    }

    /// Returns the number of calls made through this client and its clones.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response<Incoming>> {
        let request = Request::builder()
            .method(method)
            .uri(self.transport.uri(path)?)
            .body(Full::new(body))
            .map_err(|error| self.transport.fail(&error.to_string(), RunState::NotRun))?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.transport.send(request, wait).await
    }

    async fn read_object(&self, key: &str, response: Response<Incoming>) -> Result<StoredObject> {
        let version = self.version(response.headers())?;
        let value = self
            .transport
            .read_body(response, VALUE_LIMIT_BYTES)
            .await?;
        Ok(StoredObject {
            key: key.to_owned(),
            value,
            version,
        })
    }

    fn version(&self, headers: &HeaderMap) -> Result<u64> {
        headers
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok())
            .ok_or_else(|| {
                self.transport
                    .fail("the answer states no version", RunState::Unknown)
            })
    }

    fn refuse(&self, what: &str, key: &str, status: StatusCode) -> Error {
        self.transport.fail(
            &format!("{what} {key:?}: status {status}"),
            RunState::Unknown,
        )
    }
}
