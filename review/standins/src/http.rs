//! Blocking HTTP/1.1: requests that arrive, and calls with their answers.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request that arrived.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns a header, given its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(known, _)| known == name)
        .map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_exactly(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(digits, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        if size == 0 {
            while !read_line(reader)?
                .ok_or(io::ErrorKind::UnexpectedEof)?
                .is_empty()
            {}
            return Ok(());
        }
        body.extend(read_exactly(reader, size)?);
        read_exactly(reader, 2)?;
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<HttpRequest>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find_header(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, &mut body)?;
    } else if let Some(length) = find_header(&headers, "content-length") {
        body = read_exactly(reader, length.parse().unwrap_or(0))?;
    }
    Ok(Some(HttpRequest {
        method,
        target,
        headers,
        body,
    }))
}

/// An answer as its caller receives it.
#[derive(Debug, Clone, Default)]
pub struct HttpAnswer {
    /// The status, or zero if the connection ended without one.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub is_whole: bool,
    /// What went wrong, empty if nothing did.
    pub fault: String,
    pub took: Duration,
}

impl HttpAnswer {
    /// Returns a header, given its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns whether the caller may use the connection again.
    pub fn keeps_connection(&self) -> bool {
        let closes = |value: &str| value.eq_ignore_ascii_case("close");
        self.is_whole && !self.header("connection").is_some_and(closes)
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct HttpConnection {
    reader: BufReader<TcpStream>,
}

impl HttpConnection {
    /// Connects within a second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends the bytes of a request and reads its answer within `limit`.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> HttpAnswer {
        let started = Instant::now();
        let mut answer = HttpAnswer::default();
        let read = self.exchange(request, limit, &mut answer);
        if let Err(error) = read {
            answer.fault = format!("{:?}", error.kind());
        }
        answer.took = started.elapsed();
        answer
    }

    fn exchange(
        &mut self,
        request: &[u8],
        limit: Duration,
        answer: &mut HttpAnswer,
    ) -> io::Result<()> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        stream.write_all(request)?;
        let reader = &mut self.reader;
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).unwrap_or_default();
        answer.status = status.parse().unwrap_or(0);
        answer.headers = read_headers(reader)?;
        if matches!(answer.status, 204 | 304) {
            answer.is_whole = true;
            return Ok(());
        }
        if answer.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            let read = read_chunks(reader, &mut body);
            answer.body = body;
            read?;
        } else if let Some(length) = answer.header("content-length") {
            answer.body = read_exactly(reader, length.parse().unwrap_or(0))?;
        } else {
            reader.read_to_end(&mut answer.body)?;
        }
        answer.is_whole = true;
        Ok(())
    }
}
