use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// The secret that the instances of one fleet share.
///
/// It never leaves the process; peers exchange keyed digests of random nonces instead.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl SharedSecret {
    /// Creates a secret from its bytes, which may have any length.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// Returns the keyed digest of `parts`, each of them preceded by its length.
    pub(super) fn digest(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Verifies a digest in constant time.
    pub(super) fn is_proof(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"));
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for SharedSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedSecret(redacted)")
    }
}
