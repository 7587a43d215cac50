//! Fingerprints that identify a request across its attempts, and a prompt part across requests.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::claim;
use crate::name::Name;

/// Length of a fingerprint in base64 characters.
///
/// That is 132 bits, so that nobody can craft a request that collides with another caller's and
/// gets it quarantined.
const LENGTH: usize = 22;

/// Prefix of the fingerprints of prompt parts; the part's id follows it.
const PART_PREFIX: &str = "part-";

/// Length of a part's id in hexadecimal digits.
const PART_ID_LENGTH: usize = 16;

/// Digest that is the same for all attempts of a request, or the id of a prompt part.
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

    /// Returns the fingerprint of a prompt part, which is the same in every request that has it.
    #[must_use]
    pub fn of_part(id: u64) -> Self {
        Self(format!("{PART_PREFIX}{id:0PART_ID_LENGTH$x}").into())
    }

    /// Whether this is the fingerprint of a prompt part.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.part_id().is_some()
    }

    /// Returns the id of the prompt part in hexadecimal, if this is the fingerprint of one.
    #[must_use]
    pub fn part_id(&self) -> Option<&str> {
        let id = self.0.strip_prefix(PART_PREFIX)?;
        (id.len() == PART_ID_LENGTH).then_some(id)
    }

    /// Parses a fingerprint from its [`Display`](fmt::Display) form.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let parsed = Self(text.into());
        (text.len() == LENGTH || parsed.is_part()).then_some(parsed)
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
