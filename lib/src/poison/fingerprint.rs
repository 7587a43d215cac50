//! Fingerprints that identify a request across its attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::claim;
use crate::name::Name;

/// Length of a fingerprint in base64 characters.
///
/// That is 132 bits, so that nobody can craft a request that collides with another caller's and
/// gets it quarantined.
const LENGTH: usize = 22;

/// Digest that is the same for all attempts of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(Name);

/// The parts of a request that stay the same when its caller repeats it.
///
/// The request ID, the deadline and the event after which a stream resumes differ between attempts
/// and are not part of it.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// The caller's API key; empty where callers send none.
    pub caller: &'a str,
    /// Base model and adapter, which identify a client account; empty for plain services.
    pub model: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the request was addressed to.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut digest = claim::digest(&[
            identity.caller.as_bytes(),
            identity.model.as_bytes(),
            identity.method.as_bytes(),
            identity.host.as_bytes(),
            identity.path.as_bytes(),
            identity.body,
        ]);
        digest.truncate(LENGTH);
        Self(digest.into())
    }

    /// Parses a fingerprint from its [`Display`](fmt::Display) form.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        (text.len() == LENGTH).then(|| Self(text.into()))
    }

    /// Returns the fingerprint as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
