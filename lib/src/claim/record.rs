//! What a claim holds, and under which key.

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
/// The request's identity is the mark by which a node knows its own write again
/// when the answer to it was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request that the key was first used for.
    pub digest: String,
    /// Identity of that request.
    pub request: Name,
    /// The node that took the claim; for people only.
    pub node: Name,
    /// When it was taken, in milliseconds since 1970 by that node's clock; for people only.
    pub time_ms: u64,
}

impl ClaimRecord {
    /// Makes the record of a request that claims a key now.
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

    /// Reads a claim's value; a value that can't be read is nobody's own.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Returns the claim's value.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Returns the service's key of an account's idempotency key.
///
/// The caller's text goes in as a digest: it may be long, hold any byte, or be a secret.
#[must_use]
pub fn path(prefix: &str, account: &str, key: &[u8]) -> String {
    let prefix = prefix.trim_end_matches('/');
    let digest = URL_SAFE_NO_PAD.encode(Sha256::digest(key));
    format!("{prefix}/claims/{account}/{digest}")
}

/// Returns the digest by which a repeated request is known to be the same.
///
/// Each part's length goes in before it, so that no two requests share a digest
/// by moving bytes from one part to the next.
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
    fn digest_parts_kept_apart() {
        assert_ne!(digest(&[b"ab", b"c"]), digest(&[b"a", b"bc"]));
    }

    #[test]
    fn path_hides_key() {
        let path = path("/p/", "shop", b"secret");
        assert!(path.starts_with("/p/claims/shop/"));
        assert!(!path.contains("secret"));
    }
}
