use bytes::{Bytes, BytesMut};

/// Cuts a stream of events at event ends and remembers the last id.
///
/// A stream that breaks off within an event can then go on at another upstream without a torn or
/// repeated event.
#[derive(Debug, Default)]
pub struct StreamSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl StreamSplitter {
    /// The longest event that is held back; a longer one passes in pieces.
    pub const MAX_EVENT: usize = 256 * 1024;

    /// Creates a splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes and returns all complete events; empty if none is complete.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() {
            let Some(end) = last_event_end(&bytes) else {
                self.partial.extend_from_slice(&bytes);
                return self.overflow();
            };
            let mut bytes = bytes;
            let complete = bytes.split_to(end);
            self.partial.extend_from_slice(&bytes);
            self.record_last_id(&complete);
            return complete;
        }
        self.partial.extend_from_slice(&bytes);
        match last_event_end(&self.partial) {
            None => self.overflow(),
            Some(end) => {
                let complete = self.partial.split_to(end).freeze();
                self.record_last_id(&complete);
                complete
            }
        }
    }

    /// Returns what follows the last event end; the whole stream has ended.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Forgets an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn overflow(&mut self) -> Bytes {
        if self.partial.len() > Self::MAX_EVENT {
            return self.partial.split().freeze();
        }
        Bytes::new()
    }

    fn record_last_id(&mut self, complete: &[u8]) {
        for line in complete.rsplit(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id).trim().to_owned();
                self.last_id = Some(id);
                return;
            }
        }
    }
}

/// Returns the index after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = bytes.len();
    while end >= 2 {
        if bytes[end - 1] == b'\n'
            && (bytes[end - 2] == b'\n' || bytes[..end - 1].ends_with(b"\n\r"))
        {
            return Some(end);
        }
        end -= 1;
    }
    None
}
