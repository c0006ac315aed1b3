use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body was not read to its end.
#[derive(Debug)]
pub(crate) enum BodyFault {
    /// The body is longer than the limit.
    TooLong,
    /// The connection failed, or the framing of the body is malformed.
    Broken(hyper::Error),
}

/// Largest part of a stated length that is allocated before bytes arrive. A length alone must not
/// take memory.
const MAX_RESERVED_BYTES: usize = 64 * 1024;

/// Reads a body of at most `limit` bytes into one buffer.
///
/// The frames of the body are not kept: each takes 32 bytes and holds the buffer in which it arrived,
/// so that a body in chunks of one byte would need about forty times its length.
///
/// # Errors
///
/// Returns a [`BodyFault`] as soon as the body exceeds the limit or breaks off.
pub(crate) async fn read_bounded(
    mut body: Incoming,
    limit: usize,
) -> std::result::Result<Bytes, BodyFault> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut bytes = BytesMut::with_capacity(stated.min(limit).min(MAX_RESERVED_BYTES));
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(BodyFault::Broken)?.into_data() else {
            continue;
        };
        if part.len() > limit - bytes.len() {
            return Err(BodyFault::TooLong);
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes.freeze())
}
