//! What a request can be blamed for a crash by.
//!
//! Evidence that is kept for one identity doesn't help against another request that crashes engines
//! for the same reason. Every trait that different requests can have in common is a subject of its
//! own; the verdict finds those that explain the crashes.

use smallvec::SmallVec;

use super::fingerprint::Fingerprint;

/// Prompt parts of one request that are considered.
///
/// Requests have a few; the limit bounds what a caller can make all nodes store.
const MAX_PARTS: usize = 16;

/// The subjects of one request: the request itself and the prompt parts that others may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subjects {
    /// Identifies the request across its attempts.
    pub request: Fingerprint,
    /// The shared parts of its prompt, each once.
    pub parts: SmallVec<[Fingerprint; 4]>,
}

impl Subjects {
    /// Returns the subjects of a request with these shared prompt parts.
    #[must_use]
    pub fn new(request: Fingerprint, parts: impl IntoIterator<Item = Fingerprint>) -> Self {
        let mut distinct: SmallVec<[Fingerprint; 4]> = SmallVec::new();
        for part in parts {
            if distinct.len() < MAX_PARTS && !distinct.contains(&part) {
                distinct.push(part);
            }
        }
        Self {
            request,
            parts: distinct,
        }
    }

    /// Iterates over the request's fingerprint and its parts.
    pub fn iter(&self) -> impl Iterator<Item = &Fingerprint> {
        std::iter::once(&self.request).chain(&self.parts)
    }

    /// Returns the ids of the parts in hexadecimal, for logs.
    #[must_use]
    pub fn part_ids(&self) -> String {
        let ids: Vec<&str> = self.parts.iter().filter_map(Fingerprint::part_id).collect();
        ids.join(",")
    }

    /// Whether a subject is one of this request's.
    #[must_use]
    pub fn contains(&self, subject: &Fingerprint) -> bool {
        self.iter().any(|own| own == subject)
    }
}

impl From<Fingerprint> for Subjects {
    fn from(request: Fingerprint) -> Self {
        Self::new(request, [])
    }
}
