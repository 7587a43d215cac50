//! Checks the events of a streamed response and rewrites their model names.

use bytes::{Bytes, BytesMut};

use super::response_check::{CheckError, ResponseCheck};

/// Largest incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Payload of an engine's last event.
const DONE: &[u8] = b"[DONE]";

/// Splits a stream of bytes into events and forwards only those that pass the check.
///
/// No byte of an event is forwarded before the event is complete and checked, so
/// that no part of another caller's response reaches this caller.
#[derive(Debug)]
pub(super) struct EventRewriter {
    check: ResponseCheck,
    partial: BytesMut,
    is_done: bool,
}

impl EventRewriter {
    /// Creates the rewriter of one response.
    pub(super) fn new(check: ResponseCheck) -> Self {
        Self {
            check,
            partial: BytesMut::new(),
            is_done: false,
        }
    }

    /// Whether the engine has marked the response as complete.
    pub(super) const fn is_done(&self) -> bool {
        self.is_done
    }

    /// Processes received bytes and returns those to forward, which may be none.
    pub(super) fn process(&mut self, chunk: Bytes) -> Result<Bytes, CheckError> {
        let data = self.prepend_partial(chunk);
        let end = complete_len(&data);
        let rest = &data[end..];
        if rest.len() > MAX_EVENT_BYTES {
            return Err(CheckError::Malformed);
        }
        self.partial.extend_from_slice(rest);
        self.rewrite(&data.slice(..end))
    }

    fn prepend_partial(&mut self, chunk: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return chunk;
        }
        self.partial.extend_from_slice(&chunk);
        self.partial.split().freeze()
    }

    fn rewrite(&mut self, events: &Bytes) -> Result<Bytes, CheckError> {
        let mut out = BytesMut::with_capacity(events.len());
        let mut copied = 0;
        let mut start = 0;
        while start < events.len() {
            let end = line_end(events, start);
            let line = &events[start..end];
            if let Some(payload) = payload(line) {
                let offset = start + (line.len() - payload.len());
                if let Some(model) = self.check_event(payload.trim_ascii_end())? {
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

    /// Returns the range of an event's model name; `None` for the last event.
    fn check_event(
        &mut self,
        payload: &[u8],
    ) -> Result<Option<std::ops::Range<usize>>, CheckError> {
        if payload == DONE {
            self.is_done = true;
            return Ok(None);
        }
        // Events after the last one don't belong to this response.
        if self.is_done {
            return Err(CheckError::WrongRequest);
        }
        self.check.check_object(payload).map(Some)
    }
}

/// Returns the length of the complete events at the start of the data.
fn complete_len(data: &[u8]) -> usize {
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

/// Returns the end of the line that begins at `start`, including its newline.
fn line_end(data: &[u8], start: usize) -> usize {
    data[start..]
        .iter()
        .position(|byte| *byte == b'\n')
        .map_or(data.len(), |newline| start + newline + 1)
}

/// Returns the payload of a `data` line; `None` for comments and other fields.
fn payload(line: &[u8]) -> Option<&[u8]> {
    line.strip_prefix(b"data:").map(<[u8]>::trim_ascii_start)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::adapter::Adapter;
    use crate::clock::Millis;
    use crate::request::{Class, Id, Ticket};

    fn rewriter() -> EventRewriter {
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
        EventRewriter::new(ResponseCheck::new(&ticket, &adapter))
    }

    fn event(id: &str, model: &str) -> String {
        format!("data: {{\"id\":\"cmpl-{id}\",\"model\":\"{model}\",\"text\":\"x\"}}\n\n")
    }

    #[test]
    fn process_rewrites_every_event() {
        let mut rewriter = rewriter();
        let two = event("one", "plans@3").repeat(2);
        let seen = rewriter.process(two.into()).unwrap();
        let renamed = event("one", "fault \\\"now\\\"").repeat(2);
        assert_eq!(seen, renamed.as_bytes());
        assert!(!rewriter.is_done());
    }

    #[test]
    fn process_is_independent_of_chunk_boundaries() {
        let text = format!(
            ": hello\n\n{}\r\n{}data: [DONE]\n\n",
            event("one", "plans@3"),
            event("one", "plans@3").replace('\n', "\r\n"),
        );
        let whole = rewriter().process(text.clone().into()).unwrap();
        for cut in 0..=text.len() {
            let mut rewriter = rewriter();
            let first = rewriter.process(Bytes::copy_from_slice(&text.as_bytes()[..cut]));
            let second = rewriter.process(Bytes::copy_from_slice(&text.as_bytes()[cut..]));
            assert_eq!([first.unwrap(), second.unwrap()].concat(), whole);
            assert!(rewriter.is_done());
        }
    }

    /// Guards against a caller reading another caller's text: on a connection that
    /// was reused after a cancelled call, the first event is right and the second
    /// names another request.
    #[test]
    fn process_rejects_another_request() {
        let mut rewriter = rewriter();
        rewriter.process(event("one", "plans@3").into()).unwrap();
        assert_eq!(
            rewriter.process(event("two", "plans@3").into()),
            Err(CheckError::WrongRequest)
        );
    }

    /// Guards against a response from the previous version of an adapter: the engine
    /// resolves the adapter's name without its version, so that its slots differ from
    /// what the owner believes.
    #[test]
    fn process_rejects_another_version() {
        assert_eq!(
            rewriter().process(event("one", "plans@2").into()),
            Err(CheckError::WrongAdapter)
        );
    }

    #[test]
    fn process_rejects_malformed_json() {
        let twice = "data: {\"id\":\"one\",\"model\":\"a\",\"model\":\"plans@3\"}\n\n";
        for text in ["data: {\"id\":\n\n", "data: \n\n", twice] {
            assert_eq!(rewriter().process(text.into()), Err(CheckError::Malformed));
        }
    }

    #[test]
    fn process_reports_engine_error() {
        let text = "data: {\"error\":{\"message\":\"x\"}}\n\n";
        assert_eq!(
            rewriter().process(text.into()),
            Err(CheckError::EngineError)
        );
    }

    #[test]
    fn process_rejects_events_after_done() {
        let mut rewriter = rewriter();
        rewriter.process("data: [DONE]\n\n".into()).unwrap();
        assert_eq!(
            rewriter.process(event("one", "plans@3").into()),
            Err(CheckError::WrongRequest)
        );
    }
}
