use bytes::{Buf, BufMut, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

use super::{PeerFrame, frame_limit};
use crate::error::{Error, ErrorKind};

/// Length of the header, in bytes.
const HEADER_LEN: usize = 4;

/// Maximum number of bytes that the buffer grows ahead of received bytes; a length field alone must
/// not cause an allocation of megabytes.
const GROWTH_LEN: usize = 64 * 1024;

/// Splits a byte stream into [`PeerFrame`]s: a 4-byte length in big-endian order, then the message.
#[derive(Debug)]
pub struct FrameCodec {
    max_len: usize,
}

impl FrameCodec {
    /// Maximum frame length that any codec accepts, in bytes.
    pub const MAX_LEN: usize = 4 * 1024 * 1024;

    /// Maximum frame length until the peer has proved that it belongs to the fleet, in bytes.
    pub const HELLO_LEN: usize = 1024;

    /// Creates a codec that accepts frames of up to `max_len` bytes, capped at [`Self::MAX_LEN`].
    #[must_use]
    pub fn new(max_len: usize) -> Self {
        Self {
            max_len: max_len.min(Self::MAX_LEN),
        }
    }

    /// Changes the maximum frame length, capped at [`Self::MAX_LEN`].
    pub fn limit_to(&mut self, max_len: usize) {
        self.max_len = max_len.min(Self::MAX_LEN);
    }

    fn oversized(&self, len: usize) -> Error {
        Error::new(
            ErrorKind::Protocol,
            format!(
                "frame of {len} bytes exceeds the limit of {} bytes",
                self.max_len
            ),
        )
    }
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<PeerFrame>, Error> {
        let Some(header) = src.first_chunk::<HEADER_LEN>() else {
            return Ok(None);
        };
        let len = usize::try_from(u32::from_be_bytes(*header)).unwrap_or(usize::MAX);
        if len > self.max_len {
            return Err(self.oversized(len));
        }
        let missing = (HEADER_LEN + len).saturating_sub(src.len());
        if missing > 0 {
            src.reserve(missing.min(GROWTH_LEN));
            return Ok(None);
        }
        src.advance(HEADER_LEN);
        let body = src.split_to(len).freeze();
        frame_limit::check(&body)?;
        PeerFrame::decode(body)
            .map(Some)
            .map_err(|error| Error::new(ErrorKind::Protocol, format!("unreadable frame: {error}")))
    }

    fn decode_eof(&mut self, buf: &mut BytesMut) -> Result<Option<PeerFrame>, Error> {
        match self.decode(buf)? {
            Some(frame) => Ok(Some(frame)),
            None if buf.is_empty() => Ok(None),
            None => Err(Error::new(
                ErrorKind::Peer,
                format!(
                    "connection ended inside a frame, {} bytes of it received",
                    buf.len()
                ),
            )),
        }
    }
}

impl Encoder<PeerFrame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, item: PeerFrame, dst: &mut BytesMut) -> Result<(), Error> {
        let len = item.encoded_len();
        if len > self.max_len {
            return Err(self.oversized(len));
        }
        dst.reserve(HEADER_LEN + len);
        dst.put_u32(u32::try_from(len).unwrap_or(u32::MAX));
        item.encode(dst)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("frame not encoded: {error}")))
    }
}

/// Frees the memory of an empty buffer that grew for a large frame, since most links are idle.
pub(super) fn shrink_empty(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > GROWTH_LEN {
        *buffer = BytesMut::new();
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::new(ErrorKind::Peer, format!("connection failed: {error}"))
    }
}
