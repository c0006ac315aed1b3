use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events at event boundaries and records the id of the last event.
///
/// A stream that breaks in the middle of an event can then be resumed at another upstream without a
/// partial or repeated event.
#[derive(Debug, Default)]
pub struct StreamSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    has_split_event: bool,
    /// Whether the start of the present event was passed on before its end arrived.
    has_open_event: bool,
}

/// Largest usual capacity of the buffer: an event of the maximum length and one read more.
const MAX_BUFFER: usize = StreamSplitter::MAX_EVENT + 64 * 1024;

impl StreamSplitter {
    /// Maximum number of bytes of an incomplete event that are buffered; a longer event is passed
    /// on in pieces.
    pub const MAX_EVENT: usize = 256 * 1024;

    /// Creates a splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes of the stream and returns all events that are now complete.
    ///
    /// The result is empty if there are none, unless the buffered event is longer than
    /// [`MAX_EVENT`](Self::MAX_EVENT); then it contains the buffered bytes.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() {
            let Some(end) = last_event_end(&bytes) else {
                self.hold_back(&bytes);
                return self.overflow();
            };
            let mut bytes = bytes;
            let complete = bytes.split_to(end);
            self.hold_back(&bytes);
            self.record_complete(&complete);
            return complete;
        }
        // The buffer contains no end of an event, but may end with the start of one.
        let searched = self.partial.len().saturating_sub(3);
        self.hold_back(&bytes);
        match last_event_end(&self.partial[searched..]) {
            None => self.overflow(),
            Some(end) => {
                let end = searched + end;
                let complete = self.partial.split_to(end).freeze();
                self.record_complete(&complete);
                complete
            }
        }
    }

    /// Returns the bytes after the last complete event. Call it at the end of the stream.
    pub fn finish(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the buffered bytes of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether the bytes so far end within an event. Empty lines and comments between events
    /// belong to none.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        let is_event_line = |line: &[u8]| !line.is_empty() && line[0] != b':';
        let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        self.has_open_event || self.partial[..].split(is_line_end).any(is_event_line)
    }

    /// Returns the number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns the number of bytes that are allocated for an incomplete event.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an event was passed on in pieces. The stream can then not be resumed: it may
    /// have ended within the event, and the id of that event is not recorded.
    #[must_use]
    pub const fn has_split_event(&self) -> bool {
        self.has_split_event
    }

    /// Appends bytes to the buffer, whose last growth is to its maximum, as doubling would exceed it.
    fn hold_back(&mut self, bytes: &[u8]) {
        let needed = self.partial.len() + bytes.len();
        if needed > self.partial.capacity() && needed > Self::MAX_EVENT / 2 {
            let mut grown = BytesMut::with_capacity(needed.max(MAX_BUFFER));
            grown.extend_from_slice(&self.partial);
            self.partial = grown;
        }
        self.partial.extend_from_slice(bytes);
    }

    fn overflow(&mut self) -> Bytes {
        if self.partial.len() <= Self::MAX_EVENT {
            return Bytes::new();
        }
        self.release_event()
    }

    /// Takes the buffered bytes of an incomplete event, which is passed on in pieces from now on, and frees
    /// the buffer.
    pub fn release_event(&mut self) -> Bytes {
        self.has_split_event = true;
        self.has_open_event = true;
        // A line end stays buffered, because an empty line after it ends the event.
        let is_line_end = |byte: &&u8| matches!(byte, b'\n' | b'\r');
        let line_ends = self.partial.iter().rev().take(3).take_while(is_line_end);
        let passed = self.partial.len() - line_ends.count();
        let piece = Bytes::copy_from_slice(&self.partial[..passed]);
        self.partial = BytesMut::from(&self.partial[passed..]);
        piece
    }

    fn record_complete(&mut self, complete: &[u8]) {
        self.has_open_event = false;
        for line in complete.rsplit(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id).trim().to_owned();
                self.last_id = Some(id);
                return;
            }
        }
    }
}

/// Returns the index after the last blank line, which ends an event.
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
