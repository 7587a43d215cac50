//! Events of a streamed answer.
//!
//! Only whole events go to the caller, and the event that ends a stream is held
//! back until the answer is known to be whole. A caller that sees `[DONE]` may
//! therefore trust what it has.

use bytes::{Bytes, BytesMut};

use crate::error::{Code, Failure};

/// The data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Cuts pieces of an answer into whole events.
#[derive(Debug)]
pub struct EventSplitter {
    rest: BytesMut,
    done: bool,
    limit: usize,
}

impl EventSplitter {
    /// Makes a splitter for events of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            rest: BytesMut::new(),
            done: false,
            limit,
        }
    }

    /// Takes a piece; returns the whole events so far, without the one that ends the stream.
    ///
    /// # Errors
    ///
    /// [`Code::AnswerCut`] when an event is too long to hold, as it can't be passed on whole.
    pub fn push(&mut self, piece: Bytes) -> Result<Option<Bytes>, Failure> {
        let whole = self.take(piece);
        if self.rest.len() > self.limit {
            return Err(Failure::new(
                Code::AnswerCut,
                "an event of the answer is too long",
            ));
        }
        Ok(whole
            .and_then(|events| self.hold_done(events))
            .filter(|events| !events.is_empty()))
    }

    /// Returns the end of a whole stream, once the answer has ended without an error.
    ///
    /// # Errors
    ///
    /// [`Code::AnswerCut`] when the answer ended without saying that it is whole.
    pub fn finish(&self) -> Result<Bytes, Failure> {
        // An engine that stops in an orderly way in the middle of an answer
        // closes the body properly; only the missing last event shows it.
        if self.done {
            return Ok(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        Err(Failure::new(
            Code::AnswerCut,
            "the answer ended before its last event",
        ))
    }

    fn take(&mut self, piece: Bytes) -> Option<Bytes> {
        // The usual piece is whole events with nothing left over: no copy.
        if self.rest.is_empty() && ends_event(&piece) {
            return Some(piece);
        }
        let scanned = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(&piece);
        let end = last_event_end(&self.rest, scanned)?;
        Some(self.rest.split_to(end).freeze())
    }

    fn hold_done(&mut self, events: Bytes) -> Option<Bytes> {
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

/// Returns where the last whole event ends, looking no further back than `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from + 1..=bytes.len())
        .rev()
        .find(|end| ends_event(&bytes[..*end]))
}

/// Returns where the event that ends the stream begins, with all its fields.
///
/// Engines differ in the spaces around the data, and a text may hold the same
/// letters; only a line that is this data and nothing else ends the stream.
fn find_done(events: &[u8]) -> Option<usize> {
    // The usual piece doesn't hold the letters at all.
    if !events.windows(DONE.len()).any(|window| window == DONE) {
        return None;
    }
    let mut event = 0;
    let mut read = 0;
    for line in events.split_inclusive(|byte| *byte == b'\n') {
        read += line.len();
        let line = line.trim_ascii_end();
        if line.is_empty() {
            event = read;
        }
        let data = line.strip_prefix(b"data:").map(<[u8]>::trim_ascii);
        if data == Some(DONE) {
            return Some(event);
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn push(splitter: &mut EventSplitter, piece: &'static str) -> Option<Bytes> {
        splitter.push(Bytes::from_static(piece.as_bytes())).unwrap()
    }

    #[test]
    fn push_whole_event_unchanged() {
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

    /// Symptom: a short answer that looks whole.
    /// Sequence: the engine stops in the middle and closes the body in order.
    /// Cause: the end of the body was taken for the end of the answer.
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
        let piece = Bytes::from_static(b"data: 123456789");
        assert_eq!(splitter.push(piece).unwrap_err().code, Code::AnswerCut);
    }
}
