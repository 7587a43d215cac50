//! The events of a streamed answer, checked and renamed one by one.

use bytes::{Bytes, BytesMut};

use super::check::{Check, Error};

/// Largest event that is held while it comes in pieces.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// What an engine sends last.
const DONE: &[u8] = b"[DONE]";

/// Cuts a stream of bytes into events and passes on only those that pass the check.
///
/// Nothing of an event leaves before the event is complete and checked, so that
/// no part of a stranger's answer reaches the caller.
#[derive(Debug)]
pub(super) struct Events {
    check: Check,
    partial: BytesMut,
    done: bool,
}

impl Events {
    /// Starts an answer's stream.
    pub(super) fn new(check: Check) -> Self {
        Self {
            check,
            partial: BytesMut::new(),
            done: false,
        }
    }

    /// Whether the engine said that the answer is whole.
    pub(super) const fn done(&self) -> bool {
        self.done
    }

    /// Takes bytes as they came and returns what the caller may see of them; it may be empty.
    pub(super) fn take(&mut self, chunk: Bytes) -> Result<Bytes, Error> {
        let data = self.joined(chunk);
        let end = complete(&data);
        let rest = &data[end..];
        if rest.len() > MAX_EVENT_BYTES {
            return Err(Error::Unreadable);
        }
        self.partial.extend_from_slice(rest);
        self.renamed(&data.slice(..end))
    }

    fn joined(&mut self, chunk: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return chunk;
        }
        self.partial.extend_from_slice(&chunk);
        self.partial.split().freeze()
    }

    fn renamed(&mut self, events: &Bytes) -> Result<Bytes, Error> {
        let mut out = BytesMut::with_capacity(events.len());
        let mut copied = 0;
        let mut start = 0;
        while start < events.len() {
            let end = line_end(events, start);
            let line = &events[start..end];
            if let Some(payload) = payload(line) {
                let offset = start + (line.len() - payload.len());
                if let Some(model) = self.event(payload.trim_ascii_end())? {
                    out.extend_from_slice(&events[copied..offset + model.start]);
                    out.extend_from_slice(self.check.template());
                    copied = offset + model.end;
                }
            }
            start = end;
        }
        out.extend_from_slice(&events[copied..]);
        Ok(out.freeze())
    }

    fn event(&mut self, payload: &[u8]) -> Result<Option<std::ops::Range<usize>>, Error> {
        if payload == DONE {
            self.done = true;
            return Ok(None);
        }
        // Whatever follows the end belongs to no answer that this caller asked for.
        if self.done {
            return Err(Error::Request);
        }
        self.check.inspect(payload).map(Some)
    }
}

/// Returns the length of the complete events at the start of the data.
fn complete(data: &[u8]) -> usize {
    let mut end = data.len();
    while end > 0 {
        let Some(newline) = data[..end].iter().rposition(|byte| *byte == b'\n') else {
            return 0;
        };
        let before = data[..newline]
            .strip_suffix(b"\r")
            .unwrap_or(&data[..newline]);
        if before.is_empty() || before.ends_with(b"\n") {
            return newline + 1;
        }
        end = newline;
    }
    0
}

/// Returns where the line that begins at `start` ends, its newline included.
fn line_end(data: &[u8], start: usize) -> usize {
    data[start..]
        .iter()
        .position(|byte| *byte == b'\n')
        .map_or(data.len(), |newline| start + newline + 1)
}

/// Returns the payload of a line of data, or none for comments and other fields.
fn payload(line: &[u8]) -> Option<&[u8]> {
    line.strip_prefix(b"data:").map(<[u8]>::trim_ascii_start)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::adapter::Adapter;
    use crate::clock::Millis;
    use crate::request::{Class, Id, Ticket};

    fn events() -> Events {
        let adapter = Adapter {
            base_model: "base".into(),
            name: "plans".into(),
            version: "3".into(),
        };
        let ticket = Ticket {
            id: Id("one".into()),
            account: "cell".into(),
            template: "fault \"now\"".into(),
            pool: "engines".into(),
            adapter: Some(adapter.clone()),
            class: Class::Urgent,
            weight: 1,
            idempotent: true,
            deadline: Millis(1000),
            prompt_tokens: 1,
            max_output_tokens: 1,
            revision: 1,
        };
        Events::new(Check::new(&ticket, &adapter))
    }

    fn event(id: &str, model: &str) -> String {
        format!("data: {{\"id\":\"cmpl-{id}\",\"model\":\"{model}\",\"text\":\"x\"}}\n\n")
    }

    #[test]
    fn take_renames_every_event() {
        let mut events = events();
        let two = event("one", "plans@3").repeat(2);
        let seen = events.take(two.into()).unwrap();
        let renamed = event("one", "fault \\\"now\\\"").repeat(2);
        assert_eq!(seen, renamed.as_bytes());
        assert!(!events.done());
    }

    #[test]
    fn take_any_cut_gives_the_same_bytes() {
        let text = format!(
            ": hello\n\n{}\r\n{}data: [DONE]\n\n",
            event("one", "plans@3"),
            event("one", "plans@3").replace('\n', "\r\n"),
        );
        let whole = events().take(text.clone().into()).unwrap();
        for cut in 0..=text.len() {
            let mut events = events();
            let first = events.take(Bytes::copy_from_slice(&text.as_bytes()[..cut]));
            let second = events.take(Bytes::copy_from_slice(&text.as_bytes()[cut..]));
            assert_eq!([first.unwrap(), second.unwrap()].concat(), whole);
            assert!(events.done());
        }
    }

    /// Symptom: a caller reads another caller's text.
    /// Sequence: the first event is right, the second names another request.
    /// Cause: a connection that was reused after a cancelled call.
    #[test]
    fn take_another_request() {
        let mut events = events();
        events.take(event("one", "plans@3").into()).unwrap();
        assert_eq!(
            events.take(event("two", "plans@3").into()),
            Err(Error::Request)
        );
    }

    /// Symptom: an answer of the version before.
    /// Sequence: an engine resolves the adapter's name without its version.
    /// Cause: the engine's table and the owner's differ.
    #[test]
    fn take_another_version() {
        assert_eq!(
            events().take(event("one", "plans@2").into()),
            Err(Error::Adapter)
        );
    }

    #[test]
    fn take_unreadable() {
        let twice = "data: {\"id\":\"one\",\"model\":\"a\",\"model\":\"plans@3\"}\n\n";
        for text in ["data: {\"id\":\n\n", "data: \n\n", twice] {
            assert_eq!(events().take(text.into()), Err(Error::Unreadable));
        }
    }

    #[test]
    fn take_error_event() {
        let text = "data: {\"error\":{\"message\":\"x\"}}\n\n";
        assert_eq!(events().take(text.into()), Err(Error::Engine));
    }

    #[test]
    fn take_after_done() {
        let mut events = events();
        events.take("data: [DONE]\n\n".into()).unwrap();
        assert_eq!(
            events.take(event("one", "plans@3").into()),
            Err(Error::Request)
        );
    }
}
