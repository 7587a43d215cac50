//! Keys and tokens, which never leave a process in a log, an error or a metric.

use std::fmt;

use sha2::{Digest as _, Sha256};
use zeroize::Zeroizing;

/// A key or token in the clear, for as long as it is needed.
///
/// Its `Debug` output shows nothing and its memory is wiped when it is dropped,
/// so that neither a log line nor a core dump gives it away.
#[derive(Clone)]
pub struct Secret(Zeroizing<String>);

impl Secret {
    /// Takes a key or token over.
    #[must_use]
    pub fn new(text: String) -> Self {
        Self(Zeroizing::new(text))
    }

    /// Shows the key for the one call that sends it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the SHA-256 digest, which is all that is ever kept.
    #[must_use]
    pub fn digest(&self) -> [u8; 32] {
        digest(self.0.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Returns the SHA-256 digest of a key's bytes.
#[must_use]
pub fn digest(key: &[u8]) -> [u8; 32] {
    Sha256::digest(key).into()
}

/// Writes a digest in lower-case hexadecimal, as declarations and settings hold it.
#[must_use]
pub fn digest_to_hex(digest: &[u8; 32]) -> String {
    use fmt::Write as _;
    digest
        .iter()
        .fold(String::with_capacity(64), |mut text, byte| {
            // Writing to a string can't fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Reads a digest from 64 hexadecimal digits.
#[must_use]
pub fn digest_from_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, at) in digest.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&text[at..at + 2], 16).ok()?;
    }
    Some(digest)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Symptom: an operator's token stands in a log.
    /// Sequence: a type that holds it is logged with its `Debug` output.
    /// Cause: a derived `Debug` shows every field.
    #[test]
    fn secret_debug_shows_nothing() {
        let secret = Secret::new("tok-5bf1".to_owned());
        assert!(!format!("{secret:?} {:?}", Some(&secret)).contains("5bf1"));
    }

    #[test]
    fn digest_hex_round_trip() {
        let made = digest(b"abc");
        let text = digest_to_hex(&made);
        assert_eq!(
            text,
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
        );
        assert_eq!(digest_from_hex(&text), Some(made));
        assert_eq!(digest_from_hex(&text[1..]), None);
        assert_eq!(digest_from_hex(&text.replace('b', "g")), None);
    }
}
