//! Authenticates callers by their API keys and generates request ids.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use rand::RngExt;
use sha2::{Digest, Sha256};

use crate::config::View;
use crate::declaration::Account;
use crate::error::{Code, Failure};
use crate::request::Id;

/// Length limit of an API key, in bytes; longer ones are rejected without a lookup.
const MAX_KEY_BYTES: usize = 512;

/// Finds the client account to which a request's API key belongs.
///
/// The lookup uses the key's digest, so its timing doesn't reveal how much of a guessed key is
/// correct.
///
/// # Errors
///
/// [`Code::NotReady`] before the node has its first configuration, [`Code::UnknownKey`] otherwise.
pub fn authenticate(view: &View, headers: &HeaderMap) -> Result<Arc<Account>, Failure> {
    if view.revision() == 0 {
        return Err(Failure::new(
            Code::NotReady,
            "this node has no configuration yet",
        ));
    }
    let key = bearer(headers).ok_or_else(|| {
        Failure::new(
            Code::UnknownKey,
            "the request carries no key; send Authorization: Bearer KEY",
        )
    })?;
    let digest: [u8; 32] = Sha256::digest(key).into();
    view.account_by_key_digest(&digest)
        .map(Arc::clone)
        .ok_or_else(|| Failure::new(Code::UnknownKey, "the key belongs to no client account"))
}

/// Returns a request's bearer key; none if it has several, since they may belong to different
/// accounts.
fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    let key = key.trim_ascii();
    let has_valid_length = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    (has_valid_length && scheme.eq_ignore_ascii_case(b"Bearer ")).then_some(key)
}

/// Generates a request id: a random (version 4) UUID.
///
/// Its 122 random bits come from a generator that the operating system seeds and never from the
/// node's seed, so that two nodes, or two starts of one node, with the same settings don't generate
/// the same ids.
#[must_use]
pub fn new_request_id() -> Id {
    let bits: u128 = rand::rng().random();
    let version = (bits & !(0xf << 76)) | (0x4 << 76);
    let variant = (version & !(0x3 << 62)) | (0x2 << 62);
    let hex = format!("{variant:032x}");
    let id = format!(
        "{}-{}-{}-{}-{}",
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..]
    );
    Id(id.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn headers(values: &[&str]) -> HeaderMap {
        values
            .iter()
            .map(|value| (AUTHORIZATION, value.parse().unwrap()))
            .collect()
    }

    #[test]
    fn bearer_forms() {
        assert_eq!(bearer(&headers(&["Bearer k1"])), Some(&b"k1"[..]));
        assert_eq!(bearer(&headers(&["bearer  k1"])), Some(&b"k1"[..]));
        assert_eq!(bearer(&headers(&["Basic k1"])), None);
        assert_eq!(bearer(&headers(&["Bearer "])), None);
        assert_eq!(bearer(&headers(&["Bearer a", "Bearer b"])), None);
        assert_eq!(bearer(&headers(&[])), None);
    }

    #[test]
    fn new_request_id_is_version_4() {
        let id = new_request_id();
        assert_eq!(id.0.len(), 36);
        assert_eq!(&id.0[14..15], "4");
        assert!(matches!(&id.0[19..20], "8" | "9" | "a" | "b"));
        assert_ne!(id, new_request_id());
    }
}
