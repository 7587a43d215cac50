//! Splits the body of a server-sent event stream into events.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event in bytes; a longer one ends the stream with an error.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as the upstream sent them.
    pub bytes: Bytes,
    /// The number in the event's `id` field, if it has one.
    pub id: Option<u64>,
}

/// Splits a byte stream into complete events.
///
/// An upstream can fail in the middle of an event, and a caller that received half an event
/// couldn't tell it from a complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Offset up to which the buffer was searched for the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered bytes exceed the maximum length of an event.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Returns the offset just past the first blank line.
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
        // Search this line again: the next bytes may add the blank line after it.
        self.scanned = at;
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
