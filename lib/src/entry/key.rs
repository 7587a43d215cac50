//! Callers' keys, and the identities given to their requests.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use rand::RngExt;
use sha2::{Digest, Sha256};

use crate::config::View;
use crate::declaration::Account;
use crate::error::{Code, Failure};
use crate::request::Id;

/// Longest key that is looked at, in bytes.
const MAX_KEY: usize = 512;

/// Finds the client account whose key a request carries.
///
/// Only the key's digest is looked up, so the time taken says nothing about how
/// much of a guessed key was right.
///
/// # Errors
///
/// [`Code::NotReady`] before the first configuration, [`Code::UnknownKey`] otherwise.
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

/// Returns the one bearer key of a request; with two, nobody can say whose it is.
fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    let key = key.trim_ascii();
    let fits = !key.is_empty() && key.len() <= MAX_KEY;
    (fits && scheme.eq_ignore_ascii_case(b"Bearer ")).then_some(key)
}

/// Makes a new request's identity: 122 random bits in the form of a UUID.
///
/// The bits come from the system's generator and never from the node's seed, so
/// that two nodes or two starts with the same settings don't repeat them.
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
    fn fresh_id_is_version_4() {
        let id = new_request_id();
        assert_eq!(id.0.len(), 36);
        assert_eq!(&id.0[14..15], "4");
        assert!(matches!(&id.0[19..20], "8" | "9" | "a" | "b"));
        assert_ne!(id, new_request_id());
    }
}
