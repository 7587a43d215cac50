//! The messages of a chat, as parts of its prompt that other requests may share.

use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use crate::poison::fingerprint::Fingerprint;

/// The field of a chat's body that holds its messages.
#[derive(Debug, Deserialize)]
struct Chat<'a> {
    #[serde(borrow, default)]
    messages: Vec<&'a RawValue>,
}

/// Returns the fingerprints of all messages but the last, which belongs to the request.
///
/// A body without messages has none, nor does one that can't be parsed: it is rejected elsewhere.
pub fn shared(body: &[u8]) -> Vec<Fingerprint> {
    let Ok(chat) = serde_json::from_slice::<Chat<'_>>(body) else {
        return Vec::new();
    };
    let shared = chat
        .messages
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    let ids = shared.iter().map(|message| id_of(message.get()));
    ids.map(Fingerprint::of_part).collect()
}

/// Returns an id for which nobody can find another message.
fn id_of(message: &str) -> u64 {
    let digest = Sha256::digest(message.as_bytes());
    let start = digest.iter().take(size_of::<u64>());
    start.fold(0, |id, byte| id << 8 | u64::from(*byte))
}
