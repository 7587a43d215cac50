//! Checks that the events of a stream arrive in order, also after it resumed at another upstream.

use bytes::{Bytes, BytesMut};
use hyper::body::Frame;

use super::sse::EventSplitter;

/// Result of polling a response body; `None` at its end.
pub type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Result of one read from an upstream's stream.
#[derive(Debug)]
pub enum StreamStep {
    /// Complete events to forward.
    Events(Bytes),
    /// Nothing to forward yet.
    More,
    /// The upstream ended the stream normally.
    End,
    /// The stream can't continue at this upstream, for this reason.
    Broken(String),
    /// The run hasn't started, and its version of the adapter may no longer start here.
    Withdrawn,
}

/// Splits a stream into events and checks that the numbers of those that have one are consecutive.
#[derive(Debug)]
pub struct EventSequence {
    splitter: EventSplitter,
    last: Option<u64>,
    /// A gap found after events that are forwarded first.
    pending_error: Option<String>,
}

impl EventSequence {
    /// Creates a sequence that continues after event `last`, which the caller already has.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            splitter: EventSplitter::default(),
            last,
            pending_error: None,
        }
    }

    /// Returns the number of the last event that was forwarded.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Prepares for the stream of another upstream, which continues after the last event forwarded.
    pub fn restart(&mut self) {
        self.splitter.clear();
        self.pending_error = None;
    }

    /// Returns the pending error, if any, as the next step.
    pub fn take_pending_error(&mut self) -> Option<StreamStep> {
        self.pending_error.take().map(StreamStep::Broken)
    }

    /// Processes one frame of the upstream's body.
    pub fn receive(&mut self, frame: BodyFrame) -> StreamStep {
        match frame {
            Some(Err(error)) => StreamStep::Broken(error.to_string()),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => self.take(&data),
                Err(_) => StreamStep::More,
            },
            None if self.splitter.has_partial_event() => {
                StreamStep::Broken("the stream ended in the middle of an event".to_owned())
            }
            None => StreamStep::End,
        }
    }

    /// Appends received bytes and returns the complete events among them.
    ///
    /// Events before a gap in the same piece of data are forwarded first. The error is kept for
    /// the next call: if the upstream then ended normally, the stream would look complete.
    fn take(&mut self, data: &[u8]) -> StreamStep {
        self.splitter.push(data);
        let mut complete = BytesMut::new();
        while let Some(event) = self.splitter.event() {
            if let (Some(id), Some(last)) = (event.id, self.last)
                && id != last + 1
            {
                self.pending_error = Some(format!("event {id} follows event {last}"));
                break;
            }
            if event.id.is_some() {
                self.last = event.id;
            }
            complete.extend_from_slice(&event.bytes);
        }
        if self.splitter.is_oversized() {
            return StreamStep::Broken("an event is too long".to_owned());
        }
        if complete.is_empty() {
            return self.take_pending_error().unwrap_or(StreamStep::More);
        }
        StreamStep::Events(complete.freeze())
    }
}
