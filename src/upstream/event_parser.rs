use bytes::{Buf, Bytes, BytesMut};

/// The maximum size of one line, so that a faulty upstream cannot exhaust the memory.
const LINE_LIMIT_BYTES: usize = 1 << 20;

/// Splits server-sent events into the payloads of their data lines.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that contain no line end.
    searched: usize,
}

impl EventParser {
    /// Appends bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the incomplete line in the buffer exceeds 1 MiB.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.searched > LINE_LIMIT_BYTES
    }

    /// Returns the payload of the next data line, or `None` if the buffer has no complete one.
    ///
    /// Comments and other fields are skipped.
    pub fn next_payload(&mut self) -> Option<Bytes> {
        loop {
            let rest = &self.buffer[self.searched..];
            let Some(offset) = rest.iter().position(|&byte| byte == b'\n') else {
                self.searched = self.buffer.len();
                return None;
            };
            let mut line = self.buffer.split_to(self.searched + offset + 1).freeze();
            self.searched = 0;
            line.truncate(line.len() - 1);
            if line.ends_with(b"\r") {
                line.truncate(line.len() - 1);
            }
            if line.starts_with(b"data:") {
                line.advance(b"data:".len());
                if line.starts_with(b" ") {
                    line.advance(1);
                }
                return Some(line);
            }
        }
    }
}
