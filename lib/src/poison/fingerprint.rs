//! What makes two attempts the same request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::claim;
use crate::name::Name;

/// Characters of a digest that are kept: 132 bits, so that nobody can make another caller's
/// request look like a poison one.
const LENGTH: usize = 22;

/// Identifies a request over all its attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(Name);

/// What a request is made of that its caller repeats.
///
/// An attempt's own identity, its deadline and the event after which a stream resumes differ
/// from one attempt to the next, and are left out.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// The caller's key; empty where callers send none.
    pub caller: &'a str,
    /// Base model and adapter, which stand for a client account; empty for plain services.
    pub model: &'a str,
    /// The method.
    pub method: &'a str,
    /// The host that it was sent to.
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

    /// Reads a fingerprint from the text that it is displayed as.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        (text.len() == LENGTH).then(|| Self(text.into()))
    }

    /// Returns it as text.
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
