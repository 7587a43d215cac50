//! Splits a streamed response into server-sent events.
//!
//! Only complete events go to the caller, and the final `[DONE]` event is held back until the
//! upstream has ended the response without an error. A caller that receives `[DONE]` therefore has
//! the complete response.

use bytes::{Bytes, BytesMut};

use crate::error::{Code, Failure};

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Assembles the chunks of a response into complete events.
#[derive(Debug)]
pub struct EventSplitter {
    /// The incomplete event at the end of the data so far.
    partial: BytesMut,
    /// Whether the `[DONE]` event has been seen.
    done: bool,
    max_event_bytes: usize,
}

impl EventSplitter {
    /// Creates a splitter for events of at most `max_event_bytes` bytes.
    #[must_use]
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            partial: BytesMut::new(),
            done: false,
            max_event_bytes,
        }
    }

    /// Adds a chunk and returns the events that are complete now, without the final `[DONE]` event.
    ///
    /// # Errors
    ///
    /// [`Code::AnswerCut`] when an event exceeds the size limit and so can't be buffered until it is
    /// complete.
    pub fn push(&mut self, chunk: Bytes) -> Result<Option<Bytes>, Failure> {
        let complete = self.take_complete(chunk);
        if self.partial.len() > self.max_event_bytes {
            return Err(Failure::new(
                Code::AnswerCut,
                "an event of the answer is too long",
            ));
        }
        Ok(complete
            .and_then(|events| self.hold_back_done(events))
            .filter(|events| !events.is_empty()))
    }

    /// Returns the final `[DONE]` event. Call it once the upstream's body has ended without an error.
    ///
    /// # Errors
    ///
    /// [`Code::AnswerCut`] when the body ended without a `[DONE]` event.
    pub fn finish(&self) -> Result<Bytes, Failure> {
        // An engine that shuts down gracefully in the middle of a response ends the body
        // regularly; only the missing `[DONE]` event shows that the response is truncated.
        if self.done {
            return Ok(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        Err(Failure::new(
            Code::AnswerCut,
            "the answer ended before its last event",
        ))
    }

    /// Adds a chunk and removes the complete events from the buffer.
    fn take_complete(&mut self, chunk: Bytes) -> Option<Bytes> {
        // A chunk usually consists of complete events only and is then returned without a copy.
        if self.partial.is_empty() && ends_event(&chunk) {
            return Some(chunk);
        }
        // The longest delimiter, `\n\r\n`, may begin up to three bytes back.
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(&chunk);
        let end = last_event_end(&self.partial, scanned)?;
        Some(self.partial.split_to(end).freeze())
    }

    /// Removes the `[DONE]` event and everything after it.
    fn hold_back_done(&mut self, events: Bytes) -> Option<Bytes> {
        if self.done {
            return None;
        }
        let Some(start) = find_done(&events) else {
            return Some(events);
        };
        self.done = true;
        Some(events.slice(..start))
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

/// Returns the end of the last complete event, searching back no further than `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from + 1..=bytes.len())
        .rev()
        .find(|end| ends_event(&bytes[..*end]))
}

/// Returns the start of the `[DONE]` event, including fields that precede its data line.
///
/// Engines differ in the whitespace around the data, and generated text may contain `[DONE]`; only
/// a `data:` line with nothing else in it ends the stream.
fn find_done(events: &[u8]) -> Option<usize> {
    // Most chunks don't contain `[DONE]` at all.
    if !events.windows(DONE.len()).any(|window| window == DONE) {
        return None;
    }
    let mut event_start = 0;
    let mut line_end = 0;
    for line in events.split_inclusive(|byte| *byte == b'\n') {
        line_end += line.len();
        let line = line.trim_ascii_end();
        if line.is_empty() {
            event_start = line_end;
        }
        let data = line.strip_prefix(b"data:").map(<[u8]>::trim_ascii);
        if data == Some(DONE) {
            return Some(event_start);
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn push(splitter: &mut EventSplitter, chunk: &'static str) -> Option<Bytes> {
        splitter.push(Bytes::from_static(chunk.as_bytes())).unwrap()
    }

    #[test]
    fn push_complete_event_unchanged() {
        let mut splitter = EventSplitter::new(100);
        assert_eq!(
            push(&mut splitter, "data: 1\n\n").as_deref(),
            Some(&b"data: 1\n\n"[..])
        );
    }

    #[test]
    fn push_split_event() {
        let mut splitter = EventSplitter::new(100);
        assert_eq!(push(&mut splitter, "data: 1\n"), None);
        assert_eq!(
            push(&mut splitter, "\ndata: 2").as_deref(),
            Some(&b"data: 1\n\n"[..])
        );
        assert_eq!(
            push(&mut splitter, "\r\n\r\n").as_deref(),
            Some(&b"data: 2\r\n\r\n"[..])
        );
    }

    #[test]
    fn push_done_held_back() {
        let mut splitter = EventSplitter::new(100);
        assert_eq!(
            push(&mut splitter, "data: 1\n\ndata: [DONE]\n\n").as_deref(),
            Some(&b"data: 1\n\n"[..])
        );
        assert!(splitter.finish().is_ok());
        assert_eq!(push(&mut splitter, "data: 2\n\n"), None);
    }

    /// Guards against a truncated response that looks complete: an engine that shuts down in the
    /// middle of a response ends the body regularly, so the end of the body doesn't prove that the
    /// response is complete.
    #[test]
    fn finish_without_done() {
        let mut splitter = EventSplitter::new(100);
        push(&mut splitter, "data: 1\n\n");
        assert_eq!(splitter.finish().unwrap_err().code, Code::AnswerCut);
    }

    #[test]
    fn push_text_that_looks_like_done() {
        let mut splitter = EventSplitter::new(100);
        push(&mut splitter, "data: {\"text\":\"data: [DONE]\"}\n\n");
        assert!(splitter.finish().is_err());
    }

    #[test]
    fn push_endless_event() {
        let mut splitter = EventSplitter::new(8);
        let chunk = Bytes::from_static(b"data: 123456789");
        assert_eq!(splitter.push(chunk).unwrap_err().code, Code::AnswerCut);
    }
}
