//! Reads the caller's idempotency key, and identifies the request that it belongs to.

use http::{HeaderMap, HeaderName};

use crate::claim;
use crate::error::{Code, Failure};
use crate::request::Ticket;
use crate::runner::Work;

/// Header that carries the key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Returns the request's key, if it has one.
///
/// # Errors
///
/// [`Code::BadRequest`] if there are several keys, or the key is empty or too long.
pub fn key(headers: &HeaderMap) -> Result<Option<&[u8]>, Failure> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.as_bytes();
    if values.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail =
            format!("{IDEMPOTENCY_KEY} must be there once, with 1 to {MAX_KEY_BYTES} bytes");
        return Err(Failure::new(Code::BadRequest, detail));
    }
    Ok(Some(key))
}

/// Returns the digest that tells a retry from another request with the same key.
#[must_use]
pub fn digest(ticket: &Ticket, work: &Work) -> String {
    let template = ticket.template.as_bytes();
    match work {
        Work::Completion { path, body, .. } => {
            claim::digest(&[template, b"POST", path.as_bytes(), body])
        }
        Work::Call { head, body } => {
            let path = head.uri.to_string();
            let method = head.method.as_str().as_bytes();
            claim::digest(&[template, method, path.as_bytes(), body])
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn key_forms() {
        let headers = |values: &[&str]| -> HeaderMap {
            values
                .iter()
                .map(|value| (IDEMPOTENCY_KEY, value.parse().unwrap()))
                .collect()
        };
        assert_eq!(key(&headers(&[])), Ok(None));
        assert_eq!(key(&headers(&["k"])), Ok(Some(&b"k"[..])));
        assert!(key(&headers(&["k", "k"])).is_err());
        assert!(key(&headers(&[""])).is_err());
        assert!(key(&headers(&[&"k".repeat(256)])).is_err());
    }
}
