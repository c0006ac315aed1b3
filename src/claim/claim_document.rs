use std::collections::BTreeMap;
use std::time::Duration;

use prost::Message;

use super::ClaimRecord;
use crate::error::{Error, ErrorKind, Result};

/// Version of the stored format that this program reads and writes.
///
/// It must be incremented with every change of the record format: an older program would drop the
/// fields that it does not know when it writes the object back.
const FORMAT_VERSION: u32 = 1;

/// Maximum encoded size of the fields `format` and `count` with their tags.
const HEADER_BYTES: usize = 17;

/// The claims of one shard, by the digest of their key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimDocument {
    records: BTreeMap<u128, ClaimRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct ClaimFile {
    #[prost(uint32, tag = "1")]
    format: u32,
    /// Number of records; detects an object that was truncated at a record boundary.
    #[prost(uint64, tag = "2")]
    count: u64,
    #[prost(message, repeated, tag = "3")]
    records: Vec<ClaimRecord>,
}

impl ClaimDocument {
    /// Decodes a stored object.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Platform`] for another format version and for any content that this
    /// version would not write back unchanged, so that claims are never lost by overwriting an
    /// object that cannot be interpreted.
    pub fn decode(value: &[u8]) -> Result<Self> {
        let file = ClaimFile::decode(value)
            .map_err(|error| unreadable(&format!("it cannot be decoded ({error})")))?;
        if file.format != FORMAT_VERSION {
            return Err(unreadable(&format!(
                "it has format {} and this version reads format {FORMAT_VERSION}",
                file.format
            )));
        }
        if file.count != file.records.len() as u64 || file.encoded_len() != value.len() {
            return Err(unreadable(
                "its records are incomplete or have extra content",
            ));
        }
        let mut records = BTreeMap::new();
        for record in file.records {
            let digest = record
                .digest()
                .filter(|_| record.is_well_formed())
                .ok_or_else(|| unreadable("a record is malformed"))?;
            if records.insert(digest, record).is_some() {
                return Err(unreadable("two records have the same key"));
            }
        }
        Ok(Self { records })
    }

    /// Encodes the claims as the value of an object.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        ClaimFile {
            format: FORMAT_VERSION,
            count: self.records.len() as u64,
            records: self.records.values().cloned().collect(),
        }
        .encode_to_vec()
    }

    /// Iterates over the claims in the order of their key digests.
    pub fn records(&self) -> impl Iterator<Item = (&u128, &ClaimRecord)> {
        self.records.iter()
    }

    /// Returns the claim of a key, or `None` if there is none.
    #[must_use]
    pub fn record(&self, digest: u128) -> Option<&ClaimRecord> {
        self.records.get(&digest)
    }

    /// Returns a mutable reference to the claim of a key, or `None` if there is none.
    pub fn record_mut(&mut self, digest: u128) -> Option<&mut ClaimRecord> {
        self.records.get_mut(&digest)
    }

    /// Adds or replaces the claim of a key.
    pub fn insert(&mut self, digest: u128, record: ClaimRecord) {
        self.records.insert(digest, record);
    }

    /// Removes the claim of a key and returns it.
    pub fn remove(&mut self, digest: u128) -> Option<ClaimRecord> {
        self.records.remove(&digest)
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        HEADER_BYTES
            + self
                .records
                .values()
                .map(ClaimRecord::size_bound)
                .sum::<usize>()
    }

    /// Returns the maximum size of the object in bytes after all bodies were dropped and all
    /// pending claims have finished.
    #[must_use]
    pub fn reserved_size(&self) -> usize {
        HEADER_BYTES
            + self
                .records
                .values()
                .map(ClaimRecord::reserved_size)
                .sum::<usize>()
    }

    /// Removes claims whose last change is older than `retention`.
    pub fn drop_expired(&mut self, now: Duration, retention: Duration) {
        self.records
            .retain(|_, record| record.changed_at() + retention > now);
    }

    /// Removes stored bodies, the oldest first, until the size bound is at most `limit`.
    ///
    /// A claim without its body still prevents a second run; a resend then receives the answer
    /// without a body.
    pub fn drop_bodies_to_fit(&mut self, limit: usize) {
        let mut size = self.size_bound();
        if size <= limit {
            return;
        }
        let mut answers = self
            .records
            .iter()
            .filter(|(_, record)| record.answer.is_some())
            .map(|(digest, record)| (record.changed_ms, *digest))
            .collect::<Vec<_>>();
        answers.sort_unstable();
        for (_, digest) in answers {
            if size <= limit {
                break;
            }
            if let Some(record) = self.records.get_mut(&digest) {
                size -= record.size_bound();
                record.drop_body();
                size += record.size_bound();
            }
        }
    }

    /// Returns the time until the oldest claim expires, or `None` if there are no claims.
    #[must_use]
    pub fn next_expiry(&self, now: Duration, retention: Duration) -> Option<Duration> {
        self.records
            .values()
            .map(|record| (record.changed_at() + retention).saturating_sub(now))
            .min()
    }
}

fn unreadable(reason: &str) -> Error {
    Error::new(
        ErrorKind::Platform,
        format!(
            "claims object refused because {reason}; it is left as it is, repair or remove it by hand"
        ),
    )
}
