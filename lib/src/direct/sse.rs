//! Whole events of a stream.

use bytes::{Bytes, BytesMut};

/// The longest event that is taken in, in bytes; a longer one breaks the stream off.
const LONGEST_EVENT: usize = 256 * 1024;

/// One event with its blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as the upstream sent them.
    pub bytes: Bytes,
    /// The event's number, if it has one.
    pub id: Option<u64>,
}

/// Splits a stream into whole events.
///
/// An upstream that breaks off can stop in the middle of an event; whoever gets
/// half an event can't tell it from a whole one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether part of an event is left.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether what is left is too long for an event.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > LONGEST_EVENT
    }

    /// Drops what is left.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Returns where the first event ends: behind a blank line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let mut at = self.scanned;
        while let Some(offset) = bytes[at..].iter().position(|&byte| byte == b'\n') {
            let next = at + offset + 1;
            match bytes.get(next) {
                Some(b'\n') => return Some(next + 1),
                Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
                Some(b'\r') if next + 1 == bytes.len() => break,
                Some(_) => at = next,
                None => break,
            }
        }
        // The next bytes may make the line that ends here the last of an event.
        self.scanned = at;
        None
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
