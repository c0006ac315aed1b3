//! Length limits by kind of frame.
//!
//! A decoded list of empty messages takes up to a hundred times the memory of its encoded form, so
//! kinds that contain lists have lower limits than those that carry a body.

use prost::encoding::{DecodeContext, WireType, decode_key, decode_varint, skip_field};

use super::FrameCodec;
use crate::error::{Error, ErrorKind};

/// Maximum encoded length of a [`PeerRequest`](super::PeerRequest), in bytes.
pub(super) const MAX_REQUEST_LEN: usize = 256 * 1024;

/// Returns the maximum length of a field of [`PeerFrame`](super::PeerFrame), in bytes.
const fn max_len(field: u32) -> usize {
    const HELLO: u32 = 2;
    const HEARTBEAT: u32 = 3;
    const OPEN: u32 = 4;
    const CHUNK: u32 = 5;
    const CANCEL: u32 = 6;
    const REQUEST: u32 = 7;
    const REPLY: u32 = 8;
    match field {
        HELLO => FrameCodec::HELLO_LEN,
        HEARTBEAT => 256 * 1024,
        REQUEST => MAX_REQUEST_LEN,
        OPEN | CHUNK | REPLY => FrameCodec::MAX_LEN,
        CANCEL => 4 * 1024,
        _ => 64,
    }
}

/// Validates the encoded frame before it is decoded.
///
/// # Errors
///
/// Returns [`ErrorKind::Protocol`] if the bytes are not a message, if there is more than one body,
/// or if the body is too long for its kind.
pub(super) fn check(mut frame: &[u8]) -> Result<(), Error> {
    let protocol_error = |what: String| Error::new(ErrorKind::Protocol, what);
    let mut bodies = 0;
    while !frame.is_empty() {
        let (field, wire) = decode_key(&mut frame)
            .map_err(|error| protocol_error(format!("unreadable frame: {error}")))?;
        if field != 1 {
            bodies += 1;
        }
        if bodies > 1 {
            return Err(protocol_error("a frame has more than one body".to_owned()));
        }
        if wire == WireType::LengthDelimited {
            let len = decode_varint(&mut frame)
                .map_err(|error| protocol_error(format!("unreadable frame: {error}")))?;
            let len = usize::try_from(len).unwrap_or(usize::MAX);
            if len > max_len(field) {
                return Err(protocol_error(format!(
                    "field {field} of a frame has {len} bytes, the limit is {}",
                    max_len(field)
                )));
            }
            frame = frame
                .get(len..)
                .ok_or_else(|| protocol_error("a frame ends inside a field".to_owned()))?;
        } else {
            skip_field(wire, field, &mut frame, DecodeContext::default())
                .map_err(|error| protocol_error(format!("unreadable frame: {error}")))?;
        }
    }
    Ok(())
}
