use std::time::Duration;

use prost::Message;

use super::{ClaimState, StoredAnswer};
use crate::id::AttemptId;

/// Upper bound of the size of the tag and length of a nested message of less than 1 MiB.
const FIELD_OVERHEAD_BYTES: usize = 6;

/// Space reserved for an answer without its body when the key is claimed.
const RESERVED_ANSWER_BYTES: usize = 64;

/// One claim in the stored format.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimRecord {
    /// The digest of the key, 16 bytes in big-endian order.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// The digest of the request body; detects reuse of the key for another request.
    #[prost(fixed64, tag = "2")]
    pub body_digest: u64,
    /// The request id, 16 bytes in big-endian order.
    #[prost(bytes = "vec", tag = "3")]
    pub request: Vec<u8>,
    /// The number of the attempt within the request.
    #[prost(uint32, tag = "4")]
    pub attempt: u32,
    /// The instance that holds the claim.
    #[prost(string, tag = "5")]
    pub instance: String,
    /// The incarnation of that instance, which changes when its process restarts.
    #[prost(fixed64, tag = "6")]
    pub incarnation: u64,
    /// The state, as the number of a [`ClaimState`].
    #[prost(enumeration = "ClaimState", tag = "7")]
    pub state: i32,
    /// Time of the last change in milliseconds since the Unix epoch; the retention starts then.
    #[prost(uint64, tag = "8")]
    pub changed_ms: u64,
    /// Time until which a pending claim counts as in progress, in milliseconds since the Unix
    /// epoch.
    #[prost(uint64, tag = "9")]
    pub deadline_ms: u64,
    /// The answer of a finished claim.
    #[prost(message, optional, tag = "10")]
    pub answer: Option<StoredAnswer>,
}

impl ClaimRecord {
    /// Returns whether the record belongs to `attempt`.
    #[must_use]
    pub fn belongs_to(&self, attempt: AttemptId) -> bool {
        self.request == attempt.request().to_u128().to_be_bytes()
            && self.attempt == attempt.number()
    }

    /// Returns the digest of the key, or `None` if it does not have 16 bytes.
    #[must_use]
    pub fn digest(&self) -> Option<u128> {
        self.key.as_slice().try_into().ok().map(u128::from_be_bytes)
    }

    /// Returns whether the request id has 16 bytes and the state is known.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        self.request.len() == size_of::<u128>() && ClaimState::try_from(self.state).is_ok()
    }

    /// Returns an upper bound of the encoded size of the record in the object, in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        self.encoded_len() + FIELD_OVERHEAD_BYTES
    }

    /// Returns the maximum size of the record in the object, in bytes, after its request has
    /// finished and the body was dropped.
    #[must_use]
    pub fn reserved_size(&self) -> usize {
        let answer = self.answer.as_ref().map_or(0, Message::encoded_len);
        self.size_bound() - answer + RESERVED_ANSWER_BYTES
    }

    /// Removes the body, and also the content type if the answer still exceeds the reserved size.
    pub fn drop_body(&mut self) {
        if let Some(answer) = &mut self.answer {
            answer.body = None;
            if answer.encoded_len() + FIELD_OVERHEAD_BYTES > RESERVED_ANSWER_BYTES {
                answer.content_type.clear();
            }
        }
    }

    /// Returns the time of the last change since the Unix epoch.
    #[must_use]
    pub const fn changed_at(&self) -> Duration {
        Duration::from_millis(self.changed_ms)
    }
}
