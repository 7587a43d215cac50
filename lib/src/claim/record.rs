//! The value of a claim and the key that it is stored under.

use std::time::{SystemTime, UNIX_EPOCH};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::name::Name;
use crate::request::Id;

/// The value of a claim.
///
/// A node whose write got no response recognises the write as its own by the
/// request's ID.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the first request that used the key.
    pub digest: String,
    /// ID of that request.
    pub request: Name,
    /// The node that acquired the claim; informational.
    pub node: Name,
    /// When it was acquired, in Unix milliseconds by that node's clock; informational.
    pub time_ms: u64,
}

impl ClaimRecord {
    /// Creates the record of a request that claims a key now.
    #[must_use]
    pub fn new(digest: String, request: &Id, node: &Name) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            digest,
            request: Name::clone(&request.0),
            node: Name::clone(node),
            time_ms: now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// Decodes a claim's value; returns `None` if it is malformed.
    ///
    /// No request treats a claim with a malformed value as its own.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Encodes the claim's value.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Returns the store key of the claim on an account's idempotency key.
///
/// It holds a digest of the caller's text, which may be long, contain any byte or be a secret.
#[must_use]
pub fn store_key(prefix: &str, account: &str, key: &[u8]) -> String {
    let prefix = prefix.trim_end_matches('/');
    let digest = URL_SAFE_NO_PAD.encode(Sha256::digest(key));
    format!("{prefix}/claims/{account}/{digest}")
}

/// Returns the digest that identifies a repeated request.
///
/// Each part is prefixed with its length, so that moving bytes from one part to
/// the next changes the digest.
#[must_use]
pub fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    URL_SAFE_NO_PAD.encode(hasher.finalize())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_round_trip() {
        let record = ClaimRecord::new(digest(&[b"a"]), &Id("r1".into()), &"n1".into());
        assert_eq!(ClaimRecord::decode(&record.encode()), Some(record));
        assert_eq!(ClaimRecord::decode(b"?"), None);
    }

    #[test]
    fn digest_depends_on_part_boundaries() {
        assert_ne!(digest(&[b"ab", b"c"]), digest(&[b"a", b"bc"]));
    }

    #[test]
    fn store_key_hides_idempotency_key() {
        let stored = store_key("/p/", "shop", b"secret");
        assert!(stored.starts_with("/p/claims/shop/"));
        assert!(!stored.contains("secret"));
    }
}
