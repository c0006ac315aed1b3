//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair.map(str::to_owned)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Reads one request with a length or in chunks; `None` at the end of the connection.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let end = read_head(stream, buffer).await?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers = to_headers(lines);
    let mut request = Request {
        method,
        target,
        headers,
        body: Vec::new(),
    };
    request.body = read_body(stream, buffer, &request.headers).await?;
    Some(request)
}

pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            return Some(at + 4);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

pub fn to_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

pub async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
) -> Option<Vec<u8>> {
    let find = |name: &str| {
        let found = headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.to_ascii_lowercase())
    };
    if find("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            };
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            while buffer.len() < end + 2 + size + 2 {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
            body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
            buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return Some(body);
            }
        }
    }
    let length: usize = find("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    Some(buffer.drain(..length).collect())
}

pub async fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &str,
) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await
}

/// An answer as a client receives it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body arrived whole.
    pub is_whole: bool,
}

impl Answer {
    pub fn is_whole_success(&self) -> bool {
        self.status == 200 && self.is_whole
    }

    /// Returns the time after which the client may come back.
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds: f64 = self.header("retry-after")?.parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a connection of its own and reads the answer; the status is zero if none came.
pub async fn exchange(address: std::net::SocketAddr, request: &[u8], limit: Duration) -> Answer {
    timeout(limit, exchange_now(address, request))
        .await
        .unwrap_or_default()
}

async fn exchange_now(address: std::net::SocketAddr, request: &[u8]) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return Answer::default();
    };
    if stream.write_all(request).await.is_err() {
        // The other side may have answered already.
    }
    let mut buffer = Vec::new();
    let Some(end) = read_head(&mut stream, &mut buffer).await else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok())
        .unwrap_or(0);
    let headers = to_headers(lines);
    let body = read_body(&mut stream, &mut buffer, &headers).await;
    Answer {
        status,
        headers,
        is_whole: body.is_some(),
        body: String::from_utf8_lossy(&body.unwrap_or_default()).into_owned(),
    }
}
